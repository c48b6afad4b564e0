//! Whom an agent asks for views: a process of its own zone, so that not all agents ask the head of the chain; the head
//! itself whenever something may have changed that the zone does not know yet.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::LiveTable;

/// After a reason for doubt an agent asks the head itself for so long, in milliseconds.
pub const ASK_HEAD_MS: u64 = 3_000;

/// The source of views as one agent sees it.
#[derive(Debug)]
pub struct ViewSource {
    own: PeerAddress,
    zone: String,
    last_source: Option<PeerAddress>,
    ask_head_until: Millis,
}

impl ViewSource {
    /// As seen by the agent at this address.
    pub fn new(own: PeerAddress, zone: String) -> ViewSource {
        ViewSource {
            own,
            zone,
            last_source: None,
            ask_head_until: Millis(0),
        }
    }

    /// Whom to ask where `due` is to be asked: another process only if `due` is the head and there is no doubt.
    pub fn choose(
        &mut self,
        due: PeerAddress,
        head: Option<PeerAddress>,
        table: &LiveTable,
        now: Millis,
    ) -> PeerAddress {
        let may_differ = Some(due) == head && now >= self.ask_head_until;
        let source = match may_differ {
            true => table.view_source(&self.zone, self.own),
            false => None,
        };
        let chosen = source.unwrap_or(due);
        self.last_source = Some(chosen);
        chosen
    }

    /// The owner is silent, which may be since another view made another process the owner.
    pub fn doubt(&mut self, now: Millis) {
        self.ask_head_until = now.plus(ASK_HEAD_MS);
    }

    /// A connection ended; whether it was the source's, so that another one should be asked at once.
    pub fn closed(&mut self, from: PeerAddress, now: Millis) -> bool {
        let was_source = self.last_source == Some(from);
        if was_source {
            self.last_source = None;
            self.doubt(now);
        }
        was_source
    }
}

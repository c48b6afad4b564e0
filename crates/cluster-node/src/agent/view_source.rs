//! The process to which an agent subscribes for views. It is a process of the agent's own zone, so that not all agents
//! subscribe to the head of the chain. It is the head while there may be a newer view that the zone does not know yet.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::LiveTable;

/// How long an agent subscribes to the head after a sign that there may be a newer view, in milliseconds.
pub const ASK_HEAD_MS: u64 = 3_000;

/// The source of views of one agent.
#[derive(Debug)]
pub struct ViewSource {
    own: PeerAddress,
    zone: String,
    last_source: Option<PeerAddress>,
    ask_head_until: Millis,
}

impl ViewSource {
    /// Starts without a source, for the agent at this address in this zone.
    pub fn new(own: PeerAddress, zone: String) -> ViewSource {
        ViewSource {
            own,
            zone,
            last_source: None,
            ask_head_until: Millis(0),
        }
    }

    /// Chooses the receiver of a subscription that is due at `due`. A process of the zone replaces `due` only if that
    /// is the head and the agent need not ask the head itself.
    pub fn choose(
        &mut self,
        due: PeerAddress,
        head: Option<PeerAddress>,
        table: &LiveTable,
        now: Millis,
    ) -> PeerAddress {
        let may_replace = Some(due) == head && now >= self.ask_head_until;
        let source = may_replace
            .then(|| table.view_source(&self.zone, self.own))
            .flatten();
        let chosen = source.unwrap_or(due);
        self.last_source = Some(chosen);
        chosen
    }

    /// Makes the agent ask the head itself for a while. Called when the owner timed out, since a newer view may have
    /// another owner.
    pub fn prefer_head(&mut self, now: Millis) {
        self.ask_head_until = now.plus(ASK_HEAD_MS);
    }

    /// Handles the end of a connection. Returns whether it was the source's, in which case a subscription is due at
    /// once.
    pub fn closed(&mut self, from: PeerAddress, now: Millis) -> bool {
        let was_source = self.last_source == Some(from);
        if was_source {
            self.last_source = None;
            self.prefer_head(now);
        }
        was_source
    }
}

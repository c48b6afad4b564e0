//! Whom to probe next, the probe that is under way, and probes made for others.

use crate::membership_list::Roster;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// The order in which members are probed: all of a group in random order, then again.
///
/// Members of the own zone and of other zones are two groups. Most probes stay in the zone, which keeps traffic between
/// zones low; every member is probed by those of other zones at a lower, but fixed rate, so that the end of a whole zone
/// or of the only member of a zone is noticed too.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    near: Vec<PeerAddress>,
    distant: Vec<PeerAddress>,
}

impl ProbeOrder {
    /// The next member to probe, of the preferred group if it has any.
    pub(crate) fn next(
        &mut self,
        roster: &Roster,
        zone: &str,
        prefer_distant: bool,
        random: &mut fastrand::Rng,
    ) -> Option<PeerAddress> {
        let preferred = self.next_of(roster, zone, prefer_distant, random);
        preferred.or_else(|| self.next_of(roster, zone, !prefer_distant, random))
    }

    fn next_of(
        &mut self,
        roster: &Roster,
        zone: &str,
        distant: bool,
        random: &mut fastrand::Rng,
    ) -> Option<PeerAddress> {
        let group = if distant {
            &mut self.distant
        } else {
            &mut self.near
        };
        while let Some(address) = group.pop() {
            if roster.is_present(address) {
                return Some(address);
            }
        }
        let in_group = roster
            .present()
            .filter(|update| (update.zone != zone) == distant);
        group.extend(in_group.map(|update| update.address));
        random.shuffle(group);
        group.pop()
    }
}

/// The probe of this period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) target: PeerAddress,
    /// The life that is probed.
    pub(crate) process_incarnation: u64,
    pub(crate) nonce: u32,
    /// When it is sent again, since a datagram may be lost.
    pub(crate) again_at: Millis,
    /// When helpers are asked; none where they were.
    pub(crate) helpers_at: Option<Millis>,
    /// When it has failed.
    pub(crate) ends: Millis,
    /// Helpers that were asked and did not say yet that they could not reach the target.
    pub(crate) silent_helpers: Vec<PeerAddress>,
    /// How many were asked.
    pub(crate) helpers_asked: usize,
}

impl Probe {
    /// When something is due.
    pub(crate) fn due(&self) -> Millis {
        let helpers_at = self.helpers_at.unwrap_or(self.ends);
        self.again_at.min(helpers_at).min(self.ends)
    }
}

/// A probe made for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Relay {
    pub(crate) target: PeerAddress,
    /// The number of the probe to the target.
    pub(crate) nonce: u32,
    pub(crate) asker: PeerAddress,
    /// The asker's number.
    pub(crate) asker_nonce: u32,
    /// When it is sent once more; none where it was.
    pub(crate) again_at: Option<Millis>,
    /// When the asker is told that the target did not answer.
    pub(crate) ends: Millis,
}

impl Relay {
    /// When something is due.
    pub(crate) fn due(&self) -> Millis {
        self.again_at.map_or(self.ends, |at| at.min(self.ends))
    }
}

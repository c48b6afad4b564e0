//! The order in which members are pinged.

use crate::membership_list::MembershipList;
use lupinrack_cluster_api::identity::PeerAddress;

/// Which members a ping prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PingScope {
    /// Members of this member's zone.
    OwnZone,
    /// Members of all other zones.
    OtherZones,
}

impl PingScope {
    fn opposite(self) -> PingScope {
        match self {
            PingScope::OwnZone => PingScope::OtherZones,
            PingScope::OtherZones => PingScope::OwnZone,
        }
    }
}

/// The order in which members are pinged: all members of a scope in random order, then all again in a new random order
/// (section 4.3 of the SWIM paper, *round-robin probe target selection*).
///
/// Most pings stay in the zone, which keeps traffic between zones low. Members of other zones ping every member at a lower
/// but fixed rate, so that the failure of a whole zone, or of the only member of a zone, is detected too.
#[derive(Clone, Debug, Default)]
pub(crate) struct PingOrder {
    own_zone: Vec<PeerAddress>,
    other_zones: Vec<PeerAddress>,
}

impl PingOrder {
    /// The next member to ping: from the preferred scope, or from the other scope if the preferred one is empty.
    pub(crate) fn next(
        &mut self,
        members: &MembershipList,
        zone: &str,
        preferred: PingScope,
        random: &mut fastrand::Rng,
    ) -> Option<PeerAddress> {
        self.next_of(members, zone, preferred, random)
            .or_else(|| self.next_of(members, zone, preferred.opposite(), random))
    }

    fn next_of(
        &mut self,
        members: &MembershipList,
        zone: &str,
        scope: PingScope,
        random: &mut fastrand::Rng,
    ) -> Option<PeerAddress> {
        let round = match scope {
            PingScope::OwnZone => &mut self.own_zone,
            PingScope::OtherZones => &mut self.other_zones,
        };
        while let Some(address) = round.pop() {
            if members.is_present(address) {
                return Some(address);
            }
        }
        let in_scope = |member_zone: &str| match scope {
            PingScope::OwnZone => member_zone == zone,
            PingScope::OtherZones => member_zone != zone,
        };
        let next_round = members.present().filter(|update| in_scope(&update.zone));
        round.extend(next_round.map(|update| update.address));
        random.shuffle(round);
        round.pop()
    }
}

//! The order in which members are pinged.

use crate::membership_list::MembershipList;
use lupinrack_cluster_api::identity::PeerAddress;

/// Which members a ping prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PingScope {
    /// Members of the own zone.
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

/// The order in which members are pinged: all members of a scope in random order, then again in another order
/// (section 4.3 of the SWIM paper, *round-robin probe target selection*).
///
/// Most pings stay in the zone, which keeps traffic between zones low. Every member is pinged by those of other zones at
/// a lower, but fixed rate, so that the end of a zone, or of the only member of a zone, is noticed too.
#[derive(Clone, Debug, Default)]
pub(crate) struct PingOrder {
    own_zone: Vec<PeerAddress>,
    other_zones: Vec<PeerAddress>,
}

impl PingOrder {
    /// The next member to ping: of the preferred scope, or of the other one where that is empty.
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

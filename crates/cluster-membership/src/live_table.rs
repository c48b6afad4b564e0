//! The members that are held for there, as an immutable table, and whom to ask what in a zone.

use lupinrack_cluster_api::identity::{PeerAddress, ServiceName};
use lupinrack_cluster_api::rendezvous::address_weight;
use lupinrack_cluster_api::wire::Role;

/// A zone has a home front only with at least so many fronts; a single one asks the head itself.
const FRONTS_LEAST: usize = 2;
/// Stands between the zone and the service in the key of a home; neither holds it.
const KEY_SEPARATOR: u8 = 0;

/// A member that is held for there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LiveMember {
    /// Its internal address.
    pub address: PeerAddress,
    /// Its kind.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// The life of its process.
    pub process_incarnation: u64,
}

/// All members that are held for there at one moment, this process included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveTable {
    members: Vec<LiveMember>,
}

impl LiveTable {
    /// Of these members.
    pub fn new(mut members: Vec<LiveMember>) -> LiveTable {
        members.sort_by_key(|member| member.address);
        LiveTable { members }
    }

    /// All, by address.
    pub fn members(&self) -> &[LiveMember] {
        &self.members
    }

    /// The member at an address.
    pub fn get(&self, address: PeerAddress) -> Option<&LiveMember> {
        let found = self
            .members
            .binary_search_by_key(&address, |member| member.address);
        found.ok().and_then(|index| self.members.get(index))
    }

    /// Those of one kind in a zone.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a str,
        role: Role,
    ) -> impl Iterator<Item = &'a LiveMember> {
        self.members
            .iter()
            .filter(move |member| member.role == role && member.zone == zone)
    }

    /// The front of a zone that subscribes to the head for the others of it, for a service or for everything. None in a
    /// zone of fewer than two fronts.
    pub fn home_front(&self, zone: &str, service: Option<&ServiceName>) -> Option<PeerAddress> {
        if self.in_zone(zone, Role::Frontend).count() < FRONTS_LEAST {
            return None;
        }
        let key = home_key(zone, service);
        self.heaviest(zone, Role::Frontend, &key)
    }

    /// The process of a zone from which a subscriber there learns views: a core process, or else a front. Subscribers
    /// spread over the processes that there are.
    pub fn view_source(&self, zone: &str, subscriber: PeerAddress) -> Option<PeerAddress> {
        let key = subscriber.0.to_string();
        let core = self.heaviest(zone, Role::Core, key.as_bytes());
        core.or_else(|| self.heaviest(zone, Role::Frontend, key.as_bytes()))
    }

    fn heaviest(&self, zone: &str, role: Role, key: &[u8]) -> Option<PeerAddress> {
        let candidates = self.in_zone(zone, role).map(|member| member.address);
        candidates.max_by_key(|address| address_weight(key, *address))
    }
}

fn home_key(zone: &str, service: Option<&ServiceName>) -> Vec<u8> {
    let mut key = zone.as_bytes().to_vec();
    if let Some(ServiceName(name)) = service {
        key.push(KEY_SEPARATOR);
        key.extend_from_slice(name.as_bytes());
    }
    key
}

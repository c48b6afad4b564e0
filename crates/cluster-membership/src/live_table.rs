//! An immutable table of the present members, and the selection of home fronts and view sources from it.

use crate::member_update::MemberUpdate;
use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::{PeerAddress, ServiceName};
use lupinrack_cluster_api::rendezvous::address_weight;

/// The smallest number of fronts with which a zone has a home front; a single front subscribes to the head itself.
const MIN_FRONTS_FOR_HOME: usize = 2;
/// Separates the zone from the service in the key of a home front; neither name contains it.
const KEY_SEPARATOR: u8 = 0;

/// A present member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LiveMember {
    /// Its internal address.
    pub address: PeerAddress,
    /// The role of the machine that it runs on.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// The random number that its process drew when it started.
    pub process_incarnation: u64,
}

impl From<&MemberUpdate> for LiveMember {
    fn from(update: &MemberUpdate) -> LiveMember {
        LiveMember {
            address: update.address,
            role: update.role,
            zone: update.zone.clone(),
            process_incarnation: update.process_incarnation,
        }
    }
}

/// All members that this process considers present at one time, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveTable {
    members: Vec<LiveMember>,
}

impl LiveTable {
    /// Builds the table from members in any order.
    pub fn new(mut members: Vec<LiveMember>) -> LiveTable {
        members.sort_by_key(|member| member.address);
        LiveTable { members }
    }

    /// All members, by address.
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

    /// The addresses of the core processes.
    pub fn core_addresses(&self) -> impl Iterator<Item = PeerAddress> + '_ {
        let core = self
            .members
            .iter()
            .filter(|member| member.role == Role::Core);
        core.map(|member| member.address)
    }

    /// The members of a zone with this role, by address.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a str,
        role: Role,
    ) -> impl Iterator<Item = &'a LiveMember> {
        self.members
            .iter()
            .filter(move |member| member.role == role && member.zone == zone)
    }

    /// The front that subscribes to the head on behalf of the other fronts of its zone, for one service or for all. `None`
    /// in a zone of fewer than two fronts.
    pub fn home_front(&self, zone: &str, service: Option<&ServiceName>) -> Option<PeerAddress> {
        if self.in_zone(zone, Role::Frontend).count() < MIN_FRONTS_FOR_HOME {
            return None;
        }
        let key = home_key(zone, service);
        self.heaviest(zone, Role::Frontend, &key)
    }

    /// The process of a zone that sends views to this subscriber: a core process, or a front if the zone has no core
    /// process. Subscribers are distributed over all candidates.
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

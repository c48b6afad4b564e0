//! The processes of the cluster and their loopback addresses, each of which represents a machine.

use crate::cluster_shape::ClusterShape;
use std::fmt;
use std::net::Ipv4Addr;
use std::ops::RangeInclusive;

/// The role of a process in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A core process: votes on views, replicates the state, schedules.
    Core,
    /// A front, which accepts clients' calls.
    Front,
    /// The agent beside a worker.
    Agent,
}

impl Role {
    /// Every role, in the order in which processes are started.
    pub const ALL: [Role; 3] = [Role::Core, Role::Front, Role::Agent];

    /// The last bytes that the addresses of this role's processes may have.
    fn last_bytes(self) -> RangeInclusive<u16> {
        match self {
            Role::Core => 11..=20,
            Role::Front => 21..=30,
            Role::Agent => 31..=250,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Role::Core => "core",
            Role::Front => "front",
            Role::Agent => "agent",
        }
    }
}

/// A process of the cluster. Its [`Display`](fmt::Display) form, such as `core-1`, is its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its role.
    pub role: Role,
    /// Its number among the processes of its role, from 1.
    pub number: u16,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.role.as_str(), self.number)
    }
}

impl Member {
    /// Every process of a cluster of this shape, core processes first.
    pub fn all(shape: &ClusterShape) -> impl Iterator<Item = Member> + use<> {
        let shape = *shape;
        Role::ALL
            .into_iter()
            .flat_map(move |role| Member::with_role(role, &shape))
    }

    /// Every process of a role in a cluster of this shape.
    pub fn with_role(role: Role, shape: &ClusterShape) -> impl Iterator<Item = Member> + use<> {
        (1..=shape.count(role)).map(move |number| Member { role, number })
    }

    /// The loopback address that represents its machine.
    pub fn ip(self) -> Ipv4Addr {
        let last_bytes = self.role.last_bytes();
        let per_network = last_bytes.end() - last_bytes.start() + 1;
        let index = self.number.saturating_sub(1);
        let last_byte = last_bytes.start() + index % per_network;
        let [_, network] = (index / per_network).to_be_bytes();
        let [_, last_byte] = last_byte.to_be_bytes();
        Ipv4Addr::new(127, 0, network, last_byte)
    }
}

//! The processes of the cluster and their loopback addresses, each of which represents a machine.

use std::fmt;
use std::net::Ipv4Addr;

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

    /// Number of processes of this role in a cluster.
    pub fn count(self) -> u8 {
        match self {
            Role::Core => 3,
            Role::Front => 2,
            Role::Agent => 4,
        }
    }

    /// The last byte of the addresses of this role's processes, minus their number.
    fn address_base(self) -> u8 {
        match self {
            Role::Core => 10,
            Role::Front => 20,
            Role::Agent => 30,
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
    pub number: u8,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.role.as_str(), self.number)
    }
}

impl Member {
    /// Every process of the cluster, core processes first.
    pub fn all() -> impl Iterator<Item = Member> {
        Role::ALL.into_iter().flat_map(Member::with_role)
    }

    /// Every process of a role.
    pub fn with_role(role: Role) -> impl Iterator<Item = Member> {
        (1..=role.count()).map(move |number| Member { role, number })
    }

    /// The loopback address that represents its machine.
    pub fn ip(self) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, 0, self.role.address_base() + self.number)
    }
}

//! The ports of the cluster, the same at every process's address.

use crate::error::LocalError;
use crate::member::Member;
use std::net::{SocketAddrV4, TcpListener};

/// The first ports are drawn from here on, up to [`LAST`].
const FIRST: u16 = 12_000;
/// Below the range from which kernels commonly assign ports to outgoing connections.
const LAST: u16 = 32_000;
/// How many ports a cluster uses, one after the other.
const COUNT: u16 = 4;
/// How many times ports are drawn before that is given up.
const MAX_DRAWS: usize = 200;

/// The ports that all processes use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// For connections among processes.
    pub internal: u16,
    /// For control calls to core processes, and heartbeats to agents.
    pub control: u16,
    /// For clients' calls to fronts.
    pub front: u16,
    /// For health checks of fronts.
    pub readiness: u16,
}

impl Ports {
    /// Draws ports that are free at the addresses of all processes.
    ///
    /// # Errors
    ///
    /// [`LocalError::NoFreePorts`] where none of many draws is free everywhere.
    pub fn draw() -> Result<Ports, LocalError> {
        (0..MAX_DRAWS)
            .map(|_| Ports::starting_at(fastrand::u16(FIRST..LAST)))
            .find(|ports| ports.are_free())
            .ok_or(LocalError::NoFreePorts)
    }

    /// Where a core process takes control calls, or an agent heartbeats.
    pub fn control_address(self, member: Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip(), self.control)
    }

    /// Where a front takes clients' calls.
    pub fn front_address(self, member: Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip(), self.front)
    }

    /// Where a front answers whether it is ready.
    pub fn readiness_address(self, member: Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip(), self.readiness)
    }

    fn starting_at(first: u16) -> Ports {
        Ports {
            internal: first,
            control: first + 1,
            front: first + 2,
            readiness: first + 3,
        }
    }

    fn are_free(self) -> bool {
        let ports = self.internal..self.internal + COUNT;
        Member::all().map(Member::ip).all(|ip| {
            ports
                .clone()
                .all(|port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok())
        })
    }
}

//! The ports of the cluster, the same at every process's address.

use crate::cluster_shape::ClusterShape;
use crate::error::LocalError;
use crate::member::Member;
use std::net::{SocketAddrV4, TcpListener};

/// Start of the range from which the first port of a cluster is drawn.
const FIRST_PORT_START: u16 = 12_000;
/// End of that range (exclusive); below the ports that kernels commonly assign to outgoing connections.
const FIRST_PORT_END: u16 = 32_000;
/// Number of consecutive ports that a cluster uses.
const PORT_COUNT: u16 = 4;
/// Maximum number of draws before the search fails.
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
    /// Draws ports that are free at the addresses of all processes of a cluster.
    ///
    /// # Errors
    ///
    /// [`LocalError::NoFreePorts`] if no drawn range is free at all addresses.
    pub fn draw(shape: &ClusterShape) -> Result<Ports, LocalError> {
        (0..MAX_DRAWS)
            .map(|_| Ports::starting_at(fastrand::u16(FIRST_PORT_START..FIRST_PORT_END)))
            .find(|ports| ports.are_free(shape))
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

    fn are_free(self, shape: &ClusterShape) -> bool {
        let ports = self.internal..self.internal + PORT_COUNT;
        Member::all(shape).map(Member::ip).all(|ip| {
            ports
                .clone()
                .all(|port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok())
        })
    }
}

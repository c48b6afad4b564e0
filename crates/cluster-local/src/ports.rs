//! Free ports, the same at every address of the cluster.

use crate::error::LocalError;
use crate::member::Member;
use std::net::{SocketAddrV4, TcpListener};

/// Where ports are drawn from: below the range from which kernels commonly give out ports for connections.
const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;
/// How many ports a cluster takes.
const COUNT: u16 = 4;
/// How often a range is drawn before it is given up.
const TRIES: usize = 200;

/// The ports that all processes use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Among each other.
    pub internal: u16,
    /// For control calls and heartbeats.
    pub control: u16,
    /// For clients.
    pub front: u16,
    /// For the question whether a front is ready.
    pub readiness: u16,
}

impl Ports {
    /// Draws ports until all are free at all addresses.
    pub fn draw() -> Result<Ports, LocalError> {
        let drawn = (0..TRIES).map(|_| Ports::from_first(fastrand::u16(FIRST..LAST)));
        drawn
            .into_iter()
            .find(Ports::are_free)
            .ok_or(LocalError::NoPorts)
    }

    fn from_first(first: u16) -> Ports {
        Ports {
            internal: first,
            control: first + 1,
            front: first + 2,
            readiness: first + 3,
        }
    }

    fn are_free(&self) -> bool {
        let range = self.internal..self.internal + COUNT;
        let mut addresses = Member::all().into_iter().map(Member::ip);
        addresses.all(|ip| {
            range
                .clone()
                .all(|port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok())
        })
    }
}

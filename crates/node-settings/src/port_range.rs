//! Ranges of ports.

/// A range of ports, both ends included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

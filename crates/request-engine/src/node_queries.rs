//! The answers to queries from other tasks.

use lupinrack_policy::VolumeId;
use std::sync::Arc;

/// The number of nodes at the time of the query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes in the list.
    pub listed: usize,
    /// Listed nodes that the balancer currently avoids.
    pub avoided: usize,
}

/// Which nodes respond, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeResponses {
    /// Listed nodes that do not respond.
    pub unresponsive: Vec<Arc<str>>,
    /// Nodes that responded since the previous query.
    pub responded: Vec<Arc<str>>,
}

/// A volume with a rate limit that this front served recently.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedVolume {
    /// The volume.
    pub volume: VolumeId,
    /// The number of fronts that its requests pass through.
    pub hosts: f64,
}

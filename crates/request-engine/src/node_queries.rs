//! Answers to what other parts of the program ask of the engine.

use lupinrack_policy::VolumeId;
use std::sync::Arc;

/// How many nodes there are, at the moment of the question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes in the list.
    pub listed: usize,
    /// Of these, the ones that the balancer avoids now.
    pub avoided: usize,
}

/// Which nodes respond, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeResponses {
    /// Listed nodes that do not respond.
    pub unresponsive: Vec<Arc<str>>,
    /// Nodes that responded since the last such question.
    pub responded: Vec<Arc<str>>,
}

/// A volume with a rate limit that this front served of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedVolume {
    /// The volume.
    pub volume: VolumeId,
    /// The number of fronts through which its requests come.
    pub hosts: f64,
}

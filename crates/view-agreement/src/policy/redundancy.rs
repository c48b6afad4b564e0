//! How many disks hold everything committed, and which disks are catching up.

/// A healthy disk outside the chain that can join it once it has caught up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpareReplica {
    /// The index up to which it has applied the log, by its last heartbeat.
    pub applied: u64,
    /// Milliseconds for which its process has been present.
    pub present_ms: u64,
}

/// The disks that hold, or will hold, everything that is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redundancy {
    /// How many disks have to hold everything so that enough are left after the tolerated losses to
    /// tolerate the same losses again.
    pub needed: usize,
    /// How many members of the chain are alive, healthy and not draining.
    pub members: usize,
    /// The disks outside the chain that are alive, healthy and not draining.
    pub spares: Vec<SpareReplica>,
}

//! Values that the processes' settings files and the mock workers share.

/// The zone, and the region, of all processes and workers.
pub(crate) const ZONE: &str = "loopback";
/// Interval between two heartbeats of a worker, in milliseconds.
pub(crate) const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// The longest lease that a worker is granted, in milliseconds.
pub(crate) const MAX_LEASE_MS: u64 = 5_000;
/// Time within which a worker stops a run after a stop command, in milliseconds.
pub(crate) const RUN_STOP_MS: u64 = 300;
/// How long a member of a gang waits for the others, in milliseconds.
pub(crate) const GANG_WAIT_MS: u64 = 3_000;

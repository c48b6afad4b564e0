//! Values that the processes' settings files and the mock workers share.

/// The zone, and the region, of all processes and workers.
pub(crate) const ZONE: &str = "loopback";

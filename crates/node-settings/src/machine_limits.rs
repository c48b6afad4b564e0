//! What the machine gives the process, and what the system has to withstand.

use crate::reader::Reader;

/// What the machine gives the process; 0 where the file does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// Share of one core.
    pub cpu_share: f64,
    /// How many times as fast as one core that share runs.
    pub cores: u64,
    /// Megabytes of memory; beyond them the process is killed.
    pub memory_mb: u64,
    /// File descriptors.
    pub max_fds: u64,
    /// Megabits a second of the machine's link.
    pub link_mbps: f64,
    /// Megabytes of disk; 0 for none.
    pub disk_mb: u64,
}

impl MachineLimits {
    pub(crate) fn read(reader: &mut Reader) -> MachineLimits {
        MachineLimits {
            cpu_share: reader.number_or("limits.cpu-share", 0.0),
            cores: reader.whole_or("limits.cores", 0),
            memory_mb: reader.whole_or("limits.memory-mb", 0),
            max_fds: reader.whole_or("limits.max-fds", 0),
            link_mbps: reader.number_or("limits.link-mbps", 0.0),
            disk_mb: reader.whole_or("limits.disk-mb", 0),
        }
    }
}

/// How many machines, zones or regions may be lost at once while nothing that was acknowledged is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that count for the quorum.
    pub machines: u64,
    /// Zones.
    pub zones: u64,
    /// Regions.
    pub regions: u64,
}

impl FaultTolerance {
    pub(crate) fn read(reader: &mut Reader) -> FaultTolerance {
        FaultTolerance {
            machines: reader.whole_or("fault-tolerance.machines", 0),
            zones: reader.whole_or("fault-tolerance.zones", 0),
            regions: reader.whole_or("fault-tolerance.regions", 0),
        }
    }
}

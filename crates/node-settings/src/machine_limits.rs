//! The resources that the machine provides to the process.

use crate::reader::Reader;

/// The resources that the machine provides to the process; 0 if the file does not state them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// The share of one core.
    pub cpu_share: f64,
    /// The speed of that share, as a multiple of one core.
    pub cores: u64,
    /// Memory in megabytes; the process is killed if it uses more.
    pub memory_mb: u64,
    /// The number of file descriptors.
    pub max_fds: u64,
    /// The bandwidth of the machine's link, in megabits per second.
    pub link_mbps: f64,
    /// Disk space in megabytes; 0 if there is no disk.
    pub disk_mb: u64,
}

impl MachineLimits {
    pub(crate) fn read(reader: &mut Reader) -> MachineLimits {
        MachineLimits {
            cpu_share: reader.number_or("limits.cpu-share", 0.0),
            cores: reader.integer_or("limits.cores", 0),
            memory_mb: reader.integer_or("limits.memory-mb", 0),
            max_fds: reader.integer_or("limits.max-fds", 0),
            link_mbps: reader.number_or("limits.link-mbps", 0.0),
            disk_mb: reader.integer_or("limits.disk-mb", 0),
        }
    }
}

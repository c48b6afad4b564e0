//! The failures that the system must tolerate.

use crate::reader::Reader;

/// The number of machines, zones or regions that may be lost at once without a loss of acknowledged data.
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
            machines: reader.integer_or("fault-tolerance.machines", 0),
            zones: reader.integer_or("fault-tolerance.zones", 0),
            regions: reader.integer_or("fault-tolerance.regions", 0),
        }
    }
}

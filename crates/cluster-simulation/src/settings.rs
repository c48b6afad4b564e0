//! How large a day is, and what happens on it.

use crate::planted::PlantedFault;

/// How large a day is.
#[derive(Clone, Copy, Debug)]
pub struct DaySettings {
    /// Core machines, an odd number.
    pub cores: usize,
    /// Machines that clients reach.
    pub fronts: usize,
    /// Servers, each beside an agent.
    pub servers: usize,
    /// Jobs.
    pub jobs: u64,
    /// When the traffic and the faults end, in milliseconds.
    pub traffic_ms: u64,
    /// How long after that everything has to be done, in milliseconds.
    pub finish_ms: u64,
    /// Whether there are faults.
    pub faults: bool,
    /// A fault of the system itself.
    pub planted: Option<PlantedFault>,
}

impl Default for DaySettings {
    fn default() -> DaySettings {
        DaySettings {
            cores: 3,
            fronts: 2,
            servers: 6,
            jobs: 40,
            traffic_ms: 40_000,
            finish_ms: 30_000,
            faults: true,
            planted: None,
        }
    }
}

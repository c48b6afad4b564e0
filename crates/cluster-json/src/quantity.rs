//! The quantities that a step states for each of its tasks.

use displaydoc::Display;

/// A quantity that a step states for each of its tasks. It is displayed as its JSON field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Quantity {
    /// cpu
    Cpu,
    /// mem-mb
    Memory,
    /// gpu
    Gpu,
    /// estimate-ms
    Estimate,
    /// anti-affinity
    AntiAffinity,
}

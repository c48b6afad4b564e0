//! The mechanisms that a scheduler uses for its decisions.
//!
//! In production all of them are enabled. Each can be disabled separately to measure its effect
//! (`docs/design/policy.md`). The mechanisms are documented where they are implemented.

/// Enables the mechanisms that decide which tasks are placed, started and stopped. The mechanisms
/// of the dispatcher have their own settings in
/// [`DispatchSettings`](lupinrack_dispatch::DispatchSettings). Reservations are disabled by setting
/// [`SchedulerSettings::max_reservations`](crate::SchedulerSettings::max_reservations) to 0.
// Each flag enables one mechanism, independently of the others.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingPolicy {
    /// Clients' estimates are corrected by the measured durations of runs of the same queue;
    /// otherwise they are used uncorrected.
    pub learns_durations: bool,
    /// Servers on which work takes longer than expected count as slow.
    pub learns_speeds: bool,
    /// Servers with faults of several jobs are suspected and run only probation tasks.
    pub suspects_servers: bool,
    /// The recent peak usage of urgent work is kept free for urgent work.
    pub keeps_headroom: bool,
    /// Single tasks with checkpoints are stopped when urgent work has waited too long.
    pub preempts: bool,
    /// Queued tasks are placed again if another server could start them now.
    pub requeues: bool,
    /// A task is placed on the server with the least remaining capacity; otherwise on the first one
    /// that has capacity.
    pub packs: bool,
}

impl Default for SchedulingPolicy {
    /// Enables all mechanisms.
    fn default() -> Self {
        SchedulingPolicy {
            learns_durations: true,
            learns_speeds: true,
            suspects_servers: true,
            keeps_headroom: true,
            preempts: true,
            requeues: true,
            packs: true,
        }
    }
}

//! Settings of the scheduler.

use crate::policy::SchedulingPolicy;
use lupinrack_dispatch::DispatchSettings;

/// Settings of a [`Scheduler`](crate::Scheduler). Durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The factor on the duration of work that runs far from its data, and of a gang that spans
    /// several racks.
    pub remote_factor: f64,
    /// The maximum duration of a stop.
    pub max_stop_ms: u64,
    /// How long a draining server is expected to keep running if it does not report that time.
    pub drain_ms: u64,
    /// The duration of the lease that each message to an agent grants. All owners use the same
    /// duration.
    pub lease_ms: u64,
    /// How long an old owner may still act after a new owner has taken over the shard.
    pub old_owner_authority_ms: u64,
    /// The maximum relative difference between durations measured by two monotonic clocks.
    pub clock_drift: f64,
    /// The margin that is added to lease bounds for messages in transit.
    pub lease_margin_ms: u64,
    /// How long a task takes to restore a checkpoint.
    pub restore_ms: u64,
    /// The time after which an operation that has not been applied is submitted again.
    pub resubmit_ms: u64,
    /// The time without messages from its agent after which a server is assigned no new work.
    pub heartbeat_timeout_ms: u64,
    /// The heartbeat interval of a server on which a run is starting, ending or about to end.
    pub busy_heartbeat_ms: u64,
    /// The heartbeat interval of other servers.
    pub idle_heartbeat_ms: u64,
    /// A run counts as about to end if it is expected to end within this time.
    pub ending_soon_ms: u64,
    /// How long urgent work waits before it preempts other runs.
    pub preempt_after_ms: u64,
    /// How long a run may make no progress before it counts as stalled, in addition to
    /// [`Self::restore_ms`] and a part of its expected duration.
    pub stall_ms: u64,
    /// The time between the first two probation tasks of a suspected server. Later ones are less
    /// frequent.
    pub probation_interval_ms: u64,
    /// The maximum total needs of the tasks queued for a server, as a share of its capacity.
    pub max_queued_share: f64,
    /// The maximum number of gangs and large tasks that have capacity reserved at the same time.
    pub max_reservations: usize,
    /// The mechanisms that are enabled.
    pub policy: SchedulingPolicy,
    /// The settings of the dispatcher. Its depth limits the number of runs on a server.
    pub dispatch: DispatchSettings,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            remote_factor: 1.5,
            max_stop_ms: 1_000,
            drain_ms: 2_000,
            lease_ms: 3_000,
            old_owner_authority_ms: 1_000,
            clock_drift: 0.03,
            lease_margin_ms: 100,
            restore_ms: 500,
            resubmit_ms: 700,
            heartbeat_timeout_ms: 600,
            busy_heartbeat_ms: 20,
            idle_heartbeat_ms: 60,
            ending_soon_ms: 3_000,
            preempt_after_ms: 100,
            stall_ms: 2_000,
            probation_interval_ms: 2_000,
            max_queued_share: 0.5,
            max_reservations: 2,
            policy: SchedulingPolicy::default(),
            dispatch: DispatchSettings {
                depth: 512,
                ..DispatchSettings::default()
            },
        }
    }
}

impl SchedulerSettings {
    /// The maximum duration of a lease that is granted now, measured by the owner's clock.
    pub fn lease_bound_ms(&self) -> u64 {
        let stretched_ms = self.lease_ms as f64 * (1.0 + self.clock_drift);
        stretched_ms.ceil() as u64 + self.lease_margin_ms
    }

    /// The maximum time after a takeover for which a lease granted by an earlier owner is valid.
    pub fn takeover_bound_ms(&self) -> u64 {
        self.old_owner_authority_ms + self.lease_bound_ms()
    }
}

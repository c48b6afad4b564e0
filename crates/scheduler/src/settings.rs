//! What the scheduler of a service is told about times and costs.

use lupinrack_dispatch::DispatchSettings;

/// Settings of a [`Scheduler`](crate::Scheduler). Durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// How many times as long work takes away from its data, or a gang spread over racks.
    pub remote_factor: f64,
    /// The longest that a stop takes.
    pub max_stop_ms: u64,
    /// How long after its notice a draining server may still be given starts; the scheduler gives none at once.
    pub drain_ms: u64,
    /// The hold that is granted with each message to an agent, also by every other owner.
    pub lease_ms: u64,
    /// How long an old owner may still act after a new one took the shard.
    pub old_owner_authority_ms: u64,
    /// By which part two steady clocks may differ over the same time.
    pub clock_drift: f64,
    /// Added to bounds on holds, for what is on its way.
    pub lease_margin_ms: u64,
    /// What it takes to continue from a checkpoint.
    pub restore_ms: u64,
    /// After this time without its being applied an operation is submitted again.
    pub resubmit_ms: u64,
    /// A server that was not heard of for this long is given nothing new.
    pub heartbeat_timeout_ms: u64,
    /// Between heartbeats of a server where something starts, ends or is about to end.
    pub busy_heartbeat_ms: u64,
    /// Between heartbeats while jobs come in.
    pub active_heartbeat_ms: u64,
    /// Jobs come in if the newest one came within this time.
    pub recent_job_ms: u64,
    /// Between heartbeats of a server otherwise.
    pub idle_heartbeat_ms: u64,
    /// Runs that end within this time make a server busy.
    pub ending_soon_ms: u64,
    /// How long more urgent work waits before it preempts.
    pub preempt_after_ms: u64,
    /// How long a run may stand still before it counts as stalled, on top of [`Self::restore_ms`].
    pub stall_ms: u64,
    /// Between the first trials of a server that is avoided; later ones are rarer.
    pub probation_interval_ms: u64,
    /// How much may wait for a server, as a part of its capacity.
    pub max_queued_share: f64,
    /// Gangs and large tasks for which capacity is kept free at the same time, at most.
    pub max_reservations: usize,
    /// The dispatcher's settings. Its depth bounds the tasks that run on a server.
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
            active_heartbeat_ms: 40,
            recent_job_ms: 2_000,
            idle_heartbeat_ms: 60,
            ending_soon_ms: 3_000,
            preempt_after_ms: 100,
            stall_ms: 2_000,
            probation_interval_ms: 2_000,
            max_queued_share: 0.5,
            max_reservations: 2,
            dispatch: DispatchSettings {
                depth: 512,
                ..DispatchSettings::default()
            },
        }
    }
}

impl SchedulerSettings {
    /// The longest that a hold granted now may last anywhere, by the owner's clock.
    pub fn lease_bound_ms(&self) -> u64 {
        let stretched = self.lease_ms as f64 * (1.0 + self.clock_drift);
        stretched.ceil() as u64 + self.lease_margin_ms
    }

    /// How long after a takeover something that an old owner granted may still be held.
    pub fn takeover_bound_ms(&self) -> u64 {
        self.old_owner_authority_ms + self.lease_bound_ms()
    }
}

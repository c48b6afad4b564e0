//! Time bounds that the system and its operators guarantee to each other.

use crate::reader::Reader;

/// Time bounds that the system must meet or may rely on. A bound that is missing in the file has its value of
/// [`Bounds::default`].
///
/// Fields are named after the keys below `bounds.`; `lease_max_ms` is `bounds.hold-max`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long the operators' list of processes may be out of date, in milliseconds.
    pub seed_lag_ms: u64,
    /// The shortest time until the address of a terminated server may be reused by another server, in milliseconds.
    pub reuse_after_ms: u64,
    /// The maximum age of the last contact of a process that counts as connected, in milliseconds.
    pub contact_ms: u64,
    /// The maximum latency of an acknowledgement in the absence of faults, in milliseconds.
    pub ack_ms: u64,
    /// How long a machine still counts as lost after it has returned, in milliseconds.
    pub catch_up_ms: u64,
    /// How long a server may still receive work after it has announced its drain, in milliseconds.
    pub drain_ms: u64,
    /// The grace period between the termination signal to a process and its kill, in milliseconds.
    pub grace_ms: u64,
    /// The tolerance in time around losses, in milliseconds.
    pub loss_slack_ms: u64,
    /// The time within which an acknowledged configuration is in force everywhere, in milliseconds.
    pub config_apply_ms: u64,
    /// The tolerance in time before a return to an older configuration counts, in milliseconds.
    pub rollback_slack_ms: u64,
    /// The maximum clock skew between machines, in milliseconds.
    pub max_skew_ms: u64,
    /// The time within which the system recovers from the loss of all processes, in milliseconds.
    pub recovery_ms: u64,
    /// The longest lease under which a server runs its tasks without a renewal, in milliseconds.
    pub lease_max_ms: u64,
    /// The maximum time that a server takes to stop a task, in milliseconds.
    pub stop_ms: u64,
    /// How long a member of a gang waits for the others, in milliseconds.
    pub gang_ms: u64,
    /// The time after which no task of a cancelled job may start, in milliseconds.
    pub cancel_ms: u64,
    /// The time within which an accepted job is visible everywhere, in milliseconds.
    pub visible_ms: u64,
    /// How long before its due time a task may start, in milliseconds.
    pub early_ms: u64,
    /// The time within which all jobs finish after the last submission, in milliseconds.
    pub finish_ms: u64,
    /// How long the state of a job can be queried, in milliseconds.
    pub status_ms: u64,
    /// The work between two checkpoints of a task, in milliseconds.
    pub save_ms: u64,
    /// How long a task takes to continue from a checkpoint, in milliseconds.
    pub restore_ms: u64,
    /// The slowdown factor of a task on another rack than its data, and of a gang that spans several racks.
    pub far_factor: f64,
}

impl Default for Bounds {
    /// Conservative values: short for guarantees of the system, long for waits on others.
    fn default() -> Bounds {
        Bounds {
            seed_lag_ms: 5_000,
            reuse_after_ms: 1_000,
            contact_ms: 2_000,
            ack_ms: 3_000,
            catch_up_ms: 5_000,
            drain_ms: 1_000,
            grace_ms: 5_000,
            loss_slack_ms: 200,
            config_apply_ms: 1_000,
            rollback_slack_ms: 200,
            max_skew_ms: 5_000,
            recovery_ms: 10_000,
            lease_max_ms: 4_000,
            stop_ms: 1_000,
            gang_ms: 2_000,
            cancel_ms: 2_000,
            visible_ms: 2_000,
            early_ms: 100,
            finish_ms: 10_000,
            status_ms: 300_000,
            save_ms: 2_000,
            restore_ms: 1_000,
            far_factor: 1.5,
        }
    }
}

impl Bounds {
    pub(crate) fn read(reader: &mut Reader) -> Bounds {
        let default = Bounds::default();
        let mut duration_ms =
            |name: &str, default_ms| reader.duration_ms_or(&format!("bounds.{name}"), default_ms);
        Bounds {
            seed_lag_ms: duration_ms("seed-lag", default.seed_lag_ms),
            reuse_after_ms: duration_ms("reuse-after", default.reuse_after_ms),
            contact_ms: duration_ms("contact", default.contact_ms),
            ack_ms: duration_ms("ack", default.ack_ms),
            catch_up_ms: duration_ms("catch-up", default.catch_up_ms),
            drain_ms: duration_ms("drain", default.drain_ms),
            grace_ms: duration_ms("grace", default.grace_ms),
            loss_slack_ms: duration_ms("loss-slack", default.loss_slack_ms),
            config_apply_ms: duration_ms("config-apply", default.config_apply_ms),
            rollback_slack_ms: duration_ms("rollback-slack", default.rollback_slack_ms),
            max_skew_ms: duration_ms("max-skew", default.max_skew_ms),
            recovery_ms: duration_ms("recovery", default.recovery_ms),
            lease_max_ms: duration_ms("hold-max", default.lease_max_ms),
            stop_ms: duration_ms("stop", default.stop_ms),
            gang_ms: duration_ms("gang", default.gang_ms),
            cancel_ms: duration_ms("cancel", default.cancel_ms),
            visible_ms: duration_ms("visible", default.visible_ms),
            early_ms: duration_ms("early", default.early_ms),
            finish_ms: duration_ms("finish", default.finish_ms),
            status_ms: duration_ms("status", default.status_ms),
            save_ms: duration_ms("save", default.save_ms),
            restore_ms: duration_ms("restore", default.restore_ms),
            far_factor: reader.number_or("bounds.far-x", default.far_factor),
        }
    }
}

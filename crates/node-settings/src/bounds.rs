//! The bounds on what the system may take its time for.

use crate::reader::Reader;

/// Times that the system promises to keep or may rely on, in milliseconds. A bound that the file does not give takes
/// the value of [`Bounds::default`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How far the operator's list of processes lags behind.
    pub seed_lag_ms: u64,
    /// How soon the address of a server that is gone may belong to another.
    pub reuse_after_ms: u64,
    /// After which contact a process counts as in touch with the system.
    pub contact_ms: u64,
    /// How long an acknowledgement may take in calm times.
    pub ack_ms: u64,
    /// How long a machine still counts as lost after its return.
    pub catch_up_ms: u64,
    /// How long after a server's notice that it drains it may still be given work.
    pub drain_ms: u64,
    /// How long a process has between the signal to end and being killed.
    pub grace_ms: u64,
    /// Slack granted around losses.
    pub loss_slack_ms: u64,
    /// How soon an acknowledged configuration is in force everywhere.
    pub config_apply_ms: u64,
    /// Slack granted before a return to an older configuration counts.
    pub rollback_slack_ms: u64,
    /// How far clocks of different machines may lie apart.
    pub max_skew_ms: u64,
    /// How soon the system has to work again after a loss of everything.
    pub recovery_ms: u64,
    /// How long a server holds its tasks at most without a renewal.
    pub lease_max_ms: u64,
    /// How long a server takes at most to stop a task.
    pub stop_ms: u64,
    /// How long a member of a gang waits for the others.
    pub gang_ms: u64,
    /// How soon after a cancellation nothing of a job starts any more.
    pub cancel_ms: u64,
    /// How soon an accepted job is visible everywhere.
    pub visible_ms: u64,
    /// How much ahead of its time a task may start.
    pub early_ms: u64,
    /// How soon after the end of the traffic everything has to be done.
    pub finish_ms: u64,
    /// How long a job's state can be asked for.
    pub status_ms: u64,
    /// How much work lies between two checkpoints of a task.
    pub save_ms: u64,
    /// How long it takes to continue from a checkpoint.
    pub restore_ms: u64,
    /// How many times as long a task takes away from its data, or a gang on several racks.
    pub far_factor: f64,
}

impl Default for Bounds {
    /// Cautious values: short where the system promises, long where it waits for others.
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
        let mut duration =
            |name: &str, default_ms| reader.duration_ms(&format!("bounds.{name}"), default_ms);
        Bounds {
            seed_lag_ms: duration("seed-lag", default.seed_lag_ms),
            reuse_after_ms: duration("reuse-after", default.reuse_after_ms),
            contact_ms: duration("contact", default.contact_ms),
            ack_ms: duration("ack", default.ack_ms),
            catch_up_ms: duration("catch-up", default.catch_up_ms),
            drain_ms: duration("drain", default.drain_ms),
            grace_ms: duration("grace", default.grace_ms),
            loss_slack_ms: duration("loss-slack", default.loss_slack_ms),
            config_apply_ms: duration("config-apply", default.config_apply_ms),
            rollback_slack_ms: duration("rollback-slack", default.rollback_slack_ms),
            max_skew_ms: duration("max-skew", default.max_skew_ms),
            recovery_ms: duration("recovery", default.recovery_ms),
            lease_max_ms: duration("hold-max", default.lease_max_ms),
            stop_ms: duration("stop", default.stop_ms),
            gang_ms: duration("gang", default.gang_ms),
            cancel_ms: duration("cancel", default.cancel_ms),
            visible_ms: duration("visible", default.visible_ms),
            early_ms: duration("early", default.early_ms),
            finish_ms: duration("finish", default.finish_ms),
            status_ms: duration("status", default.status_ms),
            save_ms: duration("save", default.save_ms),
            restore_ms: duration("restore", default.restore_ms),
            far_factor: reader.number_or("bounds.far-x", default.far_factor),
        }
    }
}

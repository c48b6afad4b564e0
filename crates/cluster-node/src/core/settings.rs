//! Settings of a core process, derived from the settings of its node.

use super::state_size::max_admitted_bytes;
use lupinrack_chain::limits::ByteLimits;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::view::Voter;
use lupinrack_node_settings::NodeSettings;
use lupinrack_scheduler::SchedulerSettings;

/// Ended jobs are kept for this long beyond the time in which clients may ask for their state, in milliseconds, since
/// the clocks of machines differ and jump.
const REMEMBER_MARGIN_MS: u64 = 60_000;
/// Default time for which a machine counts as lost after its start, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
/// Default time between the signal to terminate and the kill, in milliseconds.
const GRACE_MS: u64 = 6_000;

/// Settings of a [`CoreMachine`](super::CoreMachine).
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The name of its machine, for operators.
    pub name: String,
    /// Its disk, its address and its zone.
    pub me: Voter,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Addresses at which core processes may be found.
    pub seeds: Vec<PeerAddress>,
    /// The processes that may found the first view; empty if this process is not a founder.
    pub founders: Vec<PeerAddress>,
    /// Number of core machines whose loss is tolerated.
    pub tolerated_losses: usize,
    /// How long a machine counts as lost after its start, in milliseconds.
    pub catch_up_ms: u64,
    /// Time between the signal to terminate and the kill, in milliseconds.
    pub grace_ms: u64,
    /// Retention time of an ended job, in milliseconds.
    pub remember_ms: u64,
    /// Settings of its schedulers.
    pub scheduler: SchedulerSettings,
    /// How long a sync took when the store was opened, in milliseconds.
    pub sync_ms: u64,
    /// Size limits of the log in bytes.
    pub log_bytes: ByteLimits,
    /// Size limit of the state up to which new work is admitted, in bytes.
    pub admitted_state_bytes: u64,
}

impl CoreSettings {
    /// Defaults for a process without seeds that is not a founder and tolerates no loss.
    pub fn with_defaults(me: Voter, incarnation: u64) -> CoreSettings {
        CoreSettings {
            name: "core".to_owned(),
            me,
            incarnation,
            seeds: Vec::new(),
            founders: Vec::new(),
            tolerated_losses: 0,
            catch_up_ms: CATCH_UP_MS,
            grace_ms: GRACE_MS,
            remember_ms: REMEMBER_MARGIN_MS,
            scheduler: SchedulerSettings::default(),
            sync_ms: 0,
            log_bytes: ByteLimits::default(),
            admitted_state_bytes: max_admitted_bytes(0, 0),
        }
    }

    /// Derives the settings from those of the node, for this disk and incarnation. `sync_ms` is how long a sync took when
    /// the store was opened, in milliseconds.
    pub fn of_node(
        node: &NodeSettings,
        disk: DiskId,
        sync_ms: u64,
        incarnation: u64,
    ) -> CoreSettings {
        let address = PeerAddress(node.internal_address);
        let seeds = node.seed_internal();
        let founders = if node.is_founder() {
            seeds.clone()
        } else {
            Vec::new()
        };
        CoreSettings {
            name: node.node.clone(),
            me: Voter {
                disk,
                address,
                zone: node.zone.clone(),
            },
            incarnation,
            founders,
            seeds,
            tolerated_losses: node.fault_tolerance.machines as usize,
            catch_up_ms: node.bounds.catch_up_ms,
            grace_ms: node.bounds.grace_ms,
            remember_ms: node.bounds.status_ms.saturating_add(REMEMBER_MARGIN_MS),
            scheduler: scheduler_settings(node),
            sync_ms,
            log_bytes: ByteLimits::of_machine(node.limits.memory_mb, node.limits.disk_mb),
            admitted_state_bytes: max_admitted_bytes(node.limits.memory_mb, node.limits.disk_mb),
        }
    }
}

/// Derives the scheduler's settings from the deployment's time limits.
fn scheduler_settings(node: &NodeSettings) -> SchedulerSettings {
    let bounds = &node.bounds;
    SchedulerSettings {
        remote_factor: bounds.far_factor,
        max_stop_ms: bounds.stop_ms,
        drain_ms: bounds.drain_ms,
        lease_ms: bounds.lease_max_ms,
        restore_ms: bounds.restore_ms,
        ..SchedulerSettings::default()
    }
}

//! The scheduler's settings, from those of the process.

use lupinrack_node_settings::NodeSettings;
use lupinrack_scheduler::SchedulerSettings;

/// As the bounds of the deployment say.
pub fn scheduler_settings(settings: &NodeSettings) -> SchedulerSettings {
    let bounds = &settings.bounds;
    SchedulerSettings {
        far_factor: bounds.far_factor,
        stop_ms: bounds.stop_ms,
        gang_ms: bounds.gang_ms,
        early_ms: bounds.early_ms,
        drain_ms: bounds.drain_ms,
        lease_ms: bounds.lease_max_ms,
        save_ms: bounds.save_ms,
        restore_ms: bounds.restore_ms,
        ..SchedulerSettings::default()
    }
}

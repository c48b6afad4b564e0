//! The scheduler's settings, from those of the process.

use lupinrack_node_settings::NodeSettings;
use lupinrack_scheduler::SchedulerSettings;

/// As the bounds of the deployment say.
pub fn scheduler_settings(settings: &NodeSettings) -> SchedulerSettings {
    let bounds = &settings.bounds;
    SchedulerSettings {
        remote_factor: bounds.far_factor,
        max_stop_ms: bounds.stop_ms,
        drain_ms: bounds.drain_ms,
        lease_ms: bounds.lease_max_ms,
        restore_ms: bounds.restore_ms,
        ..SchedulerSettings::default()
    }
}

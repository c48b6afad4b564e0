//! The default settings, and the bounds derived from them.

use crate::files::{check, Golden};
use lupinrack_scheduler::SchedulerSettings;

#[test]
fn default_settings_match_the_golden_file() {
    let settings = SchedulerSettings::default();
    let rows = [
        ("far factor", settings.remote_factor.to_string()),
        ("stop", milliseconds(settings.max_stop_ms)),
        ("drain", milliseconds(settings.drain_ms)),
        ("hold", milliseconds(settings.lease_ms)),
        (
            "authority of an old owner",
            milliseconds(settings.old_owner_authority_ms),
        ),
        ("clock drift", settings.clock_drift.to_string()),
        ("hold margin", milliseconds(settings.lease_margin_ms)),
        ("restore", milliseconds(settings.restore_ms)),
        ("resubmission", milliseconds(settings.resubmit_ms)),
        ("silence", milliseconds(settings.heartbeat_timeout_ms)),
        ("busy beat", milliseconds(settings.busy_heartbeat_ms)),
        ("idle beat", milliseconds(settings.idle_heartbeat_ms)),
        ("soon", milliseconds(settings.ending_soon_ms)),
        ("preempt after", milliseconds(settings.preempt_after_ms)),
        ("stall", milliseconds(settings.stall_ms)),
        ("trial", milliseconds(settings.probation_interval_ms)),
        ("queue share", settings.max_queued_share.to_string()),
        ("reservations", settings.max_reservations.to_string()),
        ("dispatch depth", settings.dispatch.depth.to_string()),
        (
            "dispatch least weight ratio",
            settings.dispatch.minimum_weight_ratio.to_string(),
        ),
        (
            "dispatch stream idle",
            milliseconds(settings.dispatch.stream_idle_ms),
        ),
        (
            "dispatch passes",
            settings.dispatch.max_bypasses.to_string(),
        ),
        ("bound on holds", milliseconds(settings.lease_bound_ms())),
        (
            "bound after a takeover",
            milliseconds(settings.takeover_bound_ms()),
        ),
    ];
    let text = rows
        .iter()
        .map(|(name, value)| format!("{name}: {value}\n"))
        .collect();
    check(
        "settings",
        &[Golden {
            name: "defaults.txt".to_owned(),
            text,
        }],
    );
}

fn milliseconds(value: u64) -> String {
    format!("{value} ms")
}

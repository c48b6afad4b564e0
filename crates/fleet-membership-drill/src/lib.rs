//! Fault tests of the fleet membership with real processes: scripts of faults, checkers of the guarantees that only the membership
//! gives, and a report. `lupinrack_fault_injection` runs the scripts.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod cases;
pub mod check;

pub use check::DrillReport;
use lupinrack_fault_injection::{harness, HarnessError, History, Plan};
use std::sync::Arc;

/// The outcome of a script.
pub struct DrillOutcome {
    /// The report, with every violated guarantee.
    pub report: DrillReport,
    /// All that happened.
    pub history: Arc<History>,
}

/// Runs a script and checks its outcome.
pub async fn play(plan: Plan) -> Result<DrillOutcome, HarnessError> {
    let script = plan.script.clone();
    let played = harness::play(plan).await?;
    Ok(DrillOutcome {
        report: DrillReport::new(&script, played.run_record),
        history: played.history,
    })
}

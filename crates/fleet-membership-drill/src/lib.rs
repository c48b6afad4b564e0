//! The drill of the membership: scripts of its hard cases, the checkers of what only it promises, and its table of figures. The harness
//! plays it.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod cases;
pub mod check;

pub use check::Figures;
use lupinrack_fault_injection::{harness, HarnessError, History, Plan};
use std::sync::Arc;

/// What came of a script.
pub struct Played {
    /// The figures, with every broken promise.
    pub figures: Figures,
    /// All that happened.
    pub history: Arc<History>,
}

/// Plays a script and checks it.
pub async fn play(plan: Plan) -> Result<Played, HarnessError> {
    let script = plan.script.clone();
    let played = harness::play(plan).await?;
    Ok(Played {
        figures: Figures::of(&script, played.run_record),
        history: played.history,
    })
}

//! Handwritten situations and the trace of all decisions in them.

mod eviction;
mod faults;
mod gangs;
mod inferred_ends;
mod records;
mod singles;
mod takeovers;

use crate::bench::step;
use crate::files::{check, Golden};
use lupinrack_cluster_api::job::Step;

/// Runs a scenario and returns its trace.
type TraceBuilder = fn() -> String;

/// A step whose tasks write checkpoints.
fn checkpointing(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        checkpoints: true,
        ..step(count, cpu, estimate_ms)
    }
}

#[test]
fn decisions_of_scenarios_match_the_golden_files() {
    let folders: [&[(&str, TraceBuilder)]; 7] = [
        &faults::SCENARIOS,
        &gangs::SCENARIOS,
        &eviction::SCENARIOS,
        &inferred_ends::SCENARIOS,
        &records::SCENARIOS,
        &singles::SCENARIOS,
        &takeovers::SCENARIOS,
    ];
    let file = |(name, build): &(&str, TraceBuilder)| Golden {
        name: format!("{name}.txt"),
        text: build(),
    };
    let built: Vec<Golden> = folders.into_iter().flatten().map(file).collect();
    check("scenarios", &built);
}

//! Situations made by hand, with everything that is decided in them.

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

/// Builds a trace.
type Build = fn() -> String;

/// A step whose tasks save their progress.
fn saving(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        checkpoints: true,
        ..step(count, cpu, estimate_ms)
    }
}

#[test]
fn scenarios_are_decided_as_kept() {
    let folders: [&[(&str, Build)]; 7] = [
        &faults::SCENARIOS,
        &gangs::SCENARIOS,
        &eviction::SCENARIOS,
        &inferred_ends::SCENARIOS,
        &records::SCENARIOS,
        &singles::SCENARIOS,
        &takeovers::SCENARIOS,
    ];
    let file = |(name, build): &(&str, Build)| Golden {
        name: format!("{name}.txt"),
        text: build(),
    };
    let built: Vec<Golden> = folders.into_iter().flatten().map(file).collect();
    check("scenarios", &built);
}

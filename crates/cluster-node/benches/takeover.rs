//! How long it takes until a system is founded, and until a service has another owner after its owner was lost, by the time
//! of a sync. Prints one line for each: `cargo bench -p lupinrack-cluster-node --bench takeover`. Times are simulated, so
//! they do not depend on the machine.

#[path = "../tests/network/mod.rs"]
mod network;

use lupinrack_cluster_api::request::Request;
use network::service_owner::{configuration, next_owner};
use network::Network;

const SYNC_TIMES_MS: [u64; 7] = [2, 50, 120, 200, 260, 300, 500];
const CORES: [usize; 2] = [3, 5];
/// Moments at which the owner is lost.
const PHASES: u64 = 8;
/// Time between two of these moments, in milliseconds.
const PHASE_MS: u64 = 397;
/// The longest time that is waited for anything, in milliseconds.
const WAIT_MS: u64 = 60_000;
/// Time in which a configuration is committed, in syncs and milliseconds.
const CONFIGURATION_SYNCS: u64 = 4;
const CONFIGURATION_MS: u64 = 500;

/// One takeover.
struct Takeover {
    passed_ms: u64,
    /// How many views it needed.
    views: u64,
    /// How many syncs the busiest remaining disk completed.
    syncs: u64,
}

fn founded(cores: usize, sync_ms: u64) -> Option<(Network, u64)> {
    let mut network = Network::with_slow_disks(cores, sync_ms);
    let passed_ms = network.advance_until_founded(WAIT_MS)?;
    Some((network, passed_ms))
}

fn takeover(cores: usize, sync_ms: u64, phase: u64) -> Option<Takeover> {
    let (mut network, _) = founded(cores, sync_ms)?;
    let change = Request::ChangeConfiguration(configuration(1, 1));
    let _reply = network.call(0, change, WAIT_MS);
    network.advance_ms(CONFIGURATION_MS + CONFIGURATION_SYNCS * sync_ms);
    let (lost, _) = next_owner(&mut network, 0, None, WAIT_MS)?;
    network.advance_ms(phase * PHASE_MS);
    let remaining: Vec<usize> = (0..cores).filter(|process| *process != lost).collect();
    let view = network.view_number(remaining[0]);
    let syncs: Vec<u64> = remaining.iter().map(|one| network.syncs(*one)).collect();
    network.end_process(lost);
    let (owner, passed_ms) = next_owner(&mut network, 0, Some(lost), WAIT_MS)?;
    let completed = remaining.iter().zip(syncs);
    let completed = completed.map(|(process, before)| network.syncs(*process) - before);
    let syncs = completed.max().unwrap_or(0);
    Some(Takeover {
        passed_ms,
        views: network.view_number(owner) - view,
        syncs,
    })
}

fn report(cores: usize, sync_ms: u64) -> String {
    let Some((_, founded_ms)) = founded(cores, sync_ms) else {
        return format!("not founded within {WAIT_MS} ms");
    };
    let takeovers = (0..PHASES).map(|phase| takeover(cores, sync_ms, phase));
    let Some(takeovers) = takeovers.collect::<Option<Vec<Takeover>>>() else {
        return format!("founded in {founded_ms} ms; no takeover within {WAIT_MS} ms");
    };
    let most = |value: fn(&Takeover) -> u64| takeovers.iter().map(value).max().unwrap_or(0);
    let shortest = takeovers.iter().map(|takeover| takeover.passed_ms).min();
    format!(
        "founded in {founded_ms} ms; takeover in {} to {} ms, at most {} views and {} syncs of a disk",
        shortest.unwrap_or(0),
        most(|takeover| takeover.passed_ms),
        most(|takeover| takeover.views),
        most(|takeover| takeover.syncs)
    )
}

fn main() {
    for cores in CORES {
        for sync_ms in SYNC_TIMES_MS {
            println!(
                "{cores} cores, {sync_ms} ms a sync: {}",
                report(cores, sync_ms)
            );
        }
    }
}

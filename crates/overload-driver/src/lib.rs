//! The driver of overload handled as one: it asks the core which nodes do not answer, runs the machine, and carries out what that
//! decides. No decision is made here.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use lupinrack_fleet_driver::{Heard, Machine, Words};
use lupinrack_overload::trials::NodeHash;
use lupinrack_overload::{Act, Section, Trials};
use lupinrack_request_engine::EngineHandle;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// How often the machine carries on.
const STEP: Duration = Duration::from_millis(50);
/// Names that are kept for the hashes that others tell.
const NAMES_MOST: usize = 4096;

fn hash(name: &str) -> NodeHash {
    let bytes = blake3::hash(name.as_bytes());
    bytes
        .as_bytes()
        .first_chunk()
        .map_or(0, |b| NodeHash::from_le_bytes(*b))
}

/// Runs for as long as the core and the fleet's driver do.
pub async fn run(section: Section, core: EngineHandle, mut machine: Machine) {
    let mut trials = Trials::new(&section);
    let mut names: HashMap<NodeHash, Arc<str>> = HashMap::new();
    let mut steps = interval(STEP);
    steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tracing::info!(trials_per_s = section.trials_per_s, "overload: begins");
    let mut begun = false;
    loop {
        let mut out = Vec::new();
        tokio::select! {
            heard = machine.heard.recv() => match heard {
                Some(Heard::Said(said)) => trials.hear(core.clock.now(), said.from, &said.bytes, &mut out),
                Some(Heard::Ended(..) | Heard::Reborn(_)) => {}
                None => return,
            },
            _ = steps.tick() => {
                // Before it has its place in the fleet, this front goes by its own pace.
                let standing = machine.standing.borrow().clone();
                let Some(standing) = standing else { continue };
                if !std::mem::replace(&mut begun, true) {
                    core.grant_probation(Vec::new(), core.clock.now()).await;
                }
                let Some(responses) = core.take_node_responses().await else { return };
                if names.len() > NAMES_MOST {
                    names.clear();
                }
                let hashes: Vec<NodeHash> = responses.unresponsive.iter().map(|name| hash(name)).collect();
                names.extend(hashes.iter().copied().zip(responses.unresponsive));
                let answered: Vec<NodeHash> = responses.responded.iter().map(|name| hash(name)).collect();
                trials.step(core.clock.now(), &hashes, &answered, &standing, &mut out);
            }
        }
        for act in out {
            match act {
                Act::Grant(node, until) => {
                    if let Some(name) = names.get(&node) {
                        tracing::debug!(node = &**name, "overload: trial");
                        core.grant_probation(vec![name.clone()], until).await;
                    }
                }
                Act::Back(node) => {
                    if let Some(name) = names.get(&node) {
                        tracing::info!(node = &**name, "overload: answers at another front");
                        core.node_recovered(name.clone()).await;
                    }
                }
                Act::Say(to, bytes) => drop(machine.try_say(Words::Once(to, bytes))),
            }
        }
    }
}

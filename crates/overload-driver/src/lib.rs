//! The driver of overload control across the fleet: it asks the request engine which nodes are unresponsive, runs the state machine,
//! and carries out its actions. It makes no decisions.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use lupinrack_fleet_driver::{Incoming, Outgoing, ProtocolHandle};
use lupinrack_overload::probes::NodeHash;
use lupinrack_overload::{Action, Prober, Section};
use lupinrack_request_engine::EngineHandle;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// How often the state machine is stepped.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Names of nodes that are kept, to resolve the hashes in announcements.
const MAX_NODE_NAMES: usize = 4096;

fn node_hash(name: &str) -> NodeHash {
    let bytes = blake3::hash(name.as_bytes());
    bytes
        .as_bytes()
        .first_chunk()
        .map_or(0, |b| NodeHash::from_le_bytes(*b))
}

/// Runs until the request engine or the driver of the fleet ends.
pub async fn run(section: Section, engine: EngineHandle, mut protocol: ProtocolHandle) {
    let mut prober = Prober::new(&section);
    let mut names: HashMap<NodeHash, Arc<str>> = HashMap::new();
    let mut steps = interval(STEP_INTERVAL);
    steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tracing::info!(trials_per_s = section.trials_per_s, "overload: started");
    let mut started = false;
    loop {
        let mut out = Vec::new();
        tokio::select! {
            incoming = protocol.incoming.recv() => match incoming {
                Some(Incoming::Message(message)) => prober.receive(engine.clock.now(), message.from, &message.bytes, &mut out),
                Some(Incoming::StreamEnded(..) | Incoming::Restarted(_)) => {}
                None => return,
            },
            _ = steps.tick() => {
                // Until this front has joined the fleet, its request engine probes nodes by itself.
                let fleet_state = protocol.fleet_state.borrow().clone();
                let Some(fleet_state) = fleet_state else { continue };
                // The first call, without nodes, makes the request engine wait for grants from now on.
                if !std::mem::replace(&mut started, true) {
                    engine.grant_probation(Vec::new(), engine.clock.now()).await;
                }
                let Some(responses) = engine.take_node_responses().await else { return };
                if names.len() > MAX_NODE_NAMES {
                    names.clear();
                }
                let unresponsive: Vec<NodeHash> = responses.unresponsive.iter().map(|name| node_hash(name)).collect();
                names.extend(unresponsive.iter().copied().zip(responses.unresponsive));
                let responded: Vec<NodeHash> = responses.responded.iter().map(|name| node_hash(name)).collect();
                prober.step(engine.clock.now(), &unresponsive, &responded, &fleet_state, &mut out);
            }
        }
        for action in out {
            match action {
                Action::GrantProbe(node, until) => {
                    if let Some(name) = names.get(&node) {
                        tracing::debug!(node = &**name, "overload: trial");
                        engine.grant_probation(vec![name.clone()], until).await;
                    }
                }
                Action::Recovered(node) => {
                    if let Some(name) = names.get(&node) {
                        tracing::info!(node = &**name, "overload: answers at another front");
                        engine.node_recovered(name.clone()).await;
                    }
                }
                Action::Send(to, bytes) => drop(protocol.try_send(Outgoing::Datagram(to, bytes))),
            }
        }
    }
}

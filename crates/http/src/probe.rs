//! Sends a health probe to a node when the policy asks for one.

use crate::upstream::Upstream;
use lupinrack_request_engine::{EngineHandle, NodeTarget};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The most probes sent at once. Further ones wait in the engine's bounded queue.
const MAX_CONCURRENT_PROBES: usize = 16;

/// Sends probes until the engine has ended.
pub async fn run(
    engine: EngineHandle,
    upstream: Upstream,
    mut targets: mpsc::Receiver<NodeTarget>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_PROBES));
    while let Some(target) = targets.recv().await {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (engine, upstream) = (engine.clone(), upstream.clone());
        tokio::spawn(async move {
            let started_at = engine.clock.now();
            let result = upstream.probe(target.address, PROBE_TIMEOUT).await;
            engine
                .health_checked(
                    target.node,
                    result.outcome,
                    engine.clock.now() - started_at,
                    result.load,
                )
                .await;
            drop(permit);
        });
    }
}

//! The prober: looks at a node when the module asks for it.

use crate::upstream::Upstream;
use lupinrack_request_engine::{EngineHandle, NodeTarget};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};

/// How long a probe may take.
const PATIENCE: Duration = Duration::from_secs(1);
/// Probes out at once; further ones wait in the core's bounded queue.
const OUT_MOST: usize = 16;

/// Runs until the core is gone.
pub async fn run(core: EngineHandle, upstream: Upstream, mut targets: mpsc::Receiver<NodeTarget>) {
    let room = Arc::new(Semaphore::new(OUT_MOST));
    while let Some(target) = targets.recv().await {
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        let (core, upstream) = (core.clone(), upstream.clone());
        tokio::spawn(async move {
            let began = core.clock.now();
            let ended = upstream.probe(target.address, PATIENCE).await;
            core.health_checked(
                target.node,
                ended.outcome,
                core.clock.now() - began,
                ended.load,
            )
            .await;
            drop(permit);
        });
    }
}

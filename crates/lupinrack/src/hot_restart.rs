//! Shares the limits of a front between its processes during an upgrade: polls the state that the other processes publish,
//! has the policy use the share that results, and publishes that share.

use lupinrack_graceful_shutdown::Phase;
use lupinrack_hot_restart::{ProcessShare, ShareFile, Step};
use lupinrack_request_engine::EngineHandle;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Interval at which the state of the other processes is read.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How long the start waits for a first share. The previous process notices the new one within one poll. Without a share the
/// process still serves requests that need no limit.
const FIRST_SHARE_TIMEOUT: Duration = Duration::from_millis(400);

/// This process's part in a hot restart.
pub struct HotRestart {
    post: ShareFile,
    engine: EngineHandle,
    share: ProcessShare,
}

impl HotRestart {
    /// Registers this process in `$TMPDIR` and waits up to [`FIRST_SHARE_TIMEOUT`] for a share. Returns `None` if there is no
    /// such folder: the process then uses the whole limits, as if it were the only one.
    pub async fn start(engine: EngineHandle) -> Option<HotRestart> {
        let folder = std::env::var_os("TMPDIR")
            .map(PathBuf::from)
            .filter(|f| !f.as_os_str().is_empty());
        let post = match folder.as_deref().map(ShareFile::create) {
            Some(Ok(post)) => post,
            Some(Err(error)) => {
                tracing::warn!(
                    "hot restart: cannot register among the processes of this front: {error}"
                );
                return None;
            }
            None => {
                tracing::warn!("hot restart: TMPDIR is unset or empty");
                return None;
            }
        };
        engine.set_process_share(0.0).await;
        let mut restart = HotRestart {
            post,
            engine,
            share: ProcessShare::default(),
        };
        let started = Instant::now();
        while restart.share.used() <= 0.0 && started.elapsed() < FIRST_SHARE_TIMEOUT {
            restart.step(false).await;
            if restart.share.used() <= 0.0 {
                sleep(POLL_INTERVAL).await;
            }
        }
        Some(restart)
    }

    /// Adjusts the share for as long as the process serves.
    pub async fn run(mut self, phase: watch::Receiver<Phase>) {
        loop {
            sleep(POLL_INTERVAL).await;
            let shutting_down = *phase.borrow() >= Phase::NotReady;
            self.step(shutting_down).await;
        }
    }

    async fn step(&mut self, shutting_down: bool) {
        // If the folder cannot be read, nothing is known of the other processes: keep the current share.
        while let Ok(seen) = self.post.read_others() {
            match self.share.update(&seen, shutting_down) {
                Step::Keep => return,
                Step::Announce(share) => {
                    if let Err(error) = self.post.publish(share) {
                        tracing::debug!("hot restart: cannot announce the share: {error}");
                        return self.share.announcement_failed();
                    }
                }
                Step::Use(share) => {
                    self.engine.set_process_share(share).await;
                    tracing::info!("uses {share:.2} of this front's limits");
                    if let Err(error) = self.post.publish(share) {
                        // The other processes keep assuming the share published before, which is the larger one.
                        tracing::warn!("hot restart: cannot publish the share in use: {error}");
                    }
                    return;
                }
            }
        }
    }
}

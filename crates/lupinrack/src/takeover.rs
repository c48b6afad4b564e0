//! Drives the parts of an upgrade: looks at the other processes of this front, has the module use what is decided, and
//! publishes it.

use lupinrack_graceful_shutdown::Phase;
use lupinrack_hot_restart::{ProcessShare, ShareFile, Step};
use lupinrack_request_engine::EngineHandle;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// How often the others are looked at.
const EVERY: Duration = Duration::from_millis(25);
/// How long the start waits for a first part: the one before hears of it within one look. Without any the process serves all
/// the same, what needs no limit.
const FIRST: Duration = Duration::from_millis(400);

/// This process among those of its front.
pub struct Takeover {
    post: ShareFile,
    core: EngineHandle,
    share: ProcessShare,
}

impl Takeover {
    /// Takes a place in `$TMPDIR` and waits a moment for a part. None where there is no such folder: the process then goes by the
    /// whole, as one that is alone.
    pub async fn begin(core: EngineHandle) -> Option<Takeover> {
        let folder = std::env::var_os("TMPDIR")
            .map(PathBuf::from)
            .filter(|f| !f.as_os_str().is_empty());
        let post = match folder.as_deref().map(ShareFile::create) {
            Some(Ok(post)) => post,
            Some(Err(why)) => {
                tracing::warn!("upgrades: no place among the processes of this front: {why}");
                return None;
            }
            None => {
                tracing::warn!("upgrades: TMPDIR names no folder");
                return None;
            }
        };
        core.set_process_share(0.0).await;
        let mut takeover = Takeover {
            post,
            core,
            share: ProcessShare::default(),
        };
        let began = Instant::now();
        while takeover.share.used() <= 0.0 && began.elapsed() < FIRST {
            takeover.step(false).await;
            if takeover.share.used() <= 0.0 {
                sleep(EVERY).await;
            }
        }
        Some(takeover)
    }

    /// Goes on for as long as the process serves.
    pub async fn run(mut self, phase: watch::Receiver<Phase>) {
        loop {
            sleep(EVERY).await;
            let ending = *phase.borrow() >= Phase::NotReady;
            self.step(ending).await;
        }
    }

    async fn step(&mut self, ending: bool) {
        // A folder that cannot be read tells nothing of the others: the part stays.
        while let Ok(seen) = self.post.read_others() {
            match self.share.update(&seen, ending) {
                Step::Keep => return,
                Step::Announce(part) => {
                    if let Err(why) = self.post.publish(part) {
                        tracing::debug!("upgrades: {why}");
                        return self.share.announcement_failed();
                    }
                }
                Step::Use(part) => {
                    self.core.set_process_share(part).await;
                    tracing::info!("uses {part:.2} of this front's limits");
                    if let Err(why) = self.post.publish(part) {
                        // Others go on by the greater word.
                        tracing::warn!("upgrades: {why}");
                    }
                    return;
                }
            }
        }
    }
}

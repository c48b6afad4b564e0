//! Drives the parts of an upgrade: looks at the other processes of this front, has the module use what is decided, and
//! publishes it. Lowered use comes before lowered word; a raise is published, looked at again, and only then used.

use lupinrack_core::Handle;
use lupinrack_lifecycle::Phase;
use lupinrack_takeover::{decide, Post};
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
    post: Post,
    core: Handle,
    part: f64,
}

impl Takeover {
    /// Takes a place in `$TMPDIR` and waits a moment for a part. None where there is no such folder: the process then goes by the
    /// whole, as one that is alone.
    pub async fn begin(core: Handle) -> Option<Takeover> {
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|f| !f.as_os_str().is_empty());
        let post = match folder.as_deref().map(Post::take) {
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
        core.part(0.0).await;
        let mut takeover = Takeover { post, core, part: 0.0 };
        let began = Instant::now();
        while takeover.part <= 0.0 && began.elapsed() < FIRST {
            takeover.step(false).await;
            if takeover.part <= 0.0 {
                sleep(EVERY).await;
            }
        }
        Some(takeover)
    }

    /// Goes on for as long as the process serves.
    pub async fn run(mut self, phase: watch::Receiver<Phase>) {
        loop {
            sleep(EVERY).await;
            let ending = *phase.borrow() >= Phase::Ending;
            self.step(ending).await;
        }
    }

    async fn step(&mut self, ending: bool) {
        // A folder that cannot be read tells nothing of the others: the part stays.
        let Ok(seen) = self.post.look() else { return };
        let mut part = decide(self.part, &seen, ending);
        if part == self.part {
            return;
        }
        if part > self.part {
            if self.post.publish(part).is_err() {
                return;
            }
            let Ok(again) = self.post.look() else { return };
            part = part.min(decide(self.part, &again, ending));
        }
        self.core.part(part).await;
        tracing::info!("uses {part} of this front's limits");
        self.part = part;
        if let Err(why) = self.post.publish(part) {
            tracing::warn!("upgrades: {why}");
        }
    }
}

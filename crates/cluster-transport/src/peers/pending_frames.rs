//! Frames that wait until there is a connection.

use super::settings::PeerSettings;
use std::collections::VecDeque;
use tokio::time::Instant;

/// An encoded frame, and the time since which it waits.
struct PendingFrame {
    since: Instant,
    bytes: Vec<u8>,
}

/// The frames that wait for a connection to one peer, the oldest first.
#[derive(Default)]
pub(super) struct PendingFrames {
    frames: VecDeque<PendingFrame>,
    bytes: usize,
}

impl PendingFrames {
    /// Adds an encoded frame. Expired frames are dropped, then the oldest ones while there are too many.
    pub(super) fn push(&mut self, bytes: Vec<u8>, now: Instant, settings: &PeerSettings) {
        self.drop_expired(now, settings);
        self.bytes += bytes.len();
        self.frames.push_back(PendingFrame { since: now, bytes });
        while self.frames.len() > settings.max_pending_frames
            || self.bytes > settings.max_pending_bytes
        {
            self.drop_oldest();
        }
    }

    /// Drops the frames that have waited too long.
    pub(super) fn drop_expired(&mut self, now: Instant, settings: &PeerSettings) {
        let has_expired =
            |frame: &PendingFrame| now.duration_since(frame.since) > settings.max_pending_age;
        while self.frames.front().is_some_and(has_expired) {
            self.drop_oldest();
        }
    }

    /// Takes all frames out, the oldest first.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Vec<u8>> {
        self.bytes = 0;
        std::mem::take(&mut self.frames)
            .into_iter()
            .map(|frame| frame.bytes)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    fn drop_oldest(&mut self) {
        if let Some(frame) = self.frames.pop_front() {
            self.bytes -= frame.bytes.len();
        }
    }
}

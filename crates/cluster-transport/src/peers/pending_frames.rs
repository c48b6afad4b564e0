//! Frames that wait until there is a connection.

use super::settings::PeerSettings;
use std::collections::VecDeque;
use tokio::time::Instant;

/// An encoded frame and since when it waits.
struct Waiting {
    since: Instant,
    bytes: Vec<u8>,
}

/// The frames that wait for a connection to one peer, oldest first.
#[derive(Default)]
pub(super) struct WaitingFrames {
    frames: VecDeque<Waiting>,
    bytes: usize,
}

impl WaitingFrames {
    /// Adds an encoded frame; drops what is too old, and the oldest ones where there is no room.
    pub(super) fn push(&mut self, bytes: Vec<u8>, now: Instant, settings: &PeerSettings) {
        self.drop_expired(now, settings);
        self.bytes += bytes.len();
        self.frames.push_back(Waiting { since: now, bytes });
        while self.frames.len() > settings.waiting_frames_most
            || self.bytes > settings.waiting_bytes_most
        {
            self.drop_oldest();
        }
    }

    /// Drops the frames that have waited too long.
    pub(super) fn drop_expired(&mut self, now: Instant, settings: &PeerSettings) {
        let expired =
            |waiting: &Waiting| now.duration_since(waiting.since) > settings.waiting_age_most;
        while self.frames.front().is_some_and(expired) {
            self.drop_oldest();
        }
    }

    /// Takes all frames out, oldest first.
    pub(super) fn take(&mut self) -> impl Iterator<Item = Vec<u8>> {
        self.bytes = 0;
        std::mem::take(&mut self.frames)
            .into_iter()
            .map(|waiting| waiting.bytes)
    }

    /// Whether no frame waits.
    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    fn drop_oldest(&mut self) {
        if let Some(waiting) = self.frames.pop_front() {
            self.bytes -= waiting.bytes.len();
        }
    }
}

//! What a connection is doing, reported by its socket and its service to the watchdog.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of a request has arrived.
    Idle,
    /// A part of a request's header section has arrived.
    Head,
    /// A request is being read or answered.
    Busy,
}

const IDLE: u8 = 0;
const HEAD: u8 = 1;
const BUSY: u8 = 2;

/// What a connection is doing. All users run in the connection's task, so relaxed ordering is enough: accesses happen
/// in program order.
#[derive(Default)]
pub(super) struct Activity {
    phase: AtomicU8,
    phase_changes: AtomicU64,
    write_blocked: AtomicBool,
    input_ended: AtomicBool,
    input_unread: AtomicBool,
}

impl Activity {
    /// The current phase.
    pub(super) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            IDLE => Phase::Idle,
            HEAD => Phase::Head,
            _ => Phase::Busy,
        }
    }

    /// A number that increases with each change of the phase.
    pub(super) fn phase_changes(&self) -> u64 {
        self.phase_changes.load(Ordering::Relaxed)
    }

    /// Whether no request is being read or answered, and all responses have been written.
    pub(super) fn is_idle(&self) -> bool {
        self.phase() == Phase::Idle && !self.write_blocked.load(Ordering::Relaxed)
    }

    /// The header section of a request is complete.
    pub(super) fn request_began(&self) {
        self.set_phase(BUSY);
    }

    /// The response to a request is ready.
    pub(super) fn request_ended(&self) {
        self.set_phase(IDLE);
    }

    /// A request was answered before it was read to its end.
    pub(super) fn answered_early(&self) {
        self.input_unread.store(true, Ordering::Relaxed);
    }

    /// Whether a request was answered before it was read to its end.
    pub(super) fn has_unread_input(&self) -> bool {
        self.input_unread.load(Ordering::Relaxed)
    }

    /// Whether the client has ended its output.
    pub(super) fn has_input_ended(&self) -> bool {
        self.input_ended.load(Ordering::Relaxed)
    }

    /// Bytes have arrived; zero bytes mean the end of the client's output.
    pub(super) fn received(&self, bytes: usize) {
        if bytes == 0 {
            self.input_ended.store(true, Ordering::Relaxed);
        } else if self.phase() == Phase::Idle {
            self.set_phase(HEAD);
        }
    }

    /// Records whether the socket has accepted everything that was written.
    pub(super) fn set_write_blocked(&self, blocked: bool) {
        self.write_blocked.store(blocked, Ordering::Relaxed);
    }

    fn set_phase(&self, phase: u8) {
        self.phase.store(phase, Ordering::Relaxed);
        self.phase_changes.fetch_add(1, Ordering::Relaxed);
    }
}

//! Bounds on what clients send.

use lupinrack_cluster_api::configuration::Limits;
use std::time::Duration;

/// Bounds on what clients send, and on how many connections there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Bytes of a request's head; more is answered 431.
    pub max_header_bytes: u64,
    /// Bytes of a request's body; more is answered 413.
    pub max_body_bytes: u64,
    /// Milliseconds for a request's head to arrive, and between two pieces of its body; more is answered 408.
    pub header_timeout_ms: u64,
    /// Milliseconds after which an idle connection is closed; also the most that a whole body may take.
    pub idle_timeout_ms: u64,
    /// How many connections may be open; further ones wait in the kernel's queue, and idle ones make room for them.
    pub most_connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
            most_connections: 1024,
        }
    }
}

impl HttpLimits {
    /// The bounds of a configuration; 0 there stands for the default.
    pub fn of(limits: &Limits, most_connections: usize) -> Self {
        let default = HttpLimits::default();
        let or = |value: u64, default: u64| if value == 0 { default } else { value };
        HttpLimits {
            max_header_bytes: or(limits.max_header_bytes, default.max_header_bytes),
            max_body_bytes: or(limits.max_body_bytes, default.max_body_bytes),
            header_timeout_ms: or(limits.header_timeout_ms, default.header_timeout_ms),
            idle_timeout_ms: or(limits.idle_timeout_ms, default.idle_timeout_ms),
            most_connections,
        }
    }

    pub(super) fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    pub(super) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

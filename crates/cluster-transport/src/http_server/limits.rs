//! Limits on what clients send.

use lupinrack_cluster_api::configuration::Limits;
use std::time::Duration;

/// Limits on what clients send, and on the number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// The largest header section of a request, in bytes; a larger one is answered with status 431.
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes; a larger one is answered with status 413.
    pub max_body_bytes: u64,
    /// The timeout for a request's header section, and for each pause between two parts of its body, in milliseconds; a
    /// slower request is answered with status 408.
    pub header_timeout_ms: u64,
    /// The time after which an idle connection is closed, in milliseconds; also the total time for a body.
    pub idle_timeout_ms: u64,
    /// How many connections may be open. Further ones wait in the kernel's queue, and idle
    /// connections are closed to free capacity for them.
    pub max_connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
            max_connections: 1024,
        }
    }
}

impl HttpLimits {
    /// The limits of a configuration, where 0 stands for the default.
    pub fn of(limits: &Limits, max_connections: usize) -> Self {
        let default = HttpLimits::default();
        let or_default = |value: u64, default: u64| if value == 0 { default } else { value };
        HttpLimits {
            max_header_bytes: or_default(limits.max_header_bytes, default.max_header_bytes),
            max_body_bytes: or_default(limits.max_body_bytes, default.max_body_bytes),
            header_timeout_ms: or_default(limits.header_timeout_ms, default.header_timeout_ms),
            idle_timeout_ms: or_default(limits.idle_timeout_ms, default.idle_timeout_ms),
            max_connections,
        }
    }

    pub(super) fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    pub(super) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

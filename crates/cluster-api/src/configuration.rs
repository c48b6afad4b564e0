//! The operator's configuration, as parsed.

use crate::identity::{QueueName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};

/// A route, which is a queue of jobs.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Route {
    /// Its name.
    pub name: QueueName,
    /// The `Host` header that it serves.
    pub host: String,
    /// The beginning of the paths that it serves.
    pub path_prefix: String,
    /// Milliseconds that a request may take.
    pub timeout_ms: u64,
    /// Milliseconds that clients hope for.
    pub target_latency_ms: u64,
    /// 0 goes first and may preempt others.
    pub priority: u32,
    /// The service whose servers run its tasks.
    pub service: ServiceName,
    /// Failed runs of a task after which its job has failed.
    pub max_retries: u32,
    /// Times the longest chain of work that a job may take, in thousandths.
    pub extension_milli: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its servers reject what does not fit.
    pub guards: bool,
}

/// Bounds on what clients send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Milliseconds for a request's head to arrive.
    pub header_timeout_ms: u64,
    /// Milliseconds after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

/// A whole configuration under its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// Its version; 0 before the first.
    pub version: u64,
    /// Its routes, sorted by name.
    pub routes: Vec<Route>,
    /// Its services, sorted by name.
    pub services: Vec<Service>,
    /// Its bounds.
    pub limits: Limits,
}

impl Configuration {
    /// The route of a request: its host, and the longest prefix with which the path begins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        self.routes
            .iter()
            .filter(fits)
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The route of this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == *name)
    }
}

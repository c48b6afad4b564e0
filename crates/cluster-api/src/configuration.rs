//! The operator's configuration, as the system reads it.

use crate::identity::{QueueName, ServiceName, JOB_ID_DIGITS};
use crate::request::Target;
use borsh::{BorshDeserialize, BorshSerialize};

/// A route. Its jobs form a queue.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Route {
    /// Its name.
    pub name: QueueName,
    /// The `Host` header of the requests that it serves.
    pub host: String,
    /// The prefix of the paths that it serves.
    pub path_prefix: String,
    /// How long a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in milliseconds.
    pub target_latency_ms: u64,
    /// The priority; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// The service whose servers run its tasks.
    pub service: ServiceName,
    /// The number of failed runs of one task after which its job has failed.
    pub max_retries: u32,
    /// The target duration of a job as a multiple of its longest chain of work, in thousandths.
    pub extension_milli: u64,
}

/// Where clients reach a queue: the host and the path prefix of its route. No two routes of a configuration have the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct QueueAddress {
    /// The `Host` header of the requests.
    pub host: String,
    /// The prefix of their paths.
    pub path_prefix: String,
}

impl QueueAddress {
    /// Whether a request with this host and path is below the address.
    pub fn covers(&self, host: &str, path: &str) -> bool {
        is_below(&self.host, &self.path_prefix, host, path)
    }

    /// The address to which a request for a job was sent: its target without the job's identity and a
    /// query. None if the path does not end in an identity.
    pub fn of_job_request(target: &Target) -> Option<QueueAddress> {
        let path = target.path.split('?').next()?;
        let prefix_length = path.len().checked_sub(JOB_ID_DIGITS)?;
        Some(QueueAddress {
            host: target.host.clone(),
            path_prefix: path.get(..prefix_length)?.to_owned(),
        })
    }
}

/// Whether a request with this host and path is below the address of a queue.
fn is_below(queue_host: &str, path_prefix: &str, host: &str, path: &str) -> bool {
    queue_host == host && path.starts_with(path_prefix)
}

impl Route {
    /// Whether a request with this host and path is below the address of its queue.
    pub fn covers(&self, host: &str, path: &str) -> bool {
        is_below(&self.host, &self.path_prefix, host, path)
    }

    /// Where clients reach its queue.
    pub fn address(&self) -> QueueAddress {
        QueueAddress {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its servers reject a task for which they lack capacity.
    pub guards: bool,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub max_header_bytes: u64,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// How long a request's head may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// After how long an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A complete configuration under its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// Its version; 0 before the first.
    pub version: u64,
    /// Its routes, sorted by name.
    pub routes: Vec<Route>,
    /// Its services, sorted by name.
    pub services: Vec<Service>,
    /// Its limits.
    pub limits: Limits,
}

impl Configuration {
    /// The route of a request: among those for its host, the one with the longest prefix of its
    /// path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.covers(host, path))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The route of this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == *name)
    }
}

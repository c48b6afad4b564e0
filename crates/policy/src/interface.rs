//! The types that a host and its [`Balancer`](crate::Balancer) exchange: settings at the start, events in,
//! actions out. No decision is made here.
//!
//! Times are whole microseconds on the embedder's monotonic clock, which may start at any reading.

mod action;
mod event;
mod ids;
mod node;
mod outcome;
mod quota;
mod request;
mod settings;

pub use action::Action;
pub use event::Event;
pub use ids::{Key, Micros, NodeId, RequestId, Shard, VolumeId, Zone};
pub use node::{NodeEntry, NodeListKind, NodeState, NodeStatus};
pub use outcome::{AttemptEnd, LoadReport, Outcome};
pub use quota::QuotaShares;
pub use request::Request;
pub use settings::{
    Class, DeduplicationScope, DiscoveryMode, Idempotence, Plan, RateLimit, RetryBudget, Settings,
    SlowStart,
};

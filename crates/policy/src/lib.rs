//! lupinrack makes the decisions of a host-side scheduler for a shared disk pool.
//!
//! Each host (gateway) owns one [`Balancer`]. It passes what it observes ([`Event`]) and carries out the
//! actions that the balancer returns ([`Action`]). The balancer does no I/O, reads no clock and has no threads:
//! time and the seed of its random numbers are arguments, and the same input gives the same output.
//!
//! ```
//! use lupinrack_policy::*;
//!
//! let class = Class {
//!     latency_target: 300_000, latency_target_stretch: 0.0, deadline: 2_000_000, idempotence: Idempotence::Idempotent, in_order: false,
//!     streamed: false, value: 1.0, late_value_share: 0.2, writes: false,
//! };
//! let plan = Plan { weight: 1.0, reserved_rate: 2.0, nominal_rate: 4.0, value_multiplier: 1.0, limit: None };
//! let settings = Settings {
//!     hosts: 3, classes: vec![class], plans: vec![plan], drain_grace: 1_000_000, timer_resolution: 2_000, max_attempts: 3,
//!     send_retry_after: true, max_retry_after: 2_000_000, ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The node list as the host last had it.
//! let node = NodeEntry {
//!     node: NodeId(7), state: NodeState::Ready, zone: Zone(0), shard: Shard(0), started: None, weight: 1.0,
//! };
//! balancer.handle(0, Event::NodeList { kind: NodeListKind::Cached, entries: vec![node] }, &mut actions);
//!
//! // A request arrives. The node has a free slot, so the request is sent at once.
//! let request = Request {
//!     id: RequestId(1), class: 0, plan: 0, volume: VolumeId(9), hosts: 1.0, units: 2.0, key: None,
//!     shard: Some(Shard(0)), client_deadline: 2_001_000, is_client_retry: false, shard_unknown: false,
//! };
//! balancer.handle(1_000, Event::RequestArrived(request), &mut actions);
//! let (request, node, begin_by) = (RequestId(1), NodeId(7), Micros::MAX);
//! assert!(actions.contains(&Action::Send { request, node, timeout: None, begin_by }));
//! ```
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

mod asking;
mod balancer;
mod interface;

pub use balancer::Balancer;
pub use interface::*;

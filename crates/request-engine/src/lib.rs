//! The request engine: the loop around one [`Balancer`](lupinrack_policy::Balancer).
//!
//! The engine owns the balancer and the state around it: the open requests and their attempts, the node table, the timers, and, where
//! they are used, the map of extents and the quota that this front has from its fleet. It is independent of any wire protocol: fronts
//! (HTTP, rsync) open requests through an [`EngineHandle`], carry out the [`Order`]s that come back on each [`RequestHandle`], and
//! report the outcomes through a [`RequestReporter`].
//!
//! [`Engine::run`] is one task. Each turn drains the input queue, reads the clock once, passes every input and every expired timer
//! to the balancer, and carries out the balancer's actions. Inputs are processed in the order in which they were sent.
//!
//! Three invariants hold for every front:
//!
//! 1. Each [`Order::Send`] has exactly one outcome. A second report of the same attempt changes nothing, and when an owner ends
//!    early, its attempts are reported as reset.
//! 2. Each request has one final answer.
//! 3. A request is removed once it has ended and none of its attempts is in flight; its queue of orders is then closed.
//!
//! Start reading at [`Engine`], then [`Order`].

mod clock;
mod engine;
mod engine_handle;
mod extent_router;
mod fleet_quota;
mod flow;
mod input;
mod node_queries;
mod node_table;
mod open_requests;
mod order;
mod request_handle;
mod send_permit;
mod timers;

pub use clock::Clock;
pub use engine::{Engine, EngineParts, ExtentMapChannels};
pub use engine_handle::EngineHandle;
pub use extent_router::DRIVER_QUEUE_LENGTH;
pub use flow::{Flow, FlowEnd};
pub use node_queries::{NodeCounts, NodeResponses, ServedVolume};
pub use node_table::{NodeListing, NodeTarget};
pub use order::{Attempt, Order};
pub use request_handle::{RequestHandle, RequestReporter};
pub use send_permit::SendPermit;

//! The request engine: the loop around one [`Balancer`](lupinrack_policy::Balancer).
//!
//! The engine owns what the decisions are made from and what they lead to: the balancer, the open requests and their attempts, the
//! node table, the timers, and, where they are used, the map of extents and this front's part in its fleet. It knows no wire: fronts
//! (HTTP, rsync) open requests through an [`EngineHandle`], carry out the [`Order`]s that come back on each [`RequestHandle`], and
//! report what came of them by a [`RequestReporter`].
//!
//! [`Engine::run`] is one task. In each turn it takes all inputs that wait, reads the clock once, tells the balancer of each input and
//! of each timer that is due, and carries out the balancer's actions. Inputs keep their order.
//!
//! Three promises hold for every front:
//!
//! 1. Each [`Order::Send`] has exactly one outcome. A second report of the same attempt changes nothing, and an owner that ends early
//!    has its attempts reported as reset.
//! 2. Each request has one final answer.
//! 3. A request is forgotten once it is over and none of its attempts is in flight; its owner then sees the end of its orders.
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

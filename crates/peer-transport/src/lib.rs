//! What all machines of the fleet share between two fronts: one head with a keyed sum ([`frame`]), a budget of datagrams and
//! bytes by priority ([`budget`]), and bounded streams for what does not fit into a datagram ([`stream`]). No I/O, no clock.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod budget;
pub mod frame;
pub mod stream;

pub use frame::{Head, Keys, Tag, Void, LONGEST};

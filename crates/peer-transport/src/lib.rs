//! What the state machines of the fleet share when they exchange datagrams between two fronts. No I/O, no clock.
//!
//! - [`frame`]: the header and the keyed digest of each datagram.
//! - [`budget`]: limits on datagrams and bytes, by the priority of the protocol.
//! - [`stream`]: bounded streams for messages that do not fit into one datagram.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod budget;
pub mod frame;
pub mod stream;

pub use frame::{FrameError, Header, Keys, Tag, MAX_DATAGRAM_BYTES};

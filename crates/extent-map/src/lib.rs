//! Where data lies: a cached, versioned map of extents, as a state machine without I/O, clock or threads.
//!
//! An extent is a range of keys of one volume on one shard, since an epoch. [`Cache`] holds what a front knows of them;
//! a driver (`lupinrack-extent-map-driver`, or a simulation) carries out its [`Action`]s and brings the [`Input`]s.
//! `docs/design/extents.md` has the reasons.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod budget;
mod cache;
pub mod config;
pub mod datagram;
pub mod map;
mod peers;
pub mod plain;
pub mod ranges;
pub mod snapshot;
pub mod words;

pub use cache::{Action, Cache, Counters, Input, Party, Place, Turn, FLIGHTS_MOST, WANTED_MOST};
pub use ranges::Piece;
pub use words::{Change, Cover, News, Version};

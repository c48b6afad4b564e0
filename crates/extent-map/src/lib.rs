//! A cached, versioned map of extents, which tells on which shard data is: a state machine without I/O, clock or
//! threads.
//!
//! An extent is a range of keys of one volume that has been on one shard since an epoch. [`Cache`] holds the extents
//! that a front knows. A driver (`lupinrack-extent-map-driver`, or a simulation) carries out its [`Action`]s and passes
//! in [`Input`]s. `docs/design/extents.md` has the reasons behind the design.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod btree_ranges;
mod cache;
pub mod config;
pub mod datagram;
pub mod map;
mod peers;
pub mod protocol;
pub mod ranges;
pub mod snapshot;
pub mod token_bucket;

pub use cache::{
    Action, Cache, Counters, Input, Location, Reroute, Source, MAX_IN_FLIGHT_FETCHES,
    MAX_QUEUED_FETCHES,
};
pub use protocol::{Change, FetchResponse, PollResponse, Version};
pub use ranges::KeyRange;

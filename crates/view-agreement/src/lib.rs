//! Agreement on the view of the core: a register changed by two-phase ballots, and the policy that proposes views.
//!
//! View `n + 1` is decided as one instance of single-decree Paxos whose acceptors are the voters of view `n`. Every
//! acceptor knows view `n` (and has it on its disk) before it accepts view `n + 1`, so instances never mix and a
//! proposer always knows whose majority it needs. On top of that, a view counts as agreed only once a majority of its
//! own voters has accepted it too, so that the next instance starts with acceptors that hold it.
//!
//! Everything here is a pure state machine: moments and the life of the process come in as arguments, and what is to
//! be written or sent goes out as [`Effect`]s.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod acceptor;
pub mod agreement;
mod backoff;
pub mod effect;
pub mod policy;
mod proposal;
mod quorum;
pub mod vote;

pub use agreement::Agreement;
pub use effect::Effect;
pub use policy::{PeerReport, PolicySettings, ViewPolicy};
pub use vote::VoteState;

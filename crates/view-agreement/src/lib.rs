//! Agreement on the view of the core, and the policy that proposes views.
//!
//! A [`View`](lupinrack_cluster_api::view::View) lists the voters and the replication chain of the
//! core. This crate decides which view to propose and how the next view is agreed; it does not
//! replicate the control state.
//!
//! # The protocol
//!
//! View `n + 1` is decided by one instance of single-decree Paxos (Lamport, *Paxos Made Simple*,
//! 2001) whose acceptors are the voters of view `n`; view 1 is decided by the founders. Every
//! acceptor has view `n` on its disk before it accepts view `n + 1`, so instances never mix, and a
//! proposer always knows which acceptors form its majority. In addition a view counts as agreed only once a
//! majority of its *own* voters has accepted it too, so that the next instance starts with acceptors
//! that have it on disk (compare Lamport, Malkhi and Zhou, *Reconfiguring a State Machine*, 2010).
//!
//! # How it is driven
//!
//! [`Agreement`] and [`ViewPolicy`] are state machines without I/O or clock: the current time and
//! the incarnation of the process are arguments, and writes and messages are returned as
//! [`Effect`]s. The driver carries out the effects of an agreement in order.
//!
//! # Where to start reading
//!
//! [`Agreement`] ties the three roles of Paxos together: `acceptor`, `proposer`, and the learner in
//! `agreement` itself. [`ViewPolicy`] ties the failure detector to the plans of the next view.

mod acceptor;
mod agreement;
mod backoff;
mod effect;
mod electorate;
mod pace;
pub mod policy;
mod proposal;
mod proposer;
mod quorum;
mod rival;
mod vote;

pub use agreement::Agreement;
pub use effect::Effect;
pub use policy::{PeerReport, PolicySettings, ViewPolicy};
pub use vote::VoteState;

//! Chain replication of the control state's log.
//!
//! [`Chain`] is the state machine of one disk: member of the chain of the newest view, or spare that keeps a warm copy. It
//! makes no I/O and reads no clock; the driver hands it messages, moments and the completion of writes, and carries out
//! the [`Effect`]s in their order.
//!
//! # Why it is safe
//!
//! - *One sequence per view.* Only the head of a view numbers entries. A head that was restarted within its view has
//!   forgotten what it sent, so it stays silent until a newer view begins ([`Chain::needs_new_view`]).
//! - *Verified prefix.* At the beginning of a view a member trusts its log only as far as it is known to be committed; the
//!   rest is compared with what its predecessor sends, and replaced where it differs. Only the verified part is
//!   acknowledged and sent on.
//! - *ReplicaStatus.* A disk is [`ReplicaStatus::Complete`] when it has everything that was committed before its view. A view that
//!   appends a spare starts with an incomplete member, since the old chain may commit until its members learn of the
//!   view. The head first has everything acknowledged that it had when the view began, then passes barrier 1, on
//!   which members make their standing durable; nothing is committed before that barrier has come back. So every
//!   member of a view in which anything was committed is complete, also after a restart.
//! - *Succession.* The head of a view has to be a disk that was complete in the view before it
//!   ([`Chain::is_complete`] under that view's number); the policy that proposes views has to see to it. A member that
//!   is complete and has adopted a view keeps every older view from committing.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod catch_up_source;
mod chain;
mod commit;
mod commit_lag;
mod effect;
mod flow_control;
mod follower;
pub mod limits;
mod log;
mod receive;
mod snapshot;
mod tick;
mod view_change;

pub use chain::{Chain, StoredState, SubmitError};
pub use effect::{Effect, ReplicaStatus};
pub use snapshot::checksum as snapshot_checksum;

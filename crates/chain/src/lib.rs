//! Chain replication of the control state's log.
//!
//! The protocol is that of van Renesse and Schneider, *Chain Replication for Supporting High
//! Throughput and Availability* (OSDI 2004): the *head* numbers entries, each member forwards them
//! to its *successor*, and the *tail* acknowledges them first, so an entry that was acknowledged all
//! the way back to the head is on the disk of every member and thereby committed. Instead of the
//! paper's master, an agreed [`View`](lupinrack_cluster_api::view::View) says which disks form the
//! chain. Disks outside the chain are *spares* that follow it and are ready to join.
//!
//! # How it is driven
//!
//! [`Chain`] is the state machine of one disk, member or spare. It makes no I/O and reads no clock:
//! the driver passes in messages, the current time and the completion of writes, and carries out
//! the [`Effect`]s in order. Messages may be lost, repeated and reordered.
//!
//! # Why it is safe
//!
//! - *One sequence per view.* Only the head of a view numbers entries. A head that was restarted
//!   within its view no longer knows what it sent, so it sends nothing until a newer view begins
//!   ([`Chain::needs_new_view`]).
//! - *Verified prefix.* At the beginning of a view a member trusts its log only as far as it is
//!   known to be committed; later entries are compared with those of its predecessor, and replaced
//!   where they differ. Only the verified part is acknowledged and forwarded.
//! - *Replica status.* A disk is [`ReplicaStatus::Complete`] if it has everything that was committed
//!   before its view. A view that appends a spare begins with an incomplete member, since the old
//!   chain may commit until its members learn of the view. The head first waits until every entry
//!   that it had when the view began is acknowledged, then starts barrier 1, on which members make
//!   their status durable; nothing is committed before that barrier is acknowledged. So every member
//!   of a view in which anything was committed is complete, also after a restart.
//! - *Succession.* The head of a view has to be a disk that was complete in the view before it
//!   ([`Chain::is_complete`] under that view's number); the policy that proposes views ensures
//!   this. A complete member that has adopted a view keeps every older view from committing.
//!
//! # Where to start reading
//!
//! `chain` holds the state of a replica, in parts that own their invariants: the role in the view
//! (`view_role`), the log (`replica_log`), the status (`status_record`), barriers, the link to the
//! source of entries (`upstream`), the disks that are fed (`downstream`, `follower`), catching up
//! as a spare (`catch_up`) and snapshots in transfer (`snapshot`). The events that change this state
//! are in `view_change`, `receive`, `commit`, `feed` and `tick`.

mod barrier;
mod catch_up;
mod catch_up_source;
mod chain;
mod commit;
mod commit_lag;
mod downstream;
mod effect;
mod feed;
mod flow_control;
mod follower;
mod leadership;
pub mod limits;
mod log;
mod outbox;
mod receive;
mod replica_log;
mod replica_status;
mod sender_state;
mod snapshot;
mod snapshot_messages;
mod status_record;
mod stored_state;
mod submit_error;
mod tick;
mod upstream;
mod view_change;
mod view_role;

pub use chain::Chain;
pub use effect::Effect;
pub use replica_status::ReplicaStatus;
pub use snapshot::checksum as snapshot_checksum;
pub use stored_state::StoredState;
pub use submit_error::SubmitError;

//! A deterministic simulation of disks, processes and connections, driven by a seed.

pub mod checker;
pub mod disk;
mod faults;
pub mod network;
pub mod node;
pub mod policy;
pub mod world;

use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::time::WallMillis;

/// An operation that differs from all others.
pub fn operation(number: u64) -> Operation {
    Operation::ForgetJobs {
        ended_before: WallMillis(number),
    }
}

/// The state after one more operation.
pub fn apply(state: u64, operation: &Operation) -> u64 {
    let Operation::ForgetJobs { ended_before } = operation else {
        return state;
    };
    (state ^ ended_before.0)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}

/// A fault of the driver that the checker has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault; the driver is correct.
    None,
    /// Writes are reported before they are synced.
    AcknowledgeBeforeSync,
    /// Truncations are reported but not carried out.
    NoTruncation,
    /// Messages of other views are changed to ones of the receiver's view.
    AcceptOtherViews,
    /// A restarted process has forgotten the view in which it acted.
    ViewNotStored,
    /// A view is written, but adopted before it is synced.
    ViewStoredLate,
    /// The status on the disk is always complete.
    AlwaysComplete,
    /// Views are proposed whose head was not complete in the view before.
    AnyHead,
    /// A sent snapshot has an index one higher than that of its state.
    SentSnapshotTooNew,
    /// A stored snapshot has an index one higher than that of its state.
    StoredSnapshotTooNew,
}

//! Calls that wait at the head: for an operation to be applied, or for a barrier to pass.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Request};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// Who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The process.
    pub from: PeerAddress,
    /// The connection that the call came on; none for this process itself.
    pub connection: Option<u64>,
    /// The caller's identity of the call.
    pub id: CallId,
    /// When the caller gives up.
    pub until: Millis,
}

/// A call that waits.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Who asked.
    pub caller: Caller,
    /// What.
    pub request: Request,
}

/// All calls that wait.
#[derive(Debug, Default)]
pub struct Waiting {
    /// By the index of their operation.
    operations: BTreeMap<u64, WaitingCall>,
    /// Reads that the barrier under way covers.
    covered: Vec<WaitingCall>,
    /// Reads that came after it began.
    next: Vec<WaitingCall>,
    /// The barrier under way.
    barrier: Option<u64>,
    /// Calls that came while this head was not ready.
    deferred: Vec<WaitingCall>,
}

impl Waiting {
    /// Keeps a call until its operation is applied.
    pub fn for_operation(&mut self, index: u64, call: WaitingCall) {
        self.operations.insert(index, call);
    }

    /// The call whose operation was applied.
    pub fn applied(&mut self, index: u64) -> Option<WaitingCall> {
        self.operations.remove(&index)
    }

    /// Keeps a read until a barrier that begins after now has passed.
    pub fn for_barrier(&mut self, call: WaitingCall) {
        self.next.push(call);
    }

    /// Whether a barrier is due.
    pub fn wants_barrier(&self) -> bool {
        self.barrier.is_none() && !self.next.is_empty()
    }

    /// A barrier was begun: it covers all reads that wait.
    pub fn barrier_began(&mut self, number: u64) {
        self.barrier = Some(number);
        self.covered.append(&mut self.next);
    }

    /// A barrier has passed: the reads that it covers.
    pub fn barrier_passed(&mut self, number: u64) -> Vec<WaitingCall> {
        if self.barrier.is_none_or(|began| began > number) {
            return Vec::new();
        }
        self.barrier = None;
        std::mem::take(&mut self.covered)
    }

    /// Keeps a call until this head is ready.
    pub fn defer(&mut self, call: WaitingCall) {
        self.deferred.push(call);
    }

    /// The calls that waited for this head to be ready.
    pub fn take_deferred(&mut self) -> Vec<WaitingCall> {
        std::mem::take(&mut self.deferred)
    }

    /// The view changed. A barrier of the old view is void; everything that waited is handed back, to be taken up again or
    /// turned away. Calls whose operations were appended may be appended again: operations on jobs and configurations
    /// may be repeated.
    pub fn view_changed(&mut self) -> Vec<WaitingCall> {
        self.barrier = None;
        let mut calls: Vec<WaitingCall> = std::mem::take(&mut self.operations).into_values().collect();
        calls.append(&mut self.covered);
        calls.append(&mut self.next);
        calls.append(&mut self.deferred);
        calls
    }

    /// Drops calls whose callers have given up.
    pub fn expire(&mut self, now: Millis) {
        let lives = |call: &WaitingCall| call.caller.until > now;
        self.operations.retain(|_, call| lives(call));
        self.next.retain(lives);
        self.covered.retain(lives);
        self.deferred.retain(lives);
    }
}

//! Requests that wait at the head for an operation to be applied, for a barrier, for the head to be ready, or for a change
//! of the configuration to be committed, and subscribers' requests that wait for a barrier.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::request::{CallId, Request};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// Limit on shard owners' operations that wait for this head to be ready. Further ones are dropped, and their owners
/// submit them again.
const MAX_DEFERRED_OPERATIONS: usize = 64;

/// The caller that made a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The calling process.
    pub from: PeerAddress,
    /// The connection on which the request was received; none for a call by this process itself.
    pub connection: Option<u64>,
    /// The caller's identity of the call.
    pub id: CallId,
    /// When the caller gives up.
    pub deadline: Millis,
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The caller.
    pub caller: Caller,
    /// The request.
    pub request: Request,
}

/// A subscriber's request for the newest configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateRequest {
    /// The subscriber's connection.
    pub connection: u64,
    /// The version that the subscriber has.
    pub have: u64,
    /// When it made the request, on its own monotonic clock.
    pub requested_at: Millis,
}

/// The requests that a completed barrier lets the head answer.
#[derive(Clone, Debug, Default)]
pub struct CompletedBarrier {
    /// Requests received before the barrier began.
    pub requests: Vec<PendingRequest>,
    /// Subscribers' requests received before the barrier began.
    pub updates: Vec<UpdateRequest>,
}

/// All requests and operations that wait at the head.
#[derive(Debug, Default)]
pub struct PendingRequests {
    /// Requests that wait for their operation to be applied, by its index.
    by_operation: BTreeMap<u64, PendingRequest>,
    /// Requests that the current barrier covers.
    covered: Vec<PendingRequest>,
    /// Requests received after the current barrier began.
    next: Vec<PendingRequest>,
    /// Subscribers' requests that the current barrier covers.
    covered_updates: Vec<UpdateRequest>,
    /// The newest request of each subscriber's connection, received after the current barrier began.
    next_updates: BTreeMap<u64, UpdateRequest>,
    /// The number of the current barrier, if there is one.
    barrier: Option<u64>,
    /// Requests received while this head was not ready, or while a change of the configuration that concerns them was not
    /// committed.
    deferred: Vec<PendingRequest>,
    /// Shard owners' operations received while this process was not a ready head.
    deferred_operations: Vec<Operation>,
}

impl PendingRequests {
    /// Keeps a request until the operation of this index is applied.
    pub fn await_operation(&mut self, index: u64, request: PendingRequest) {
        self.by_operation.insert(index, request);
    }

    /// Takes the request whose operation was applied.
    pub fn take_applied(&mut self, index: u64) -> Option<PendingRequest> {
        self.by_operation.remove(&index)
    }

    /// Keeps a request until the next barrier has completed. The current barrier does not cover it.
    pub fn await_barrier(&mut self, request: PendingRequest) {
        self.next.push(request);
    }

    /// Keeps a subscriber's request until the next barrier has completed. It replaces an earlier request of the same
    /// connection that no barrier covers yet.
    pub fn await_update(&mut self, request: UpdateRequest) {
        self.next_updates.insert(request.connection, request);
    }

    /// Whether requests wait for a barrier and none is running.
    pub fn needs_barrier(&self) -> bool {
        self.barrier.is_none() && !(self.next.is_empty() && self.next_updates.is_empty())
    }

    /// Records that the barrier of this number began. It covers all requests that wait for a barrier.
    pub fn barrier_started(&mut self, number: u64) {
        self.barrier = Some(number);
        self.covered.append(&mut self.next);
        self.covered_updates
            .extend(std::mem::take(&mut self.next_updates).into_values());
    }

    /// Completes the barrier of this number, which went through the chain. Returns the requests that it covers.
    pub fn complete_barrier(&mut self, number: u64) -> CompletedBarrier {
        if self.barrier.is_none_or(|began| began > number) {
            return CompletedBarrier::default();
        }
        self.barrier = None;
        CompletedBarrier {
            requests: std::mem::take(&mut self.covered),
            updates: std::mem::take(&mut self.covered_updates),
        }
    }

    /// Keeps a request, to be handled again from the start once this head is ready.
    pub fn defer(&mut self, request: PendingRequest) {
        self.deferred.push(request);
    }

    /// Takes the requests that wait for this head to be ready, or for a change to be committed.
    pub fn take_deferred(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.deferred)
    }

    /// Keeps an operation that has no caller until this process is a ready head. The operation may arrive before the
    /// view that makes this process the head.
    pub fn defer_operation(&mut self, operation: Operation) {
        if self.deferred_operations.len() < MAX_DEFERRED_OPERATIONS {
            self.deferred_operations.push(operation);
        }
    }

    /// Takes the operations that wait for this head to be ready.
    pub fn take_deferred_operations(&mut self) -> Vec<Operation> {
        std::mem::take(&mut self.deferred_operations)
    }

    /// Drops the barrier of the old view after a view change, with the subscribers' requests, which subscribers repeat.
    /// Returns all waiting requests, to be handled again. An operation may be appended a second time, since operations
    /// on jobs and configurations are idempotent.
    pub fn view_changed(&mut self) -> Vec<PendingRequest> {
        self.barrier = None;
        self.covered_updates.clear();
        self.next_updates.clear();
        let by_operation = std::mem::take(&mut self.by_operation);
        let mut requests: Vec<PendingRequest> = by_operation.into_values().collect();
        requests.append(&mut self.covered);
        requests.append(&mut self.next);
        requests.append(&mut self.deferred);
        requests
    }

    /// Drops requests whose deadline is over.
    pub fn expire(&mut self, now: Millis) {
        let is_awaited = |request: &PendingRequest| request.caller.deadline > now;
        self.by_operation.retain(|_, request| is_awaited(request));
        self.next.retain(is_awaited);
        self.covered.retain(is_awaited);
        self.deferred.retain(is_awaited);
    }
}

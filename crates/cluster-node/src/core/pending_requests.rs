//! What waits at the head: calls for an operation to be applied or for a barrier to pass, and subscribers for a barrier.

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

/// A subscriber's question for the newest configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsRequest {
    /// Its connection.
    pub connection: u64,
    /// The version that it has.
    pub have: u64,
    /// When it asked, by its own steady clock.
    pub requested_at: Millis,
}

/// What a barrier that has passed makes certain.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    /// Reads that came before it began.
    pub calls: Vec<WaitingCall>,
    /// Questions of subscribers that came before it began.
    pub news: Vec<NewsRequest>,
}

/// All that waits.
#[derive(Debug, Default)]
pub struct Waiting {
    /// Calls by the index of their operation.
    operations: BTreeMap<u64, WaitingCall>,
    /// Reads that the barrier under way covers.
    covered: Vec<WaitingCall>,
    /// Reads that came after it began.
    next: Vec<WaitingCall>,
    /// Questions of subscribers that the barrier under way covers.
    covered_news: Vec<NewsRequest>,
    /// The newest question of each connection that came after it began.
    next_news: BTreeMap<u64, NewsRequest>,
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

    /// Keeps a subscriber's question until a barrier that begins after now has passed. A later one of the same connection
    /// takes the place of one that no barrier covers yet.
    pub fn for_news(&mut self, request: NewsRequest) {
        self.next_news.insert(request.connection, request);
    }

    /// Whether a barrier is due.
    pub fn wants_barrier(&self) -> bool {
        self.barrier.is_none() && !(self.next.is_empty() && self.next_news.is_empty())
    }

    /// A barrier was begun: it covers all that waits for one.
    pub fn barrier_began(&mut self, number: u64) {
        self.barrier = Some(number);
        self.covered.append(&mut self.next);
        self.covered_news
            .extend(std::mem::take(&mut self.next_news).into_values());
    }

    /// A barrier has passed: what it covers.
    pub fn barrier_passed(&mut self, number: u64) -> Passed {
        if self.barrier.is_none_or(|began| began > number) {
            return Passed::default();
        }
        self.barrier = None;
        Passed {
            calls: std::mem::take(&mut self.covered),
            news: std::mem::take(&mut self.covered_news),
        }
    }

    /// Keeps a call until this head is ready.
    pub fn defer(&mut self, call: WaitingCall) {
        self.deferred.push(call);
    }

    /// The calls that waited for this head to be ready.
    pub fn take_deferred(&mut self) -> Vec<WaitingCall> {
        std::mem::take(&mut self.deferred)
    }

    /// The view changed. A barrier of the old view is void; every call that waited is handed back, to be taken up again or
    /// turned away, and subscribers ask again. Calls whose operations were appended may be appended again: operations on jobs and configurations
    /// may be repeated.
    pub fn view_changed(&mut self) -> Vec<WaitingCall> {
        self.barrier = None;
        self.covered_news.clear();
        self.next_news.clear();
        let mut calls: Vec<WaitingCall> =
            std::mem::take(&mut self.operations).into_values().collect();
        calls.append(&mut self.covered);
        calls.append(&mut self.next);
        calls.append(&mut self.deferred);
        calls
    }

    /// Drops calls whose callers have given up.
    pub fn expire(&mut self, now: Millis) {
        let incarnations = |call: &WaitingCall| call.caller.until > now;
        self.operations.retain(|_, call| incarnations(call));
        self.next.retain(incarnations);
        self.covered.retain(incarnations);
        self.deferred.retain(incarnations);
    }
}

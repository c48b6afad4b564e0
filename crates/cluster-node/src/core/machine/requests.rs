//! Requests that this process handles as the head, and operations that it submits itself.

use super::CoreMachine;
use crate::core::pending_requests::{Caller, PendingRequest};
use crate::core::request_steps::{
    reply_after, step_after_barrier, step_before_barrier, RequestStep,
};
use lupinrack_chain::{Chain, SubmitError};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::Reply;

impl CoreMachine {
    /// Starts to handle a request; replies [`Reply::NotHead`] if this process is not the head.
    pub(super) fn take_request(&mut self, request: PendingRequest) {
        if !self.chain.is_head() {
            let view = self.views.current().clone();
            self.reply(request.caller, Reply::NotHead(view));
            return;
        }
        if !self.chain.is_ready() {
            self.requests.defer(request);
            return;
        }
        let state = self.replica.state();
        let step = step_before_barrier(state, &request.request, self.moment.wall);
        self.follow_step(step, request);
    }

    fn follow_step(&mut self, step: RequestStep, request: PendingRequest) {
        match step {
            RequestStep::AwaitBarrier => self.requests.await_barrier(request),
            RequestStep::Reply(reply) => self.reply(request.caller, reply),
            RequestStep::Append(operation) => self.append_for(operation, request),
        }
    }

    fn append_for(&mut self, operation: Operation, request: PendingRequest) {
        if depends_on_routes(&operation) && has_uncommitted_change(&self.chain) {
            self.requests.defer(request);
            return;
        }
        if let Err(kind) = self.admit(&operation) {
            self.reply(request.caller, Reply::Error(kind));
            return;
        }
        let is_repeated = self.chain.is_full() && is_uncommitted(&self.chain, &operation);
        match self.chain.submit(operation, self.now()) {
            Ok((index, effects)) => {
                self.requests.await_operation(index, request);
                self.carry_out_chain(effects);
            }
            Err(SubmitError::NotReady) => self.requests.defer(request),
            Err(error) => {
                let kind = rejection(error, is_repeated);
                self.reply(request.caller, Reply::Error(kind));
            }
        }
    }

    /// Checks whether the operation may add to the state. A repeated operation adds nothing and always passes, since
    /// its result follows from its first application.
    fn admit(&mut self, operation: &Operation) -> Result<(), ErrorKind> {
        let state = self.replica.state();
        let is_new = match operation {
            Operation::AcceptJobAt { target, job, .. } => state.called_job(target, *job).is_none(),
            Operation::ChangeConfiguration(change) => {
                change.if_match == state.configuration().version
            }
            _ => false,
        };
        if !is_new {
            return Ok(());
        }
        let verdict = self.admission.admit(operation, self.moment.now);
        if verdict.is_err() && is_uncommitted(&self.chain, operation) {
            return Err(ErrorKind::InDoubt);
        }
        verdict
    }

    /// Updates whether a disk that the cluster needs is late to join.
    pub(super) fn update_joiner_throttle(&mut self) {
        let now = self.now();
        self.commit_history.record(self.chain.committed(), now);
        let redundancy = self.views.redundancy(now);
        let tolerated_ms = self.admission.tolerated_lag_ms();
        let is_late = self
            .commit_history
            .is_joiner_late(&redundancy, tolerated_ms, now);
        self.admission.set_joiner_late(is_late, now);
    }

    fn reply(&mut self, caller: Caller, reply: Reply) {
        let id = caller.id;
        if let Some(connection) = caller.connection {
            self.outbox.send_on(connection, Frame::Reply { id, reply });
            return;
        }
        let now = self.now();
        self.own_calls
            .receive_reply(caller.from, id, reply, now, &mut self.outbox);
    }

    /// Replies to the request whose operation was applied, if there is one.
    pub(super) fn reply_to_applied(&mut self, index: u64, result: &OperationResult) {
        if let Some(request) = self.requests.take_applied(index) {
            let reply = reply_after(self.replica.state(), &request.request, result);
            self.reply(request.caller, reply);
        }
    }

    pub(super) fn begin_barrier(&mut self) {
        if !self.requests.needs_barrier() {
            return;
        }
        if let Some((number, effects)) = self.chain.start_barrier(self.now()) {
            self.requests.barrier_started(number);
            self.carry_out_chain(effects);
        }
    }

    pub(super) fn complete_barrier(&mut self, number: u64) {
        let view_number = self.views.current().number;
        let wall = self.moment.wall;
        let completed = self.requests.complete_barrier(number);
        for request in completed.requests {
            let state = self.replica.state();
            let step = step_after_barrier(state, view_number, &request.request, wall);
            self.follow_step(step, request);
        }
        for request in completed.updates {
            self.send_update(request);
        }
        self.begin_barrier();
    }

    /// Appends an operation that has no caller; defers it until this process is a ready head.
    pub(super) fn append(&mut self, operation: Operation) {
        if !self.chain.is_ready() {
            return self.requests.defer_operation(operation);
        }
        if let Ok((_, effects)) = self.chain.submit(operation, self.now()) {
            self.carry_out_chain(effects);
        }
    }

    /// Appends an operation that has no caller, or sends it to the head.
    pub(super) fn submit(&mut self, operation: Operation) {
        if self.chain.is_head() {
            self.append(operation);
        } else if let Some(head) = self.views.head_address() {
            self.outbox.send(head, Frame::Submit(operation));
        }
    }

    /// Appends the operation that drops jobs that ended long ago, if there are any.
    pub(super) fn forget_jobs(&mut self) {
        let is_due = self.retention.is_sweep_due(self.now());
        if !is_due || !self.chain.is_head() || !self.chain.is_ready() {
            return;
        }
        if let Some(operation) = self.retention.sweep(self.replica.state(), self.moment) {
            self.append(operation);
        }
    }
}

/// Whether the result of the operation depends on the routes that are configured when it is applied.
fn depends_on_routes(operation: &Operation) -> bool {
    matches!(operation, Operation::AcceptJobAt { .. })
}

/// Whether a change of the configuration is appended and not committed yet.
fn has_uncommitted_change(chain: &Chain) -> bool {
    uncommitted_operations(chain)
        .any(|operation| matches!(operation, Operation::ChangeConfiguration(_)))
}

fn uncommitted_operations(chain: &Chain) -> impl Iterator<Item = &Operation> {
    let uncommitted = chain.committed() + 1..=chain.last_index();
    uncommitted.filter_map(|index| Some(&chain.entry(index)?.operation))
}

/// Whether an earlier request appended the same operation and it is not committed yet.
fn is_uncommitted(chain: &Chain, operation: &Operation) -> bool {
    let is_same = |appended: &Operation| match (appended, operation) {
        (
            Operation::AcceptJobAt { target, job, .. },
            Operation::AcceptJobAt {
                target: other_target,
                job: other_job,
                ..
            },
        )
        | (
            Operation::CancelJobAt { target, job, .. },
            Operation::CancelJobAt {
                target: other_target,
                job: other_job,
                ..
            },
        ) => (target, job) == (other_target, other_job),
        (appended, operation) => appended == operation,
    };
    uncommitted_operations(chain).any(is_same)
}

/// The error for a request whose operation was not appended. A repeated operation is in doubt, since its earlier copy
/// may still be committed.
fn rejection(error: SubmitError, is_repeated: bool) -> ErrorKind {
    match error {
        _ if is_repeated => ErrorKind::InDoubt,
        SubmitError::TooLarge => ErrorKind::TooLarge,
        SubmitError::NotReady | SubmitError::Full => ErrorKind::NotTaken,
    }
}

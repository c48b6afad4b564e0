//! Calls at the head, and those that this process makes itself.

use super::*;

impl CoreMachine {
    pub(super) fn take_call(&mut self, call: WaitingCall, now: Millis) {
        if !self.chain.is_head() {
            let view = self.agreement.current().clone();
            self.answer(call.caller, Reply::NotHead(view), now);
            return;
        }
        if !self.chain.is_ready() {
            self.waiting.defer(call);
            return;
        }
        let step = first_step(&self.replica.state, &call.request, self.moment.wall);
        self.follow_step(step, call, now);
    }

    /// Has jobs dropped that ended long ago; the record stays bounded by what is open and what ended lately.
    pub(super) fn forget_jobs(&mut self, now: Millis) {
        let due = now.since(self.last_forgetting) >= FORGET_EVERY_MS;
        if !due || !self.chain.is_head() || !self.chain.is_ready() {
            return;
        }
        self.last_forgetting = now;
        let ended_before = WallMillis(self.moment.wall.0.saturating_sub(self.remember_ms));
        let is_old = |job: &JobRecord| job.ended_at.is_some_and(|ended_at| ended_at < ended_before);
        if self.replica.state.jobs().values().any(is_old) {
            self.submit(Operation::ForgetJobs { ended_before }, now);
        }
    }

    pub(super) fn follow_step(&mut self, step: Step, call: WaitingCall, now: Millis) {
        match step {
            Step::Barrier => self.waiting.for_barrier(call),
            Step::Answer(reply) => self.answer(call.caller, reply, now),
            Step::Submit(operation) => {
                let repeated = self.chain.is_full() && is_repeated(&self.chain, &operation);
                match self.chain.submit(operation, now) {
                    Ok((index, effects)) => {
                        self.waiting.for_operation(index, call);
                        self.carry_out_chain(effects, now);
                    }
                    Err(SubmitError::NotReady) => self.waiting.defer(call),
                    Err(error) => {
                        self.answer(call.caller, Reply::Error(refusal(error, repeated)), now)
                    }
                }
            }
        }
    }

    pub(super) fn answer(&mut self, caller: Caller, reply: Reply, now: Millis) {
        match caller.connection {
            Some(connection) => {
                self.outbox.send_on(
                    connection,
                    Frame::Reply {
                        id: caller.id,
                        reply,
                    },
                );
            }
            None => {
                let outgoing = self.client.answered(caller.from, caller.id, reply, now);
                self.send_all(outgoing);
            }
        }
    }

    pub(super) fn send_all(&mut self, outgoing: Vec<OutgoingFrame>) {
        for OutgoingFrame { to, frame } in outgoing {
            if to != self.me.address {
                self.outbox.send(to, frame);
                continue;
            }
            if let Frame::Request {
                id,
                remaining_ms,
                request,
            } = frame
            {
                let until = self.moment.now.plus(remaining_ms);
                let caller = Caller {
                    from: to,
                    connection: None,
                    id,
                    until,
                };
                self.own_calls.push_back(WaitingCall { caller, request });
            }
        }
    }

    pub(super) fn begin_barrier(&mut self, now: Millis) {
        if !self.waiting.wants_barrier() {
            return;
        }
        if let Some((number, effects)) = self.chain.start_barrier(now) {
            self.waiting.barrier_began(number);
            self.carry_out_chain(effects, now);
        }
    }

    pub(super) fn barrier_passed(&mut self, number: u64, now: Millis) {
        let view = self.agreement.current().number;
        let wall = self.moment.wall;
        let passed = self.waiting.barrier_passed(number);
        for call in passed.calls {
            let step = second_step(&self.replica.state, view, &call.request, wall);
            self.follow_step(step, call, now);
        }
        for request in passed.news {
            self.answer_subscriber(request);
        }
        self.begin_barrier(now);
    }

    pub(super) fn submit(&mut self, operation: Operation, now: Millis) {
        if let Ok((_, effects)) = self.chain.submit(operation, now) {
            self.carry_out_chain(effects, now);
        }
    }

    pub(super) fn submit_anywhere(&mut self, operation: Operation, now: Millis) {
        if self.chain.is_head() {
            self.submit(operation, now);
            return;
        }
        let view = self.agreement.current();
        if let Some(head) = view.head().and_then(|disk| view.address(disk)) {
            self.outbox.send(head, Frame::Submit(operation));
        }
    }
}

/// Whether the same was appended by an earlier call and is not committed yet.
fn is_repeated(chain: &Chain, operation: &Operation) -> bool {
    let is_same = |appended: &Operation| match (appended, operation) {
        (Operation::AcceptJob { job: one, .. }, Operation::AcceptJob { job: other, .. }) => {
            one == other
        }
        (Operation::CancelJob { job: one, .. }, Operation::CancelJob { job: other, .. }) => {
            one == other
        }
        (appended, operation) => appended == operation,
    };
    let uncommitted = chain.committed() + 1..=chain.last_index();
    uncommitted
        .filter_map(|index| chain.entry(index))
        .any(|entry| is_same(&entry.operation))
}

/// The answer to a call whose operation was not appended: a call that was taken before is never told that it was not.
fn refusal(error: SubmitError, is_repeated: bool) -> ErrorKind {
    match error {
        _ if is_repeated => ErrorKind::InDoubt,
        SubmitError::TooLarge => ErrorKind::TooLarge,
        SubmitError::NotReady | SubmitError::Full => ErrorKind::NotTaken,
    }
}

//! Submissions: operations that have been decided but not applied yet.
//!
//! The head of the chain does not answer. The owner sees in its own replica that an operation was
//! applied, and otherwise submits it again. An operation of any kind may be applied twice: a start
//! takes effect only for a waiting task, an end only for the attempt that it names, a binding only
//! once, and a hand-over only for a job that belongs to the service.

use crate::run_id::RunId;
use lupinrack_cluster_api::identity::{FencingToken, JobId, PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::operation::{EndRecord, Operation, StartRecord};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use std::collections::BTreeMap;

/// The maximum number of ends in one operation.
const MAX_ENDS: usize = 256;
/// The maximum number of starts in one operation. A single gang may exceed it.
const MAX_STARTS: usize = 256;

/// The maximum number of jobs in one hand-over.
const MAX_HAND_OVERS: usize = 256;

/// An item to submit, and the time of its last submission.
#[derive(Clone, Debug)]
struct Pending<T> {
    content: T,
    submitted_at: Option<Millis>,
}

impl<T> Pending<T> {
    fn new(content: T) -> Pending<T> {
        Pending {
            content,
            submitted_at: None,
        }
    }

    /// Returns the content if it was never submitted or last submitted at least `resubmit_ms` ago,
    /// and marks it as submitted now.
    fn submit_if_due(&mut self, now: Millis, resubmit_ms: u64) -> Option<&T> {
        let is_due = self
            .submitted_at
            .is_none_or(|at| now.since(at) >= resubmit_ms);
        if !is_due {
            return None;
        }
        self.submitted_at = Some(now);
        Some(&self.content)
    }
}

/// The operations of one owner that have not been applied yet.
#[derive(Clone, Debug)]
pub(crate) struct Submissions {
    service: ServiceName,
    token: FencingToken,
    /// The time after which an operation that has not been applied is submitted again, in
    /// milliseconds.
    resubmit_ms: u64,
    /// Batches of starts. Each batch is one operation.
    starts: Vec<Pending<Vec<StartRecord>>>,
    ends: BTreeMap<RunId, Pending<EndRecord>>,
    /// Bindings of servers to the agents on their machines.
    bindings: BTreeMap<ServerId, Pending<PeerAddress>>,
    /// Jobs whose queues are directed to other services.
    hand_overs: BTreeMap<JobId, Pending<JobId>>,
}

impl Submissions {
    /// Creates an empty set of operations for the owner with this token.
    pub(crate) fn new(service: ServiceName, token: FencingToken, resubmit_ms: u64) -> Submissions {
        Submissions {
            service,
            token,
            resubmit_ms,
            starts: Vec::new(),
            ends: BTreeMap::new(),
            bindings: BTreeMap::new(),
            hand_overs: BTreeMap::new(),
        }
    }

    /// Makes all operations that have not been applied due again.
    pub(crate) fn resubmit_all(&mut self) {
        let starts = self
            .starts
            .iter_mut()
            .map(|pending| &mut pending.submitted_at);
        let ends = self
            .ends
            .values_mut()
            .map(|pending| &mut pending.submitted_at);
        let bindings = self
            .bindings
            .values_mut()
            .map(|pending| &mut pending.submitted_at);
        let hand_overs = self
            .hand_overs
            .values_mut()
            .map(|pending| &mut pending.submitted_at);
        for submitted_at in starts.chain(ends).chain(bindings).chain(hand_overs) {
            *submitted_at = None;
        }
    }

    /// Adds starts that were decided in one round. The starts of one group stay in one operation.
    pub(crate) fn add_starts(&mut self, groups: Vec<Vec<StartRecord>>) {
        let mut batch: Vec<StartRecord> = Vec::new();
        for group in groups {
            if !batch.is_empty() && batch.len() + group.len() > MAX_STARTS {
                self.starts.push(Pending::new(std::mem::take(&mut batch)));
            }
            batch.extend(group);
        }
        if !batch.is_empty() {
            self.starts.push(Pending::new(batch));
        }
    }

    /// Adds an end, unless there already is one of the same run.
    pub(crate) fn add_end(&mut self, end: EndRecord) {
        self.ends
            .entry(RunId::new(end.task, end.attempt))
            .or_insert(Pending::new(end));
    }

    /// Adds the binding of a server to an agent, unless the server already has one.
    pub(crate) fn add_binding(&mut self, server: ServerId, agent: PeerAddress) {
        self.bindings.entry(server).or_insert(Pending::new(agent));
    }

    /// Removes the binding of a server because it was applied or the server has ended.
    pub(crate) fn remove_binding(&mut self, server: &ServerId) {
        self.bindings.remove(server);
    }

    /// Adds the hand-over of a job, unless there already is one.
    pub(crate) fn add_hand_over(&mut self, job: JobId) {
        self.hand_overs.entry(job).or_insert(Pending::new(job));
    }

    /// Removes the hand-over of a job, which was applied.
    pub(crate) fn hand_over_applied(&mut self, job: JobId) {
        self.hand_overs.remove(&job);
    }

    /// Removes the batch with these starts, which was applied.
    pub(crate) fn starts_applied(&mut self, starts: &[StartRecord]) {
        self.starts.retain(|batch| batch.content != starts);
    }

    /// Removes the end of this run, which was applied or never will be.
    pub(crate) fn end_applied(&mut self, run: RunId) {
        self.ends.remove(&run);
    }

    /// The operations to submit now: new ones, and those that were not applied in time. Ends
    /// precede starts, because starts may depend on them.
    pub(crate) fn due(&mut self, now: Millis, wall: WallMillis) -> Vec<Operation> {
        let mut operations = self.due_bindings(now);
        operations.extend(self.due_ends(now, wall));
        operations.extend(self.due_hand_overs(now));
        operations.extend(self.due_starts(now));
        operations
    }

    fn due_bindings(&mut self, now: Millis) -> Vec<Operation> {
        let mut operations = Vec::new();
        for (server, pending) in &mut self.bindings {
            if let Some(agent) = pending.submit_if_due(now, self.resubmit_ms) {
                operations.push(Operation::RecordServer {
                    service: self.service.clone(),
                    token: self.token,
                    server: server.clone(),
                    agent: *agent,
                });
            }
        }
        operations
    }

    fn due_ends(&mut self, now: Millis, wall: WallMillis) -> Vec<Operation> {
        let due: Vec<EndRecord> = self
            .ends
            .values_mut()
            .filter_map(|pending| pending.submit_if_due(now, self.resubmit_ms).cloned())
            .collect();
        due.chunks(MAX_ENDS)
            .map(|ends| Operation::RecordEnds {
                service: self.service.clone(),
                token: self.token,
                ends: ends.to_vec(),
                at: wall,
            })
            .collect()
    }

    fn due_hand_overs(&mut self, now: Millis) -> Vec<Operation> {
        let due: Vec<JobId> = self
            .hand_overs
            .values_mut()
            .filter_map(|pending| pending.submit_if_due(now, self.resubmit_ms).copied())
            .collect();
        due.chunks(MAX_HAND_OVERS)
            .map(|jobs| Operation::HandOverJobs {
                service: self.service.clone(),
                token: self.token,
                jobs: jobs.to_vec(),
            })
            .collect()
    }

    fn due_starts(&mut self, now: Millis) -> Vec<Operation> {
        let mut operations = Vec::new();
        for pending in &mut self.starts {
            if let Some(starts) = pending.submit_if_due(now, self.resubmit_ms) {
                operations.push(Operation::RecordStarts {
                    service: self.service.clone(),
                    token: self.token,
                    starts: starts.clone(),
                });
            }
        }
        operations
    }
}

//! Operations that were decided and have not been applied yet.
//!
//! The head gives no answer; the owner sees an operation applied in its own replica, and submits it again if it does
//! not. Both kinds may be applied twice without harm: a start holds only for a task that waits, an end only for the
//! start that it names.

use lupinrack_cluster_api::identity::{
    Attempt, FencingToken, PeerAddress, ServerId, ServiceName, TaskId,
};
use lupinrack_cluster_api::operation::{EndRecord, Operation, StartRecord};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use std::collections::BTreeMap;

/// Ends in one operation at most.
const ENDS_MOST: usize = 256;
/// Starts in one operation at most, where a gang is not larger.
const STARTS_MOST: usize = 256;

#[derive(Clone, Debug)]
struct StartBatch {
    starts: Vec<StartRecord>,
    submitted_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct PendingEnd {
    record: EndRecord,
    submitted_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct PendingServer {
    agent: PeerAddress,
    submitted_at: Option<Millis>,
}

/// The operations of one owner that are on their way.
#[derive(Clone, Debug)]
pub struct Submissions {
    service: ServiceName,
    token: FencingToken,
    resubmit_ms: u64,
    starts: Vec<StartBatch>,
    ends: BTreeMap<(TaskId, Attempt), PendingEnd>,
    servers: BTreeMap<ServerId, PendingServer>,
}

impl Submissions {
    /// None yet, for this owner.
    pub fn new(service: ServiceName, token: FencingToken, resubmit_ms: u64) -> Submissions {
        Submissions {
            service,
            token,
            resubmit_ms,
            starts: Vec::new(),
            ends: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Adds starts that were decided together. Members of one gang have to be given in one call, side by side.
    pub fn add_starts(&mut self, groups: Vec<Vec<StartRecord>>) {
        let mut batch: Vec<StartRecord> = Vec::new();
        for group in groups {
            if !batch.is_empty() && batch.len() + group.len() > STARTS_MOST {
                self.starts.push(StartBatch {
                    starts: std::mem::take(&mut batch),
                    submitted_at: None,
                });
            }
            batch.extend(group);
        }
        if !batch.is_empty() {
            self.starts.push(StartBatch {
                starts: batch,
                submitted_at: None,
            });
        }
    }

    /// Adds an end; one that is there already stays.
    pub fn add_end(&mut self, record: EndRecord) {
        let key = (record.task, record.attempt);
        self.ends.entry(key).or_insert(PendingEnd {
            record,
            submitted_at: None,
        });
    }

    /// Adds the place of a server; one that is there already stays.
    pub fn add_server(&mut self, server: ServerId, agent: PeerAddress) {
        self.servers.entry(server).or_insert(PendingServer {
            agent,
            submitted_at: None,
        });
    }

    /// Drops the place of a server: it was applied, or the server is gone.
    pub fn forget_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Notes that these starts were applied.
    pub fn starts_applied(&mut self, starts: &[StartRecord]) {
        self.starts.retain(|batch| batch.starts != starts);
    }

    /// Notes that this end was applied.
    pub fn end_applied(&mut self, task: TaskId, attempt: Attempt) {
        self.ends.remove(&(task, attempt));
    }

    /// The operations that are to be submitted now: new ones, and those that were not applied in time. Ends go first,
    /// since the starts may need them.
    pub fn due(&mut self, now: Millis, wall: WallMillis) -> Vec<Operation> {
        let mut operations = self.due_servers(now);
        operations.extend(self.due_ends(now, wall));
        for batch in &mut self.starts {
            if is_due(batch.submitted_at, now, self.resubmit_ms) {
                batch.submitted_at = Some(now);
                operations.push(Operation::RecordStarts {
                    service: self.service.clone(),
                    token: self.token,
                    starts: batch.starts.clone(),
                });
            }
        }
        operations
    }

    fn due_servers(&mut self, now: Millis) -> Vec<Operation> {
        let mut due = Vec::new();
        for (server, pending) in &mut self.servers {
            if is_due(pending.submitted_at, now, self.resubmit_ms) {
                pending.submitted_at = Some(now);
                due.push(Operation::RecordServer {
                    service: self.service.clone(),
                    token: self.token,
                    server: server.clone(),
                    agent: pending.agent,
                });
            }
        }
        due
    }

    fn due_ends(&mut self, now: Millis, wall: WallMillis) -> Vec<Operation> {
        let mut due = Vec::new();
        for end in self.ends.values_mut() {
            if is_due(end.submitted_at, now, self.resubmit_ms) {
                end.submitted_at = Some(now);
                due.push(end.record.clone());
            }
        }
        due.chunks(ENDS_MOST)
            .map(|ends| Operation::RecordEnds {
                service: self.service.clone(),
                token: self.token,
                ends: ends.to_vec(),
                at: wall,
            })
            .collect()
    }
}

fn is_due(submitted_at: Option<Millis>, now: Millis, resubmit_ms: u64) -> bool {
    submitted_at.is_none_or(|at| now.since(at) >= resubmit_ms)
}

//! An owner that gives random orders, and concludes from the agent's reports which runs have ended.

use crate::random::Random;
use crate::record::{Record, TaskState};
use lupinrack_cluster_api::agent::{AgentMessage, Assignment, Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, FencingToken, ServerId, TaskId};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The lease that owners grant.
pub const LEASE_MS: u64 = 2_000;
/// An owner adds this to a lease before the lease counts as expired: for slow clocks and the steps of the model.
const LEASE_SLACK_MS: u64 = LEASE_MS / 40 + 100;
/// How long an owner may act after another owner has taken over.
pub const AUTHORITY_MS: u64 = 1_000;

/// The owner's state of the session with the agent.
struct Session {
    connection: u64,
    server: ServerId,
    heartbeat: Heartbeat,
    reported_at: Millis,
    number: u64,
    assigned: BTreeSet<(TaskId, Attempt)>,
    /// Stopped runs, with the number of the message that held the stop.
    stops: BTreeMap<(TaskId, Attempt), u64>,
    message_due: bool,
}

#[derive(Default)]
pub struct OwnerCounts {
    pub never_ran: u64,
    pub expired_leases: u64,
}

pub struct Owner {
    pub token: u64,
    pub counts: OwnerCounts,
    took_over_at: u64,
    /// When the lease of each known incarnation has certainly expired.
    lease_expiry_bounds: BTreeMap<ServerId, u64>,
    session: Option<Session>,
    /// When another owner took over.
    pub replaced_at: Option<u64>,
}

impl Owner {
    pub fn take_over(token: u64, record: &mut Record, now: u64) -> Owner {
        record.token = token;
        Owner {
            token,
            counts: OwnerCounts::default(),
            took_over_at: now,
            lease_expiry_bounds: BTreeMap::new(),
            session: None,
            replaced_at: None,
        }
    }

    pub fn disconnected(&mut self, connection: u64) {
        if self
            .session
            .as_ref()
            .is_some_and(|session| session.connection == connection)
        {
            self.session = None;
        }
    }

    pub fn receive(&mut self, connection: u64, message: AgentMessage, record: &mut Record) {
        match message {
            AgentMessage::Attach {
                facts,
                heartbeat,
                sent_at,
                ..
            } => {
                self.end_incarnations(record, |incarnation| *incarnation != facts.id);
                self.session = Some(Session {
                    connection,
                    server: facts.id,
                    heartbeat,
                    reported_at: sent_at,
                    number: 0,
                    assigned: BTreeSet::new(),
                    stops: BTreeMap::new(),
                    message_due: true,
                });
                self.record_report(record);
            }
            AgentMessage::Report { heartbeat, sent_at } => {
                let session = self
                    .session
                    .as_mut()
                    .filter(|session| session.connection == connection);
                let Some(session) = session else { return };
                session.reported_at = sent_at;
                session.message_due = true;
                if let Some(heartbeat) = heartbeat {
                    assert_eq!(
                        heartbeat.server, session.server,
                        "a report of an incarnation that did not attach"
                    );
                    session.heartbeat = heartbeat;
                    self.record_report(record);
                }
            }
            AgentMessage::Deregister { server } => {
                self.end_incarnations(record, |incarnation| *incarnation == server)
            }
        }
    }

    /// Runs one step. Returns the message to send, if any, with its connection.
    pub fn act(
        &mut self,
        record: &mut Record,
        fault_free: bool,
        now: u64,
        random: &mut Random,
    ) -> Option<(u64, OwnerMessage)> {
        if self.replaced_at.is_some_and(|at| now >= at + AUTHORITY_MS) {
            return None;
        }
        self.expire_leases(record, now);
        let session = self.session.as_mut()?;
        let server = session.server.clone();
        let mut assign = Vec::new();
        let mut stop = Vec::new();
        if session.number > 0 {
            choose_starts(self.token, session, record, fault_free, now, random);
            choose_stops(session, record, fault_free, &mut stop, random);
        }
        for (task, attempt) in record.assigned(&server) {
            let stopped = session.stops.contains_key(&(task, attempt));
            if !stopped && session.assigned.insert((task, attempt)) {
                assign.push(Assignment {
                    task,
                    attempt,
                    spec: "work".into(),
                    checkpoint: String::new(),
                });
            }
        }
        let send = session.message_due || !assign.is_empty() || !stop.is_empty();
        if !send || (!fault_free && random.once_in(3)) && stop.is_empty() && assign.is_empty() {
            return None;
        }
        session.message_due = false;
        session.number += 1;
        for run in &stop {
            session.stops.insert(*run, session.number);
        }
        // The bound counts from now, which is later than the report that the lease counts from.
        let bound = self.lease_expiry_bounds.entry(server.clone()).or_insert(0);
        *bound = (*bound).max(now + LEASE_MS + LEASE_SLACK_MS);
        let observed = session
            .heartbeat
            .finished
            .last()
            .map_or(0, |end| end.number);
        let message = OwnerMessage {
            token: FencingToken(self.token),
            server,
            number: session.number,
            complete: session.number == 1,
            assign,
            stop,
            observed: if self.token == record.token {
                observed
            } else {
                0
            },
            lease_from: session.reported_at,
            lease_ms: LEASE_MS,
            heartbeat_after_ms: 50 + random.below(300),
        };
        Some((session.connection, message))
    }

    /// Writes the ends in the newest heartbeat to the record.
    fn record_report(&mut self, record: &mut Record) {
        let Some(session) = &mut self.session else {
            return;
        };
        let heartbeat = &session.heartbeat;
        for end in &heartbeat.finished {
            record.end(self.token, end.task, end.attempt, end.end);
        }
        let listed: BTreeSet<(TaskId, Attempt)> = heartbeat
            .running
            .iter()
            .map(|run| (run.task, run.attempt))
            .collect();
        for (task, attempt) in record.assigned(&session.server) {
            let stop_number = session.stops.get(&(task, attempt));
            let seen = stop_number.is_some_and(|number| heartbeat.orders_seen >= *number);
            if seen && !listed.contains(&(task, attempt)) {
                record.end(self.token, task, attempt, RunEnd::Stopped);
                self.counts.never_ran += 1;
            }
        }
    }

    /// Ends the runs of incarnations whose lease has expired.
    fn expire_leases(&mut self, record: &mut Record, now: u64) {
        let unknown_leases_expire_at = self.took_over_at + AUTHORITY_MS + LEASE_MS + LEASE_SLACK_MS;
        let bounds = self.lease_expiry_bounds.clone();
        let has_expired = |incarnation: &ServerId| {
            now > bounds
                .get(incarnation)
                .copied()
                .unwrap_or(0)
                .max(unknown_leases_expire_at)
        };
        let expired = record.assigned_if(has_expired);
        let connected = self.session.as_ref().map(|session| session.server.clone());
        for (task, attempt) in expired {
            let incarnation = record.tasks.get(&task).map(|entry| entry.state.clone());
            if connected.clone().map(TaskState::Assigned) != incarnation {
                let ended = record.end(self.token, task, attempt, RunEnd::LeaseExpired);
                self.counts.expired_leases += u64::from(ended);
            }
        }
    }

    fn end_incarnations(
        &mut self,
        record: &mut Record,
        matches_incarnation: impl Fn(&ServerId) -> bool,
    ) {
        for (task, attempt) in record.assigned_if(&matches_incarnation) {
            record.end(self.token, task, attempt, RunEnd::LeaseExpired);
        }
        if self
            .session
            .as_ref()
            .is_some_and(|session| matches_incarnation(&session.server))
        {
            self.session = None;
        }
    }
}

fn choose_starts(
    token: u64,
    session: &Session,
    record: &mut Record,
    fault_free: bool,
    now: u64,
    random: &mut Random,
) {
    let waiting: Vec<TaskId> = record
        .tasks
        .iter()
        .filter(|(_, entry)| entry.state == TaskState::Waiting)
        .map(|(task, _)| *task)
        .collect();
    for task in waiting {
        if !random.once_in(10) {
            continue;
        }
        if !fault_free && random.once_in(3) {
            record.start(token, task, TaskState::Elsewhere(now + random.below(800)));
        } else if !session.heartbeat.draining {
            record.start(token, task, TaskState::Assigned(session.server.clone()));
        }
    }
}

/// Stops runs that are not assigned, and some of those that are. On a draining server it stops every assigned run, which
/// also covers runs that the server has not started.
fn choose_stops(
    session: &Session,
    record: &Record,
    fault_free: bool,
    stop: &mut Vec<(TaskId, Attempt)>,
    random: &mut Random,
) {
    let assigned = record.assigned(&session.server);
    let is_stopped = |run: &(TaskId, Attempt)| session.stops.contains_key(run);
    for run in session
        .heartbeat
        .running
        .iter()
        .map(|run| (run.task, run.attempt))
    {
        if !assigned.contains(&run) && !is_stopped(&run) {
            stop.push(run);
        }
    }
    for run in assigned {
        let unwanted = (!fault_free && random.once_in(40)) || session.heartbeat.draining;
        if unwanted && !is_stopped(&run) && session.assigned.contains(&run) {
            stop.push(run);
        }
    }
}

//! Messages to agents: what should run, what should not, which ends are kept, and how long the server may hold.

use crate::estimator::rest_ms;
use crate::heartbeats::is_assigned;
use crate::runs::table::{Run, RunPhase, SentIn};
use crate::scheduler::{AgentOrder, Scheduler};
use crate::servers::table::Session;
use lupinrack_cluster_api::agent::{Assignment, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::ControlState;

/// Bytes of job texts in one message, roughly at most; what is over goes into the next one.
const TEXT_BYTES_MOST: usize = 1 << 20;
/// A hold is renewed when this part of it has passed.
const RENEWAL_PART: u64 = 8;

/// What there is to say to one server.
#[derive(Default)]
struct Changes {
    assign: Vec<Assignment>,
    stop: Vec<(TaskId, Attempt)>,
}

impl Scheduler {
    /// The messages that are due now.
    pub(crate) fn orders(&mut self, state: &ControlState, now: Millis) -> Vec<AgentOrder> {
        let attached = self
            .servers
            .iter()
            .filter(|(_, server)| server.session.is_some());
        let attached: Vec<ServerId> = attached.map(|(id, _)| id.clone()).collect();
        attached
            .into_iter()
            .filter_map(|server| self.order(state, &server, now))
            .collect()
    }

    fn order(
        &mut self,
        state: &ControlState,
        server: &ServerId,
        now: Millis,
    ) -> Option<AgentOrder> {
        let session = self.servers.get(server)?.session.clone()?;
        let changes = self.changes(state, server, &session);
        let heartbeat_after_ms = self.heartbeat_after_ms(server, now);
        let observed = self.servers.get(server)?.ends.observed();
        let says_something = !changes.assign.is_empty()
            || !changes.stop.is_empty()
            || observed > session.observed_sent
            || heartbeat_after_ms < session.heartbeat_sent;
        if !says_something && !self.is_renewal_due(&session) {
            return None;
        }
        let message = OwnerMessage {
            token: self.token,
            server: server.clone(),
            number: session.next_number,
            complete: session.granted.is_none(),
            assign: changes.assign,
            stop: changes.stop,
            observed,
            lease_from: session.report.sent_at,
            lease_ms: self.settings.lease_ms,
            heartbeat_after_ms,
        };
        self.note_sent(server, &session, &message);
        let agent = self.servers.get(server)?.agent;
        Some(AgentOrder {
            agent,
            connection: session.connection,
            message,
        })
    }

    /// Runs whose start or stop was not told in this session yet.
    fn changes(&self, state: &ControlState, server: &ServerId, session: &Session) -> Changes {
        let mut changes = Changes::default();
        let mut bytes = 0;
        let draining = self
            .servers
            .get(server)
            .is_some_and(|entry| entry.draining_since.is_some());
        // An agent that was restarted has forgotten that its server leaves.
        let may_start = |run: &Run| !draining || run.running_since.is_some();
        for run in self.runs.of_server(server) {
            if needs_start(run, session) && may_start(run) && bytes < TEXT_BYTES_MOST {
                if let Some(assignment) = assignment(state, run) {
                    bytes += assignment.spec.len();
                    changes.assign.push(assignment);
                }
            } else if needs_stop(run, session) {
                changes.stop.push((run.task, run.attempt));
            }
        }
        if let Some(entry) = self.servers.get(server) {
            let untold = entry
                .foreign
                .iter()
                .filter(|(_, run)| !is_told(run.stop_sent, session));
            changes.stop.extend(untold.map(|(key, _)| *key));
        }
        changes
    }

    fn note_sent(&mut self, server: &ServerId, session: &Session, message: &OwnerMessage) {
        let sent = SentIn {
            session: session.id,
            number: message.number,
        };
        for assignment in &message.assign {
            if let Some(run) = self.runs.get_mut(assignment.task) {
                run.told_in = Some(session.id);
            }
        }
        for (task, attempt) in &message.stop {
            let ours = self.runs.on_server(server, *task, *attempt).is_some();
            if let Some(run) = self.runs.get_mut(*task).filter(|_| ours) {
                run.stop_sent = Some(sent);
            }
        }
        let lease_bound = session
            .report
            .received_at
            .plus(self.settings.lease_bound_ms());
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        for key in &message.stop {
            if let Some(run) = entry.foreign.get_mut(key) {
                run.stop_sent = Some(sent);
            }
        }
        entry.lease_bound = entry.lease_bound.max(lease_bound);
        if let Some(session) = &mut entry.session {
            session.next_number += 1;
            session.granted = Some(session.report);
            session.observed_sent = message.observed;
            session.heartbeat_sent = message.heartbeat_after_ms;
        }
    }

    fn is_renewal_due(&self, session: &Session) -> bool {
        let renew_ms = self.settings.lease_ms / RENEWAL_PART;
        session
            .granted
            .is_none_or(|granted| session.report.received_at.since(granted.received_at) >= renew_ms)
    }

    /// How often a server should beat: often while something starts or ends there, or is about to.
    fn heartbeat_after_ms(&self, server: &ServerId, now: Millis) -> u64 {
        let settings = &self.settings;
        let changes_soon = |run: &Run| {
            run.running_since.is_none()
                || run.stop.is_some()
                || run.ended
                || rest_ms(run, &self.durations, settings, now) <= settings.ending_soon_ms
        };
        let ends_pending = self
            .servers
            .get(server)
            .is_some_and(|entry| entry.ends.is_pending());
        if ends_pending || self.runs.of_server(server).any(changes_soon) {
            settings.busy_heartbeat_ms
        } else if self
            .jobs
            .newest_at()
            .is_some_and(|at| now.since(at) <= settings.recent_job_ms)
        {
            settings.active_heartbeat_ms
        } else {
            settings.idle_heartbeat_ms
        }
    }
}

fn needs_start(run: &Run, session: &Session) -> bool {
    run.is_wanted() && run.told_in != Some(session.id)
}

fn needs_stop(run: &Run, session: &Session) -> bool {
    let stopping = run.phase == RunPhase::Recorded && !run.ended && run.stop.is_some();
    stopping && run.may_be_known() && !is_told(run.stop_sent, session)
}

fn is_told(sent: Option<SentIn>, session: &Session) -> bool {
    sent.is_some_and(|sent| sent.session == session.id)
}

/// The order to start a run; none where the record does not ask for it any longer.
fn assignment(state: &ControlState, run: &Run) -> Option<Assignment> {
    let job = state
        .job(run.task.job)
        .filter(|job| !job.state.is_final())?;
    if !is_assigned(state, &run.server, run.task, run.attempt) {
        return None;
    }
    Some(Assignment {
        task: run.task,
        attempt: run.attempt,
        spec: job.spec.spec.clone(),
        checkpoint: run.start_saved.clone(),
    })
}

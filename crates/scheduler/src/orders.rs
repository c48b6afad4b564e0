//! Messages to agents: which runs to start and stop, which ends are recorded, and how long the
//! server's lease is.

use crate::agent_order::AgentOrder;
use crate::estimator::Estimator;
use crate::recorded::is_assigned;
use crate::run_id::RunId;
use crate::runs::run::Run;
use crate::runs::table::RunTable;
use crate::servers::server::Server;
use crate::servers::session::{OrderId, Session};
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::agent::{Assignment, OwnerMessage};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_control_state::ControlState;

/// The approximate maximum of bytes of job specs in one message. Further starts go into the next
/// message.
const MAX_SPEC_BYTES: usize = 1 << 20;
/// A lease is renewed after `lease_ms` / this value.
const RENEWALS_PER_LEASE: u64 = 8;
/// A report that arrives this long after the last answered one is answered in any case, in
/// milliseconds. Agents report more seldom than this, so each of their regular reports is answered.
const MAX_ANSWER_INTERVAL_MS: u64 = 375;

/// The starts and stops that have not been sent to a server's agent in its current session.
#[derive(Debug, Default)]
struct PendingOrders {
    assign: Vec<Assignment>,
    stop: Vec<RunId>,
    /// Whether further starts have to wait for the next message.
    is_truncated: bool,
}

/// Writes the messages of one round.
#[derive(Debug)]
pub(crate) struct OrderWriter<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) settings: &'a SchedulerSettings,
    /// The fencing token of the owner.
    pub(crate) token: FencingToken,
    pub(crate) servers: &'a mut ServerTable,
    /// The runs of the servers.
    pub(crate) runs: &'a mut RunTable,
    /// Estimates of when runs end.
    pub(crate) estimator: Estimator<'a>,
}

impl OrderWriter<'_> {
    /// The messages that are due now. They are recorded as sent.
    ///
    /// Checks only servers that have changed since their last check. The conditions that depend on
    /// time alone, the renewal of the lease and the heartbeat interval, are checked with each
    /// report of the agent.
    pub(crate) fn write_all(&mut self) -> Vec<AgentOrder> {
        let runs = &mut *self.runs;
        let changed: Vec<ServerId> = self
            .servers
            .attached()
            .filter(|(id, server)| runs.take_changed(id) || server.may_need_orders)
            .map(|(id, _)| id.clone())
            .collect();
        changed
            .into_iter()
            .filter_map(|server| self.write(&server))
            .collect()
    }

    fn write(&mut self, id: &ServerId) -> Option<AgentOrder> {
        let server = self.servers.get(id)?;
        let session = server.session.clone()?;
        let changes = self.changes(id, server, &session);
        let is_truncated = changes.is_truncated;
        let heartbeat_after_ms = self.heartbeat_after_ms(id, server);
        let recorded_ends = server.ends.recorded_up_to();
        let has_changes = !changes.assign.is_empty()
            || !changes.stop.is_empty()
            || recorded_ends > session.acknowledged_ends
            || heartbeat_after_ms < session.heartbeat_after_ms;
        let renew_after_ms =
            (self.settings.lease_ms / RENEWALS_PER_LEASE).min(MAX_ANSWER_INTERVAL_MS);
        if !has_changes && !session.is_lease_renewal_due(renew_after_ms) {
            self.servers.set_orders_written(id);
            return None;
        }
        let stop = changes.stop.iter().map(|run| (run.task, run.attempt));
        let mut order = AgentOrder {
            agent: server.agent,
            connection: session.connection,
            message: OwnerMessage {
                token: self.token,
                server: id.clone(),
                number: session.next_number,
                complete: session.answered.is_none(),
                assign: changes.assign,
                stop: stop.collect(),
                observed: recorded_ends,
                lease_from: session.report.sent_at,
                lease_ms: self.settings.lease_ms,
                heartbeat_after_ms,
            },
        };
        self.record_sent(id, &session, &order.message);
        self.name_tasks(&mut order.message);
        if !is_truncated {
            self.servers.set_orders_written(id);
        }
        Some(order)
    }

    /// Gives the tasks of a message their names on servers.
    fn name_tasks(&self, message: &mut OwnerMessage) {
        let jobs = self.state.jobs();
        for assignment in &mut message.assign {
            assignment.task = jobs.name_on_servers(assignment.task);
        }
        for (task, _) in &mut message.stop {
            *task = jobs.name_on_servers(*task);
        }
    }

    /// The starts and stops that have not been sent in this session.
    fn changes(&self, id: &ServerId, server: &Server, session: &Session) -> PendingOrders {
        let mut changes = PendingOrders::default();
        let mut spec_bytes = 0;
        let is_draining = server.draining_since.is_some();
        // A restarted agent does not know that its server is draining and would start new runs. So
        // a draining server is sent only starts of runs that it already listed as running.
        let may_start = |run: &Run| !is_draining || run.running_since.is_some();
        for run in self.runs.of_server(id) {
            let is_full = spec_bytes >= MAX_SPEC_BYTES;
            changes.is_truncated |= is_full && needs_start(run, session);
            if needs_start(run, session) && may_start(run) && !is_full {
                if let Some(assignment) = assignment(self.state, run) {
                    spec_bytes += assignment.spec.len();
                    changes.assign.push(assignment);
                }
            } else if needs_stop(run, session) {
                changes.stop.push(run.id());
            }
        }
        let unexpected = server
            .unexpected
            .iter()
            .filter(|(_, run)| !session.contains(run.stop_order));
        changes.stop.extend(unexpected.map(|(run, _)| *run));
        changes
    }

    fn record_sent(&mut self, id: &ServerId, session: &Session, message: &OwnerMessage) {
        let order = OrderId {
            session: session.id,
            number: message.number,
        };
        for assignment in &message.assign {
            self.runs.set_start_ordered(assignment.task, session.id);
        }
        for (task, attempt) in &message.stop {
            let run = RunId::new(*task, *attempt);
            if self.runs.on_server(id, run).is_some() {
                self.runs.set_stop_ordered(*task, order);
            }
        }
        let lease_bound = session
            .report
            .received_at
            .plus(self.settings.lease_bound_ms());
        if let Some(server) = self.servers.get_mut(id) {
            server.record_sent(message, order, lease_bound);
        }
    }

    /// The delay until the server's next heartbeat, in milliseconds. It is short while a run is
    /// starting or ending there, or is about to end.
    fn heartbeat_after_ms(&self, id: &ServerId, server: &Server) -> u64 {
        let changes_soon = |run: &Run| {
            run.running_since.is_none()
                || run.stop.is_some()
                || run.ended
                || self.estimator.remaining_ms(run) <= self.settings.ending_soon_ms
        };
        if server.ends.is_pending() || self.runs.of_server(id).any(changes_soon) {
            self.settings.busy_heartbeat_ms
        } else {
            self.settings.idle_heartbeat_ms
        }
    }
}

fn needs_start(run: &Run, session: &Session) -> bool {
    run.should_run() && run.start_ordered_in != Some(session.id)
}

fn needs_stop(run: &Run, session: &Session) -> bool {
    run.is_open()
        && run.stop.is_some()
        && run.may_be_known_to_server()
        && !session.contains(run.stop_order)
}

/// The order to start a run; `None` if the replicated state no longer assigns the run to this
/// server.
fn assignment(state: &ControlState, run: &Run) -> Option<Assignment> {
    let job = state.job(run.task.job).filter(|job| job.is_open())?;
    if !is_assigned(state, &run.server, run.id()) {
        return None;
    }
    Some(Assignment {
        task: run.task,
        attempt: run.attempt,
        spec: job.spec.spec.clone(),
        checkpoint: run.start_checkpoint.clone(),
    })
}

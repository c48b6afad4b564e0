//! The scheduler of one service: its state, its inputs and the steps of a round.

mod applied;
mod jobs;

use crate::adoption::adopt;
use crate::estimator::Estimator;
use crate::eviction::Eviction;
use crate::heartbeats::HeartbeatReader;
use crate::history::History;
use crate::incarnations::Incarnations;
use crate::inferred_end::InferredEndReason;
use crate::jobs::idle_times::IdleTimes;
use crate::jobs::open_jobs::OpenJobs;
use crate::orders::OrderWriter;
use crate::overview::Overview;
use crate::placement::candidate::Candidate;
use crate::placement::candidates::candidates;
use crate::placement::demand::{demands, stream_weights, Demand};
use crate::placement::headroom::{UrgentUsage, URGENT_PRIORITY};
use crate::placement::kept_capacity::KeptCapacityAccess;
use crate::placement::pass;
use crate::placement::planner::Planner;
use crate::placement::requeue::withdraw_misplaced;
use crate::placement::usage::is_under_half_used;
use crate::queues::task_queues::TaskQueues;
use crate::round::Round;
use crate::run_tracker::{RunTracker, TakeoverBoundExpired};
use crate::servers::server::HeartbeatOrigin;
use crate::servers::session::ReportTimes;
use crate::servers::table::{Attachment, ServerTable};
use crate::settings::SchedulerSettings;
use crate::submissions::Submissions;
use crate::summarize::summarize;
use crate::summary::ServiceSummary;
use crate::wait_log::WaitLog;
use crate::wait_report::WaitReport;
use lupinrack_cluster_api::agent::{AgentMessage, Heartbeat};
use lupinrack_cluster_api::identity::{FencingToken, PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::ControlState;

/// Makes the scheduling decisions for one service. The owner of the service's shard runs it. It is
/// a state machine without I/O: its inputs are agent messages, applied operations and timestamps;
/// its outputs are operations and agent messages.
#[derive(Clone, Debug)]
pub struct Scheduler {
    service: ServiceName,
    token: FencingToken,
    settings: SchedulerSettings,
    /// The time by which all leases granted by earlier owners have expired.
    takeover_bound: Millis,
    /// Whether the runs of earlier owners have been adopted. This happens in the first round.
    has_adopted: bool,
    servers: ServerTable,
    tracker: RunTracker,
    jobs: OpenJobs,
    idle_times: IdleTimes,
    queues: TaskQueues,
    history: History,
    urgent_usage: UrgentUsage,
    /// The time of the last full scan over the runs.
    last_full_scan: Option<Millis>,
    last_round: Option<Millis>,
    wait_log: WaitLog,
    /// The report of this round on waiting tasks.
    wait_report: Option<WaitReport>,
}

/// The minimum time between two full scans over the runs, in milliseconds.
const FULL_SCAN_INTERVAL_MS: u64 = 50;

/// Rounds are closer together than this while the owner's process runs, in milliseconds. It has
/// stood still for what exceeds this time.
const MAX_ROUND_INTERVAL_MS: u64 = 200;

/// The time of a round.
#[derive(Clone, Copy, Debug)]
struct RoundTime {
    now: Millis,
    /// The wall-clock time.
    wall: WallMillis,
    /// Whether the round checks all runs instead of only those that have changed.
    is_full_scan: bool,
}

impl Scheduler {
    /// Creates the scheduler of a service. `now` is the time at which the local replica applied the
    /// operation that took over the shard.
    pub fn new(
        service: ServiceName,
        token: FencingToken,
        settings: SchedulerSettings,
        now: Millis,
    ) -> Scheduler {
        let submissions = Submissions::new(service.clone(), token, settings.resubmit_ms);
        Scheduler {
            takeover_bound: now.plus(settings.takeover_bound_ms()),
            has_adopted: false,
            servers: ServerTable::default(),
            tracker: RunTracker::new(submissions),
            jobs: OpenJobs::default(),
            idle_times: IdleTimes::default(),
            queues: TaskQueues::new(settings.dispatch),
            history: History::default(),
            urgent_usage: UrgentUsage::default(),
            last_full_scan: None,
            last_round: None,
            wait_log: WaitLog::default(),
            wait_report: None,
            service,
            token,
            settings,
        }
    }

    /// The fencing token of this owner.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// A summary of the service's servers and waiting tasks.
    pub fn summary(&self, now: Millis) -> ServiceSummary {
        summarize(&self.overview(now), &self.jobs)
    }

    /// Handles a message from an agent.
    pub fn receive(
        &mut self,
        agent: PeerAddress,
        connection: u64,
        message: AgentMessage,
        now: Millis,
    ) {
        let report = |sent_at| ReportTimes {
            sent_at,
            received_at: now,
        };
        match message {
            AgentMessage::Attach {
                facts,
                token: _,
                heartbeat,
                sent_at,
            } => self.attach(Attachment {
                agent,
                connection,
                facts,
                heartbeat,
                report: report(sent_at),
            }),
            AgentMessage::Report { heartbeat, sent_at } => {
                self.report(agent, connection, heartbeat, report(sent_at));
            }
            AgentMessage::Deregister { server } => self.deregister(agent, connection, &server),
        }
    }

    /// Handles the end of a connection to an agent.
    pub fn disconnected(&mut self, agent: PeerAddress, connection: u64) {
        self.servers.detach(agent, connection);
    }

    /// Makes the next round submit again all operations that have not been applied. The chain head
    /// that received them may have failed.
    pub fn resubmit_operations(&mut self) {
        self.tracker.submissions.resubmit_all();
    }

    /// Runs one scheduling round and returns its decisions. This process may act as the owner only
    /// before `authority_until`: a round at or after that time places no task and writes no
    /// message.
    pub fn round(
        &mut self,
        state: &ControlState,
        now: Millis,
        wall: WallMillis,
        authority_until: Millis,
    ) -> Round {
        let time = RoundTime {
            now,
            wall,
            is_full_scan: self.begin_full_scan_if_due(now),
        };
        let has_authority = now < authority_until;
        self.exclude_own_stall(now);
        self.adopt_once(state, now);
        self.read_heartbeats(state, now);
        let timeout_ms = self.settings.heartbeat_timeout_ms;
        self.incarnations().expire_leases(now, timeout_ms);
        self.incarnations().reconcile_bindings(state);
        self.refresh_jobs(state, time);
        self.infer_ends(time);
        self.wait_log.note_authority(has_authority, now);
        if has_authority {
            self.run_placement(state, time);
        }
        if self.wait_log.is_due(now) {
            let (tracker, servers) = (&self.tracker, &self.servers);
            self.wait_report = self.wait_log.report_starts(tracker, servers, now);
        }
        let operations = self.tracker.submissions.due(now, wall);
        let messages = if has_authority {
            self.order_writer(state, now).write_all()
        } else {
            Vec::new()
        };
        Round {
            operations,
            messages,
            inferred_ends: self.tracker.take_inferred_ends(),
            wait_report: self.wait_report.take(),
        }
    }

    /// Whether this round scans all runs. Conditions that only a full scan detects depend on
    /// timeouts of seconds, so a scan every [`FULL_SCAN_INTERVAL_MS`] is often enough.
    fn begin_full_scan_if_due(&mut self, now: Millis) -> bool {
        let is_due = self
            .last_full_scan
            .is_none_or(|at| now.since(at) >= FULL_SCAN_INTERVAL_MS);
        if is_due {
            self.last_full_scan = Some(now);
        }
        is_due
    }

    /// Excludes the time for which this owner stood still from the silence of servers and runs. What
    /// they sent meanwhile may not have been received yet.
    fn exclude_own_stall(&mut self, now: Millis) {
        let interval_ms = self.last_round.map_or(0, |last| now.since(last));
        self.last_round = Some(now);
        if interval_ms > MAX_ROUND_INTERVAL_MS {
            self.servers.exclude_stall(interval_ms, now);
            self.tracker.runs.exclude_stall(interval_ms, now);
        }
    }

    fn infer_ends(&mut self, time: RoundTime) {
        let bound = (time.now > self.takeover_bound).then_some(TakeoverBoundExpired);
        if time.is_full_scan {
            self.tracker.infer_unreported_ends(&self.servers, bound);
        } else {
            self.tracker
                .infer_possible_unreported_ends(&self.servers, bound);
        }
    }

    fn attach(&mut self, attachment: Attachment) {
        if attachment.facts.service == self.service {
            let lease_bound = self.takeover_bound.max(attachment.report.received_at);
            self.servers.attach(attachment, lease_bound);
        }
    }

    fn report(
        &mut self,
        agent: PeerAddress,
        connection: u64,
        heartbeat: Option<Heartbeat>,
        report: ReportTimes,
    ) {
        let Some(server) = self.servers.get_by_connection(agent, connection) else {
            return;
        };
        server.record_report(report);
        if let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.server == server.facts.id) {
            server.receive_heartbeat(heartbeat, HeartbeatOrigin::Report, report.received_at);
        }
    }

    fn deregister(&mut self, agent: PeerAddress, connection: u64, id: &ServerId) {
        let attached = self.servers.get_by_connection(agent, connection);
        if attached.is_some_and(|server| server.facts.id == *id) {
            self.incarnations()
                .remove(id, InferredEndReason::ServerDeregistered);
        }
    }

    /// Adopts the runs of earlier owners in the first round.
    fn adopt_once(&mut self, state: &ControlState, now: Millis) {
        if self.has_adopted {
            return;
        }
        self.has_adopted = true;
        let runs = &mut self.tracker.runs;
        adopt(state, &self.service, runs, &mut self.jobs, now);
    }

    fn read_heartbeats(&mut self, state: &ControlState, now: Millis) {
        HeartbeatReader {
            state,
            servers: &mut self.servers,
            tracker: &mut self.tracker,
            jobs: &mut self.jobs,
            history: &mut self.history,
            policy: self.settings.policy,
            now,
        }
        .read_all();
    }

    /// Places ready tasks, proposes starts and evicts runs.
    fn run_placement(&mut self, state: &ControlState, time: RoundTime) {
        let RoundTime { now, wall, .. } = time;
        let urgent = self.tracker.runs.used_by(URGENT_PRIORITY);
        self.urgent_usage.observe(&urgent, now);
        // The demands borrow the plans of the jobs, so the plans are moved out of `self`, which is
        // borrowed mutably below.
        let jobs = std::mem::take(&mut self.jobs);
        let demands = demands(state, &jobs, &self.history.durations, wall);
        self.idle_times.update(&demands, &self.tracker.runs, now);
        let candidates = if self.needs_placement(&demands) {
            Some(self.place(state, &demands, now))
        } else {
            None
        };
        if time.is_full_scan {
            self.eviction(now).stop_stalled_runs();
        }
        if let Some(candidates) = candidates {
            self.eviction(now).make_way(&demands, candidates);
        }
        self.jobs = jobs;
    }

    /// Whether a placement pass could change anything: a ready task has neither a run nor a queue
    /// entry, a queue is not empty, or a server is draining.
    fn needs_placement(&self, demands: &[Demand<'_>]) -> bool {
        let is_unplaced = |task| !self.tracker.runs.contains(task) && !self.queues.contains(task);
        !self.queues.is_empty()
            || self.servers.has_draining()
            || demands.iter().any(|demand| demand.tasks().any(is_unplaced))
    }

    /// Runs one placement pass over the demands. Returns the candidates with the capacity that
    /// remains after the pass.
    fn place(
        &mut self,
        state: &ControlState,
        demands: &[Demand<'_>],
        now: Millis,
    ) -> Vec<Candidate> {
        let mut candidates = candidates(&self.overview(now));
        let kept_capacity = KeptCapacityAccess {
            idle_times: &self.idle_times,
            is_under_half_used: is_under_half_used(&candidates),
            now,
        };
        if self.settings.policy.requeues {
            withdraw_misplaced(&mut self.queues, &mut candidates, kept_capacity);
        }
        let History {
            durations, faults, ..
        } = &mut self.history;
        let mut planner = Planner {
            state,
            settings: &self.settings,
            now,
            estimator: Estimator::new(durations, &self.settings, now),
            headroom: self
                .urgent_usage
                .headroom(&candidates, self.settings.policy),
            candidates,
            weights: stream_weights(demands),
            runs: &mut self.tracker.runs,
            queues: &mut self.queues,
            faults,
            kept_capacity,
            starts: Vec::new(),
            reservations: 0,
        };
        pass::run(&mut planner, demands);
        if self.wait_log.is_due(now) {
            self.wait_report = self.wait_log.report_pass(&planner, demands, &self.servers);
        }
        let Planner {
            starts, candidates, ..
        } = planner;
        self.tracker.submissions.add_starts(starts);
        candidates
    }

    fn eviction(&mut self, now: Millis) -> Eviction<'_> {
        Eviction {
            servers: &self.servers,
            runs: &mut self.tracker.runs,
            history: &mut self.history,
            settings: &self.settings,
            now,
        }
    }

    fn incarnations(&mut self) -> Incarnations<'_> {
        Incarnations {
            servers: &mut self.servers,
            tracker: &mut self.tracker,
            queues: &mut self.queues,
            history: &mut self.history,
        }
    }

    fn order_writer<'a>(&'a mut self, state: &'a ControlState, now: Millis) -> OrderWriter<'a> {
        OrderWriter {
            state,
            settings: &self.settings,
            token: self.token,
            servers: &mut self.servers,
            runs: &mut self.tracker.runs,
            estimator: Estimator::new(&self.history.durations, &self.settings, now),
        }
    }

    fn overview(&self, now: Millis) -> Overview<'_> {
        Overview {
            servers: &self.servers,
            runs: &self.tracker.runs,
            queues: &self.queues,
            history: &self.history,
            settings: &self.settings,
            now,
        }
    }
}

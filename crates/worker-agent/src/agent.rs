//! The state machine of the agent.

use crate::desired_state::Orders;
use crate::heartbeat_json::{ServerHeartbeat, UnknownRun};
use crate::heartbeat_response::{HeartbeatResponse, StopOrder};
use crate::incarnation::Life;
use crate::incarnation_history::{Lives, Standing};
use crate::lease::Hold;
use crate::owner_session::{OwnerMessageError, Session};
use crate::report_schedule::{ReportKind, Reporter};
use crate::settings::AgentSettings;
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;

/// How many ends a server lists at once. A list of that length may lack others, so nothing follows from a run's absence.
pub const FINISHED_LIST_MOST: usize = 500;

/// A server that is this much later, in milliseconds, than it was asked to beat counts as silent.
pub const SILENCE_SLACK_MS: u64 = 600;

/// A heartbeat that was taken and not answered yet.
#[derive(Clone, Debug)]
pub struct PendingHeartbeat {
    /// Runs that are none of ours.
    unknown_runs: Vec<UnknownRun>,
    /// When it arrived; holds count from then.
    pub arrived_at: Millis,
    /// Whether it lists ends, whose room is likely to be given to other tasks soon.
    pub lists_ends: bool,
    /// Whether it lists neither runs nor ends.
    pub idle: bool,
}

/// What becomes of a heartbeat that was taken.
#[derive(Clone, Debug)]
pub enum HeartbeatOutcome {
    /// It is answered at once, without orders.
    Answered(HeartbeatResponse),
    /// It is answered by [`Agent::respond_to_heartbeat`].
    Pending(PendingHeartbeat),
}

/// The agent on a server's machine.
#[derive(Clone, Debug)]
pub struct Agent {
    settings: AgentSettings,
    incarnation: Option<Life>,
    other_incarnations: Lives,
    /// Lives that have left in order, of which the owner of this session was not told yet.
    unreported_leaves: Vec<ServerId>,
    token: FencingToken,
    hold: Hold,
    orders: Orders,
    session: Option<Session>,
    reporter: Reporter,
    /// When the agent last sent anything, in any session.
    last_sent: Option<Millis>,
}

impl Agent {
    /// An agent that knows of no server and no owner.
    pub fn new(settings: AgentSettings) -> Agent {
        Agent {
            settings,
            incarnation: None,
            other_incarnations: Lives::default(),
            unreported_leaves: Vec::new(),
            token: FencingToken::default(),
            hold: Hold::default(),
            orders: Orders::default(),
            session: None,
            reporter: Reporter::default(),
            last_sent: None,
        }
    }

    /// What the server that beats here says of itself.
    pub fn server(&self) -> Option<&ServerFacts> {
        self.incarnation
            .as_ref()
            .map(|incarnation| &incarnation.facts)
    }

    /// The highest token that was seen.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Takes a heartbeat that arrived at `now`. One that may be given orders is left open: its answer may wait a moment
    /// for them.
    pub fn receive_heartbeat(&mut self, beat: ServerHeartbeat, now: Millis) -> HeartbeatOutcome {
        let silent = self
            .incarnation
            .as_ref()
            .is_some_and(|incarnation| now > incarnation.expected_by);
        let newest = self
            .incarnation
            .as_ref()
            .map(|incarnation| &incarnation.heartbeat);
        match self
            .other_incarnations
            .judge(&beat.heartbeat, newest, silent)
        {
            Standing::Newest => HeartbeatOutcome::Pending(self.take_heartbeat(beat, now)),
            Standing::Unconfirmed => HeartbeatOutcome::Answered(HeartbeatResponse {
                heartbeat_after_ms: self.settings.busy_heartbeat_ms,
                ..HeartbeatResponse::default()
            }),
            Standing::Late => HeartbeatOutcome::Answered(HeartbeatResponse::default()),
        }
    }

    /// Answers the newest heartbeat, with all orders that there are at `now`.
    pub fn respond_to_heartbeat(
        &mut self,
        open: &PendingHeartbeat,
        now: Millis,
    ) -> HeartbeatResponse {
        let answer = self.answer(&open.unknown_runs, open.arrived_at);
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.expected_by = now.plus(answer.heartbeat_after_ms + SILENCE_SLACK_MS);
        }
        answer
    }

    /// Whether the newest heartbeat could be answered with a start or a stop now.
    pub fn has_orders(&self, now: Millis) -> bool {
        let Some(incarnation) = &self.incarnation else {
            return false;
        };
        let running = &incarnation.heartbeat.running;
        let holds = self
            .hold
            .for_answer(now, self.settings.lease_max_ms)
            .is_some();
        let may_start = holds && !incarnation.draining && incarnation.all_ends_listed;
        !self
            .orders
            .missing_starts(running, may_start)
            .starts
            .is_empty()
            || self.orders.stops(running).next().is_some()
    }

    /// Takes note that a server has said that it leaves. One that drained before ends now. One that says it first serves
    /// on, with all that runs on it: it counts as draining from now on, and is over when its hold is. So does one that
    /// this agent does not know to drain, since the agent may have been restarted.
    pub fn deregister(&mut self, server: ServerId) {
        let present = self
            .incarnation
            .as_mut()
            .filter(|incarnation| incarnation.facts.id == server);
        match present {
            Some(incarnation) if incarnation.draining && !incarnation.left_first => {
                self.end_drained_incarnation(server)
            }
            Some(incarnation) => incarnation.leaves_first(),
            None => self.other_incarnations.announce_leave(server),
        }
    }

    fn end_drained_incarnation(&mut self, server: ServerId) {
        self.end_incarnation();
        self.other_incarnations.leave(&server);
        self.unreported_leaves.push(server);
    }

    /// Takes note that there is a connection to the owner. It replaces an earlier one; what was ordered stays.
    pub fn owner_connected(&mut self, connection: u64) {
        self.session = Some(Session::new(connection));
        self.unreported_leaves = self.other_incarnations.left().cloned().collect();
        self.forget_orders_seen();
    }

    /// Takes note that a connection has ended; what was ordered stays.
    pub fn owner_disconnected(&mut self, connection: u64) {
        if self
            .session
            .as_ref()
            .is_some_and(|session| session.connection() == connection)
        {
            self.session = None;
            self.forget_orders_seen();
        }
    }

    /// Takes a message of an owner.
    pub fn receive_owner_message(
        &mut self,
        connection: u64,
        message: OwnerMessage,
    ) -> Result<(), OwnerMessageError> {
        let session = self
            .session
            .as_mut()
            .filter(|session| session.connection() == connection);
        let session = session.ok_or(OwnerMessageError::OtherConnection)?;
        let incarnation = self
            .incarnation
            .as_mut()
            .filter(|incarnation| incarnation.facts.id == message.server);
        let incarnation = incarnation.ok_or(OwnerMessageError::OtherIncarnation)?;
        if message.token < self.token {
            return Err(OwnerMessageError::LowerToken);
        }
        if let Err(refused) = session.take(&message) {
            if refused == OwnerMessageError::Gap {
                session.restart();
                self.forget_orders_seen();
            }
            return Err(refused);
        }
        incarnation.observed = incarnation.observed.max(message.observed);
        self.token = message.token;
        self.take_lease(&message);
        self.orders.apply(message);
        Ok(())
    }

    /// What to send to the owner on the session's connection. To be called after each other call, and when
    /// [`Agent::next_poll`] says so.
    pub fn poll(&mut self, now: Millis) -> Vec<AgentMessage> {
        if self.session.is_none() {
            return Vec::new();
        }
        let mut messages = Vec::new();
        messages.extend(self.poll_attach(now));
        messages.extend(self.poll_leaves());
        messages.extend(self.poll_report(now));
        if !messages.is_empty() {
            self.last_sent = Some(now);
        }
        messages
    }

    /// When [`Agent::poll`] should be called if nothing else happens.
    pub fn next_poll(&self) -> Option<Millis> {
        let session = self.session.as_ref()?;
        let incarnation = self.incarnation.as_ref()?;
        let report = self
            .reporter
            .next_due(&incarnation.heartbeat, incarnation.orders_answered);
        let attach = session
            .attach_due()
            .map(|due| due.max(self.attach_earliest()));
        let due = if session.is_attached() {
            attach.map_or(report, |due| due.min(report))
        } else {
            attach?
        };
        (due <= incarnation.expected_by).then_some(due)
    }

    fn take_heartbeat(&mut self, beat: ServerHeartbeat, now: Millis) -> PendingHeartbeat {
        if self.server().is_none_or(|known| known.id != beat.facts.id) {
            self.end_incarnation();
        }
        self.orders.note_ends(&beat.heartbeat.finished);
        let ends = !beat.heartbeat.finished.is_empty();
        let idle = beat.heartbeat.running.is_empty() && !ends;
        let unknown_runs = self.update_incarnation(beat);
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.expected_by = now.plus(SILENCE_SLACK_MS);
        }
        PendingHeartbeat {
            unknown_runs,
            arrived_at: now,
            lists_ends: ends,
            idle,
        }
    }

    /// Drops everything that belongs to the present life.
    fn end_incarnation(&mut self) {
        if let Some(incarnation) = self.incarnation.take() {
            self.other_incarnations.end(&incarnation.heartbeat);
        }
        self.orders = Orders::default();
        self.hold.clear();
        if let Some(session) = &mut self.session {
            session.restart();
        }
    }

    /// Keeps what a heartbeat tells, and returns the runs that are none of ours.
    fn update_incarnation(&mut self, beat: ServerHeartbeat) -> Vec<UnknownRun> {
        let ServerHeartbeat {
            facts,
            mut heartbeat,
            unknown_runs,
            ends_listed,
            ..
        } = beat;
        if self.server().is_some_and(|known| *known != facts) {
            self.restart_session();
        }
        let answered = self
            .session
            .as_ref()
            .map(Session::answered)
            .unwrap_or_default();
        let all_ends_listed = ends_listed < FINISHED_LIST_MOST;
        heartbeat.orders_seen = if all_ends_listed { answered.newest } else { 0 };
        let before = self.incarnation.take();
        let left_first = before
            .as_ref()
            .is_some_and(|incarnation| incarnation.left_first)
            || self.other_incarnations.has_announced_leave(&facts.id);
        let mut incarnation = Life {
            facts,
            heartbeat,
            orders_answered: if all_ends_listed {
                answered.newest_with_orders
            } else {
                0
            },
            all_ends_listed,
            draining: before
                .as_ref()
                .is_some_and(|incarnation| incarnation.draining),
            left_first,
            observed: before.map_or(0, |incarnation| incarnation.observed),
            expected_by: Millis::default(),
        };
        incarnation.note_draining();
        self.incarnation = Some(incarnation);
        unknown_runs
    }

    fn answer(&mut self, unknown_runs: &[UnknownRun], now: Millis) -> HeartbeatResponse {
        let Some(incarnation) = &self.incarnation else {
            return HeartbeatResponse::default();
        };
        let running = &incarnation.heartbeat.running;
        let lease_ms = self.hold.for_answer(now, self.settings.lease_max_ms);
        let may_start = lease_ms.is_some() && !incarnation.draining && incarnation.all_ends_listed;
        let missing = self.orders.missing_starts(running, may_start);
        let unknown = unknown_runs.iter().map(stop_unknown);
        let stops: Vec<StopOrder> = self.orders.stops(running).chain(unknown).collect();
        let busy = !missing.starts.is_empty()
            || !stops.is_empty()
            || self.has_unobserved_ends(incarnation);
        if let Some(session) = self
            .session
            .as_mut()
            .filter(|_| incarnation.draining || !missing.withheld)
        {
            session.all_answered();
        }
        HeartbeatResponse {
            starts: missing.starts,
            stops,
            observed: incarnation.observed,
            token: self.token,
            lease_ms: lease_ms.unwrap_or(0),
            heartbeat_after_ms: self.heartbeat_after_ms(busy),
        }
    }

    fn has_unobserved_ends(&self, incarnation: &Life) -> bool {
        incarnation
            .heartbeat
            .finished
            .iter()
            .any(|end| end.number > incarnation.observed)
    }

    /// How soon the next heartbeat is wanted. Without an owner nothing comes of it, however busy the server is.
    fn heartbeat_after_ms(&self, busy: bool) -> u64 {
        let wanted = self
            .session
            .as_ref()
            .and_then(Session::heartbeat_after_ms)
            .unwrap_or(self.settings.idle_heartbeat_ms);
        let busy = busy && self.session.is_some();
        let heartbeat_after_ms = if busy {
            wanted.min(self.settings.busy_heartbeat_ms)
        } else {
            wanted
        };
        heartbeat_after_ms.min(self.settings.heartbeat_ms).max(1)
    }

    /// Takes the hold that a message grants. It counts from a moment at which the agent did send something.
    fn take_lease(&mut self, message: &OwnerMessage) {
        let from = message.lease_from.min(self.last_sent.unwrap_or_default());
        if message.complete {
            self.hold.replace(from, message.lease_ms);
        } else {
            self.hold.extend(from, message.lease_ms);
        }
    }

    fn poll_attach(&mut self, now: Millis) -> Option<AgentMessage> {
        let session = self.session.as_ref()?;
        let incarnation = self.incarnation.as_ref()?;
        let due = session.needs_attach(now)
            && self.attach_earliest() <= now
            && now <= incarnation.expected_by;
        if !due {
            return None;
        }
        self.forget_orders_seen();
        let session = self.session.as_mut()?;
        let incarnation = self.incarnation.as_ref()?;
        session.attached(now);
        self.reporter = Reporter::default();
        self.reporter
            .sent_heartbeat(&incarnation.heartbeat, incarnation.orders_answered, now);
        Some(AgentMessage::Attach {
            facts: incarnation.facts.clone(),
            token: self.token,
            heartbeat: incarnation.heartbeat.clone(),
            sent_at: now,
        })
    }

    /// An attach is later than every earlier message: so the owner's `lease_from` tells which attach it answers.
    fn attach_earliest(&self) -> Millis {
        self.last_sent.map_or(Millis::default(), |at| at.plus(1))
    }

    fn poll_leaves(&mut self) -> impl Iterator<Item = AgentMessage> {
        std::mem::take(&mut self.unreported_leaves)
            .into_iter()
            .map(|server| AgentMessage::Deregister { server })
    }

    fn poll_report(&mut self, now: Millis) -> Option<AgentMessage> {
        let attached = self.session.as_ref().is_some_and(Session::is_attached);
        let incarnation = self
            .incarnation
            .as_ref()
            .filter(|incarnation| attached && now <= incarnation.expected_by)?;
        let kind = self
            .reporter
            .due(&incarnation.heartbeat, incarnation.orders_answered, now)?;
        let heartbeat = match kind {
            ReportKind::Heartbeat => {
                self.reporter.sent_heartbeat(
                    &incarnation.heartbeat,
                    incarnation.orders_answered,
                    now,
                );
                Some(incarnation.heartbeat.clone())
            }
            ReportKind::NoChange => {
                self.reporter.sent(now);
                None
            }
        };
        Some(AgentMessage::Report {
            heartbeat,
            sent_at: now,
        })
    }

    fn restart_session(&mut self) {
        if let Some(session) = &mut self.session {
            session.restart();
        }
    }

    /// The numbers of an earlier session's messages mean nothing in the next one.
    fn forget_orders_seen(&mut self) {
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.heartbeat.orders_seen = 0;
            incarnation.orders_answered = 0;
        }
    }
}

fn stop_unknown(run: &UnknownRun) -> StopOrder {
    StopOrder {
        task: run.task.clone(),
        attempt: run.attempt,
    }
}

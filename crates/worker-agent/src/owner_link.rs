//! The agent's side of the connection to the owner of the server's shard.

use crate::incarnation::Incarnation;
use crate::owner_session::{MessageNumbers, OwnerSession};
use crate::report_schedule::{ReportKind, ReportSchedule};
use lupinrack_cluster_api::agent::AgentMessage;
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_cluster_api::time::Millis;

/// The session with the owner, the reports in it, and the messages to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerLink {
    session: Option<OwnerSession>,
    reports: ReportSchedule,
    /// Incarnations that drained and deregistered, and that were not reported to the owner in this session.
    unreported_departures: Vec<ServerId>,
    /// When the agent last sent anything, in any session.
    last_sent: Option<Millis>,
}

impl OwnerLink {
    /// Starts a session on a new connection, and queues notifications of these departures.
    pub(crate) fn connect(&mut self, connection: u64, departures: Vec<ServerId>) {
        self.session = Some(OwnerSession::new(connection));
        self.unreported_departures = departures;
    }

    /// Drops the session if it is on this connection. Returns whether it dropped one.
    pub(crate) fn disconnect(&mut self, connection: u64) -> bool {
        self.session
            .take_if(|session| session.connection() == connection)
            .is_some()
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.session.is_some()
    }

    /// The session, if it is on this connection.
    pub(crate) fn session_on(&mut self, connection: u64) -> Option<&mut OwnerSession> {
        self.session
            .as_mut()
            .filter(|session| session.connection() == connection)
    }

    /// Makes the agent attach again on the same connection.
    pub(crate) fn restart_session(&mut self) {
        if let Some(session) = &mut self.session {
            session.restart();
        }
    }

    /// The owner's messages all of whose orders were in a response to the server.
    pub(crate) fn delivered(&self) -> MessageNumbers {
        self.session
            .as_ref()
            .map(OwnerSession::delivered)
            .unwrap_or_default()
    }

    /// Records that the orders of all accepted messages were in a response to the server.
    pub(crate) fn record_delivery(&mut self) {
        if let Some(session) = &mut self.session {
            session.record_delivery();
        }
    }

    /// After how many milliseconds the owner wants the next heartbeat; `None` if it has requested no interval.
    pub(crate) fn heartbeat_after_ms(&self) -> Option<u64> {
        self.session.as_ref()?.heartbeat_after_ms()
    }

    /// When the agent last sent anything; zero if it has sent nothing.
    pub(crate) fn last_sent(&self) -> Millis {
        self.last_sent.unwrap_or_default()
    }

    /// Queues the notification that an incarnation drained and deregistered.
    pub(crate) fn report_departure(&mut self, server: ServerId) {
        self.unreported_departures.push(server);
    }

    /// The messages that are due to the owner, in the order to send them.
    pub(crate) fn poll(
        &mut self,
        mut incarnation: Option<&mut Incarnation>,
        token: FencingToken,
        now: Millis,
    ) -> Vec<AgentMessage> {
        if !self.is_connected() {
            return Vec::new();
        }
        let mut messages = Vec::new();
        if let Some(incarnation) = incarnation.as_deref_mut() {
            messages.extend(self.poll_attach(incarnation, token, now));
        }
        let departures = std::mem::take(&mut self.unreported_departures);
        messages.extend(
            departures
                .into_iter()
                .map(|server| AgentMessage::Deregister { server }),
        );
        if let Some(incarnation) = incarnation {
            messages.extend(self.poll_report(incarnation, now));
        }
        if !messages.is_empty() {
            self.last_sent = Some(now);
        }
        messages
    }

    /// When [`OwnerLink::poll`] has something to send if nothing else happens; `None` if the server is overdue by then.
    pub(crate) fn next_poll(&self, incarnation: &Incarnation) -> Option<Millis> {
        let session = self.session.as_ref()?;
        let report = self
            .reports
            .next_due(incarnation.heartbeat(), incarnation.orders_delivered());
        let attach = session
            .attach_due()
            .map(|due| due.max(self.earliest_attach()));
        let due = if session.is_attached() {
            attach.map_or(report, |due| due.min(report))
        } else {
            attach?
        };
        (!incarnation.is_overdue(due)).then_some(due)
    }

    fn poll_attach(
        &mut self,
        incarnation: &mut Incarnation,
        token: FencingToken,
        now: Millis,
    ) -> Option<AgentMessage> {
        let earliest = self.earliest_attach();
        let session = self.session.as_mut()?;
        let due = session.needs_attach(now) && earliest <= now && !incarnation.is_overdue(now);
        if !due {
            return None;
        }
        incarnation.reset_orders_seen();
        session.record_attach(now);
        self.reports = ReportSchedule::default();
        self.reports
            .record_heartbeat(incarnation.heartbeat(), incarnation.orders_delivered(), now);
        Some(AgentMessage::Attach {
            facts: incarnation.facts().clone(),
            token,
            heartbeat: incarnation.heartbeat().clone(),
            sent_at: now,
        })
    }

    /// The earliest time for an attach. It is later than every earlier message, so that the `lease_from` in the owner's
    /// response identifies the attach that it answers.
    fn earliest_attach(&self) -> Millis {
        self.last_sent.map_or(Millis::default(), |at| at.plus(1))
    }

    fn poll_report(&mut self, incarnation: &Incarnation, now: Millis) -> Option<AgentMessage> {
        let attached = self.session.as_ref().is_some_and(OwnerSession::is_attached);
        if !attached || incarnation.is_overdue(now) {
            return None;
        }
        let heartbeat = incarnation.heartbeat();
        let orders_delivered = incarnation.orders_delivered();
        let reported = match self.reports.due(heartbeat, orders_delivered, now)? {
            ReportKind::Heartbeat => {
                self.reports
                    .record_heartbeat(heartbeat, orders_delivered, now);
                Some(heartbeat.clone())
            }
            ReportKind::NoChange => {
                self.reports.record_no_change(now);
                None
            }
        };
        Some(AgentMessage::Report {
            heartbeat: reported,
            sent_at: now,
        })
    }
}

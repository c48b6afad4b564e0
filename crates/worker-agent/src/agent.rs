//! The state machine of the agent.

use crate::heartbeat_response::{HeartbeatResponse, StopOrder};
use crate::incarnation::Incarnation;
use crate::incarnation_history::{CurrentIncarnation, HeartbeatStatus, IncarnationHistory};
use crate::owner_link::OwnerLink;
use crate::owner_message_error::OwnerMessageError;
use crate::owner_session::MessageNumbers;
use crate::pending_heartbeat::{HeartbeatOutcome, PendingHeartbeat};
use crate::server_heartbeat::{ServerHeartbeat, UnknownRun};
use crate::settings::AgentSettings;
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;

/// The agent on a server's machine. All times passed to it are readings of one monotonic clock and never decrease.
#[derive(Clone, Debug)]
pub struct Agent {
    settings: AgentSettings,
    /// The server's current incarnation, with its desired state and lease.
    incarnation: Option<Incarnation>,
    history: IncarnationHistory,
    /// The highest token under which orders were accepted.
    token: FencingToken,
    owner: OwnerLink,
}

impl Agent {
    /// An agent without a server and without an owner.
    pub fn new(settings: AgentSettings) -> Agent {
        Agent {
            settings,
            incarnation: None,
            history: IncarnationHistory::default(),
            token: FencingToken::default(),
            owner: OwnerLink::default(),
        }
    }

    /// The facts that the server's current incarnation reports about itself.
    pub fn server(&self) -> Option<&ServerFacts> {
        self.incarnation.as_ref().map(Incarnation::facts)
    }

    /// The highest token under which orders were accepted.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Receives a heartbeat that arrived at `now`. The newest heartbeat of the running server is left pending, so that the
    /// driver may delay its response until there are orders. A heartbeat that is late, repeated or from an earlier
    /// incarnation is answered without orders. So are the first heartbeats of an incarnation whose predecessor did not
    /// deregister.
    pub fn receive_heartbeat(
        &mut self,
        received: ServerHeartbeat,
        now: Millis,
    ) -> HeartbeatOutcome {
        let current = self
            .incarnation
            .as_ref()
            .map(|incarnation| CurrentIncarnation {
                newest: incarnation.heartbeat(),
                overdue: incarnation.is_overdue(now),
                is_replaceable: incarnation.is_replaceable(now),
            });
        match self.history.classify(&received.heartbeat, current) {
            HeartbeatStatus::Current => {
                HeartbeatOutcome::Pending(self.accept_current_heartbeat(received, now))
            }
            HeartbeatStatus::Unconfirmed => HeartbeatOutcome::Answered(HeartbeatResponse {
                heartbeat_after_ms: self.settings.busy_heartbeat_ms,
                ..HeartbeatResponse::default()
            }),
            HeartbeatStatus::Stale => HeartbeatOutcome::Answered(HeartbeatResponse::default()),
        }
    }

    /// Responds to the newest heartbeat with all orders that are outstanding at `now`.
    pub fn respond_to_heartbeat(
        &mut self,
        pending: &PendingHeartbeat,
        now: Millis,
    ) -> HeartbeatResponse {
        let response = self.build_response(pending);
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.expect_heartbeat(now, response.heartbeat_after_ms);
            incarnation.record_lease(pending.arrived_at, response.lease_ms);
        }
        response
    }

    /// Whether a response to the newest heartbeat would hold a start or a stop now.
    pub fn has_orders(&self, now: Millis) -> bool {
        let Some(incarnation) = &self.incarnation else {
            return false;
        };
        let lease_ms = incarnation.lease_ms(now, self.settings.lease_max_ms);
        let missing = incarnation.missing_starts(lease_ms);
        !missing.starts.is_empty() || incarnation.stops().next().is_some()
    }

    /// Handles a server's request to deregister.
    ///
    /// An incarnation that has drained ends now. An incarnation that deregisters without having drained continues to serve
    /// its runs: it counts as draining from now on, and ends when its lease expires. An incarnation that is unknown to this
    /// agent is treated as one that has not drained, since the agent may have restarted in between.
    pub fn deregister(&mut self, server: ServerId) {
        let current = self
            .incarnation
            .as_mut()
            .filter(|incarnation| *incarnation.id() == server);
        match current {
            Some(incarnation) if incarnation.ends_on_deregistration() => {
                self.end_incarnation();
                self.history.record_departed(&server);
                self.owner.report_departure(server);
            }
            Some(incarnation) => incarnation.deregister_without_draining(),
            None => self.history.record_deregistration_while_not_current(server),
        }
    }

    /// Starts a session on a connection to the owner. It replaces an earlier session; the desired state stays.
    pub fn owner_connected(&mut self, connection: u64) {
        let departures = self.history.departed().cloned().collect();
        self.owner.connect(connection, departures);
        self.reset_orders_seen();
    }

    /// Ends the session if it is on this connection; the desired state stays.
    pub fn owner_disconnected(&mut self, connection: u64) {
        if self.owner.disconnect(connection) {
            self.reset_orders_seen();
        }
    }

    /// Receives a message from an owner.
    ///
    /// # Errors
    ///
    /// Returns why the message was rejected. A rejected message changes nothing, except that the session restarts after
    /// [`OwnerMessageError::Gap`].
    pub fn receive_owner_message(
        &mut self,
        connection: u64,
        message: OwnerMessage,
    ) -> Result<(), OwnerMessageError> {
        let last_sent = self.owner.last_sent();
        let session = self
            .owner
            .session_on(connection)
            .ok_or(OwnerMessageError::OtherConnection)?;
        let incarnation = self
            .incarnation
            .as_mut()
            .filter(|incarnation| *incarnation.id() == message.server)
            .ok_or(OwnerMessageError::OtherIncarnation)?;
        if message.token < self.token {
            return Err(OwnerMessageError::LowerToken);
        }
        if let Err(error) = session.accept(&message) {
            if error == OwnerMessageError::Gap {
                session.restart();
                incarnation.reset_orders_seen();
            }
            return Err(error);
        }
        self.token = message.token;
        incarnation.apply(message, last_sent);
        Ok(())
    }

    /// Returns the messages to send to the owner on the session's connection. The driver calls it after every other call,
    /// and at [`Agent::next_poll`].
    pub fn poll(&mut self, now: Millis) -> Vec<AgentMessage> {
        self.owner.poll(self.incarnation.as_mut(), self.token, now)
    }

    /// When the driver has to call [`Agent::poll`] if nothing else happens.
    pub fn next_poll(&self) -> Option<Millis> {
        self.owner.next_poll(self.incarnation.as_ref()?)
    }

    fn accept_current_heartbeat(
        &mut self,
        received: ServerHeartbeat,
        now: Millis,
    ) -> PendingHeartbeat {
        let pending = PendingHeartbeat::new(&received, now);
        match self.server().filter(|known| known.id == received.facts.id) {
            None => self.end_incarnation(),
            Some(known) if *known != received.facts => self.owner.restart_session(),
            Some(_) => {}
        }
        let delivered = self.owner.delivered();
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.update(received, delivered, now);
        } else {
            self.begin_incarnation(received, delivered, now);
        }
        pending
    }

    fn begin_incarnation(
        &mut self,
        first: ServerHeartbeat,
        delivered: MessageNumbers,
        now: Millis,
    ) {
        let deregistered = self.history.deregistered_while_not_current(&first.facts.id);
        let mut incarnation = Incarnation::new(first, delivered, now);
        if deregistered {
            incarnation.deregister_without_draining();
        }
        self.incarnation = Some(incarnation);
    }

    /// Drops the current incarnation, if there is one, with its lease and desired state. A session is tied to one
    /// incarnation, so the agent has to attach again.
    fn end_incarnation(&mut self) {
        if let Some(incarnation) = self.incarnation.take() {
            self.history.record_past(incarnation.heartbeat());
        }
        self.owner.restart_session();
    }

    fn build_response(&mut self, pending: &PendingHeartbeat) -> HeartbeatResponse {
        let Some(incarnation) = &self.incarnation else {
            return HeartbeatResponse::default();
        };
        let lease_ms = incarnation.lease_ms(pending.arrived_at, self.settings.lease_max_ms);
        let missing = incarnation.missing_starts(lease_ms);
        let unknown = pending.unknown_runs.iter().map(stop_of_unknown_run);
        let stops: Vec<StopOrder> = incarnation.stops().chain(unknown).collect();
        let busy =
            !missing.starts.is_empty() || !stops.is_empty() || incarnation.has_unobserved_ends();
        // A draining server receives no starts, so its withheld starts count as delivered too.
        if incarnation.is_draining() || !missing.has_withheld {
            self.owner.record_delivery();
        }
        HeartbeatResponse {
            starts: missing.starts,
            stops,
            observed: incarnation.observed(),
            token: self.token,
            lease_ms: lease_ms.unwrap_or(0),
            heartbeat_after_ms: self.heartbeat_after_ms(busy),
        }
    }

    /// The interval to the next heartbeat. Without an owner there are no new orders, so a busy server gets no shorter one.
    fn heartbeat_after_ms(&self, busy: bool) -> u64 {
        let wanted = self
            .owner
            .heartbeat_after_ms()
            .unwrap_or(self.settings.idle_heartbeat_ms);
        let wanted = if busy && self.owner.is_connected() {
            wanted.min(self.settings.busy_heartbeat_ms)
        } else {
            wanted
        };
        wanted.min(self.settings.heartbeat_ms).max(1)
    }

    fn reset_orders_seen(&mut self) {
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.reset_orders_seen();
        }
    }
}

fn stop_of_unknown_run(run: &UnknownRun) -> StopOrder {
    StopOrder {
        task: run.task.clone(),
        attempt: run.attempt,
    }
}

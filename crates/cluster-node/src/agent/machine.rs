//! The agent's process as one state machine without I/O. Its inputs are frames, heartbeats and ticks; its outputs are
//! frames to send and answers to heartbeats.
//!
//! Its driver sends and receives the frames, serves HTTP to the server and passes in the table of live members. The
//! simulation of the control plane runs the same machine.

use crate::agent::view_source::ViewSource;
use crate::head_client::OutgoingFrame;
use crate::shard_owner::owner_address;
use crate::subscription::Subscription;
use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_worker_agent::{
    Agent, AgentSettings, HeartbeatOutcome, HeartbeatResponse, PendingHeartbeat, ServerHeartbeat,
};

/// Interval at which an agent renews its subscription to views, in milliseconds.
const SUBSCRIBE_INTERVAL_MS: u64 = 1_500;
/// Time without a frame from the owner after which the agent asks the head for a newer view, in milliseconds.
const VIEW_QUERY_INTERVAL_MS: u64 = 600;
/// Timeout without a frame from the owner after which the session with it is restarted, in milliseconds. The owner answers
/// every regular report; this is the time of several of them, so that a slow owner is not burdened with new sessions.
const SESSION_TIMEOUT_MS: u64 = 1_500;
/// How long the answer to a heartbeat that lists ended runs waits for new starts, in milliseconds.
const RESPONSE_DELAY_AFTER_ENDS_MS: u64 = 80;
/// How long the answer to an idle server waits for starts, in milliseconds.
const RESPONSE_DELAY_IDLE_MS: u64 = 300;

/// An action for the driver. `C` is the driver's handle for answering a heartbeat.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all effects are frames; a box would cost each an allocation"
)]
pub enum AgentEffect<C> {
    /// Sends a frame to a process, on its newest connection or a new one.
    Send(OutgoingFrame),
    /// Answers a heartbeat.
    Answer {
        /// The handle of the heartbeat.
        call: C,
        /// Its answer.
        answer: Box<HeartbeatResponse>,
    },
}

/// A heartbeat whose answer waits for orders.
#[derive(Debug)]
struct PendingResponse<C> {
    pending: PendingHeartbeat,
    call: C,
    due_at: Millis,
}

/// The state machine of an agent's process.
#[derive(Debug)]
pub struct AgentMachine<C> {
    view: View,
    subscription: Subscription,
    agent: Agent,
    service: Option<ServiceName>,
    owner: Option<PeerAddress>,
    owner_received_at: Millis,
    /// When the agent last asked the head for a newer view because the owner was silent.
    view_queried_at: Millis,
    session: u64,
    view_source: ViewSource,
    pending: Option<PendingResponse<C>>,
    effects: Vec<AgentEffect<C>>,
}

impl<C> AgentMachine<C> {
    /// Creates an agent that starts now, as this member. The settings may name the service of its server.
    pub fn new(
        own: LiveMember,
        seeds: Vec<PeerAddress>,
        service: Option<ServiceName>,
        settings: AgentSettings,
        now: Millis,
    ) -> AgentMachine<C> {
        AgentMachine {
            view: View::default(),
            subscription: Subscription::new(seeds, SUBSCRIBE_INTERVAL_MS, now),
            agent: Agent::new(settings),
            service,
            owner: None,
            owner_received_at: now,
            view_queried_at: now,
            session: 0,
            view_source: ViewSource::new(own.address, own.zone),
            pending: None,
            effects: Vec::new(),
        }
    }

    /// The newest known view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The agent's session and server state.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// The service of its server.
    pub fn service(&self) -> Option<&ServiceName> {
        self.service.as_ref()
    }

    /// The owner of the service's shard in the newest known view.
    pub fn owner(&self) -> Option<PeerAddress> {
        self.owner
    }

    /// When the last frame from the owner was received, or the session with it began.
    pub fn owner_received_at(&self) -> Millis {
        self.owner_received_at
    }

    /// When the pending heartbeat must be answered; none if no heartbeat is pending.
    pub fn response_due_at(&self) -> Option<Millis> {
        self.pending.as_ref().map(|pending| pending.due_at)
    }

    /// Replaces the seeds at which core processes may be found.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.subscription.set_seeds(seeds);
    }

    /// Handles a received frame.
    pub fn on_frame(
        &mut self,
        from: PeerAddress,
        frame: Frame,
        now: Millis,
    ) -> Vec<AgentEffect<C>> {
        match frame {
            Frame::Owner(message) if Some(from) == self.owner => {
                self.on_owner_message(message, now);
            }
            Frame::ViewUpdate(view) => self.on_view(view, now),
            _ => {}
        }
        self.take_effects()
    }

    fn on_owner_message(&mut self, message: OwnerMessage, now: Millis) {
        self.owner_received_at = now;
        self.subscription.received_update(now);
        if let Err(refused) = self.agent.receive_owner_message(self.session, message) {
            spdlog::debug!("an order was refused: {refused}");
        }
        self.respond_if_due(now);
    }

    fn on_view(&mut self, view: View, now: Millis) {
        self.subscription.received_update(now);
        if view.number <= self.view.number {
            return;
        }
        self.view = view;
        self.find_owner(now);
    }

    fn find_owner(&mut self, now: Millis) {
        let owner = self
            .service
            .as_ref()
            .and_then(|service| owner_address(&self.view, service));
        if owner != self.owner {
            self.owner = owner;
            self.begin_session(now);
        }
    }

    fn begin_session(&mut self, now: Millis) {
        self.session += 1;
        self.owner_received_at = now;
        self.agent.owner_connected(self.session);
        self.send_to_owner(now);
    }

    /// Handles the end of a connection.
    pub fn on_closed(&mut self, from: PeerAddress, now: Millis) -> Vec<AgentEffect<C>> {
        if Some(from) == self.owner {
            self.begin_session(now);
            self.subscription.make_due();
        }
        if self.view_source.closed(from, now) {
            self.subscription.make_due();
        }
        self.take_effects()
    }

    /// Handles a heartbeat of the server.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: ServerHeartbeat,
        call: C,
        now: Millis,
    ) -> Vec<AgentEffect<C>> {
        if self.service.as_ref() != Some(&heartbeat.facts.service) {
            self.service = Some(heartbeat.facts.service.clone());
            self.find_owner(now);
        }
        self.respond(now);
        self.take_heartbeat(heartbeat, call, now);
        self.send_to_owner(now);
        self.take_effects()
    }

    /// Handles the deregistration of the server.
    pub fn on_deregister(&mut self, server: ServerId, now: Millis) -> Vec<AgentEffect<C>> {
        self.agent.deregister(server);
        self.send_to_owner(now);
        self.take_effects()
    }

    /// Answers the pending heartbeat if its answer is due.
    pub fn on_response_due(&mut self, now: Millis) -> Vec<AgentEffect<C>> {
        self.respond_if_due(now);
        self.take_effects()
    }

    /// Handles a tick of the timer. The table of live members is a hint and may be wrong.
    pub fn on_tick(&mut self, table: &LiveTable, now: Millis) -> Vec<AgentEffect<C>> {
        self.check_owner(now);
        self.send_to_owner(now);
        self.subscribe(table, now);
        self.take_effects()
    }

    /// Looks for a newer view if the owner is silent, and restarts the session if it stays so.
    fn check_owner(&mut self, now: Millis) {
        if self.owner.is_none() {
            return;
        }
        let last_sign = self.owner_received_at.max(self.view_queried_at);
        if now.since(last_sign) >= VIEW_QUERY_INTERVAL_MS {
            self.view_queried_at = now;
            self.view_source.prefer_head(now);
            self.subscription.make_due();
        }
        if now.since(self.owner_received_at) >= SESSION_TIMEOUT_MS {
            self.begin_session(now);
        }
    }

    fn subscribe(&mut self, table: &LiveTable, now: Millis) {
        let due = self
            .subscription
            .tick(&self.view, Interest::Views, table, now);
        if let Some(subscribe) = due {
            let head = self.view.head().and_then(|disk| self.view.address(disk));
            let to = self.view_source.choose(subscribe.to, head, table, now);
            self.effects.push(AgentEffect::Send(OutgoingFrame {
                to,
                frame: subscribe.frame,
            }));
        }
    }

    /// Handles a heartbeat. Its answer is delayed if orders are likely to arrive soon.
    fn take_heartbeat(&mut self, heartbeat: ServerHeartbeat, call: C, now: Millis) {
        let pending = match self.agent.receive_heartbeat(heartbeat, now) {
            HeartbeatOutcome::Pending(pending) => pending,
            HeartbeatOutcome::Answered(answer) => return self.answer(call, answer),
        };
        let wait_ms = match (pending.lists_ends, pending.idle) {
            (true, _) => RESPONSE_DELAY_AFTER_ENDS_MS,
            (_, true) => RESPONSE_DELAY_IDLE_MS,
            _ => 0,
        };
        self.pending = Some(PendingResponse {
            pending,
            call,
            due_at: now.plus(wait_ms),
        });
        self.respond_if_due(now);
    }

    /// Answers the pending heartbeat if there are orders for the server, or if its answer is due.
    fn respond_if_due(&mut self, now: Millis) {
        let may_wait = self
            .pending
            .as_ref()
            .is_some_and(|pending| now < pending.due_at);
        if may_wait && !self.agent.has_orders(now) {
            return;
        }
        self.respond(now);
    }

    fn respond(&mut self, now: Millis) {
        if let Some(PendingResponse { pending, call, .. }) = self.pending.take() {
            let answer = self.agent.respond_to_heartbeat(&pending, now);
            self.answer(call, answer);
        }
    }

    fn answer(&mut self, call: C, answer: HeartbeatResponse) {
        self.effects.push(AgentEffect::Answer {
            call,
            answer: Box::new(answer),
        });
    }

    fn send_to_owner(&mut self, now: Millis) {
        let Some(to) = self.owner else { return };
        let messages = self.agent.poll(now).into_iter();
        let send = |message| {
            AgentEffect::Send(OutgoingFrame {
                to,
                frame: Frame::Agent(message),
            })
        };
        self.effects.extend(messages.map(send));
    }

    fn take_effects(&mut self) -> Vec<AgentEffect<C>> {
        std::mem::take(&mut self.effects)
    }
}

//! The agent's process as one state machine without I/O: frames, heartbeats and ticks come in; frames to send and
//! answers to heartbeats go out.
//!
//! Its driver carries the frames, serves HTTP to the server and passes in the table of live members. The simulation of
//! the control plane runs the same machine.

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

/// Interval between two subscriptions to views, in milliseconds.
const SUBSCRIBE_MS: u64 = 1_500;
/// Time without a frame from the owner after which the session with it is restarted, in milliseconds.
const OWNER_TIMEOUT_MS: u64 = 600;
/// How long the answer to a heartbeat that lists ends waits for what takes their place, in milliseconds.
const RESPONSE_DELAY_AFTER_ENDS_MS: u64 = 80;
/// How long the answer to a server on which nothing runs waits for work, in milliseconds.
const RESPONSE_DELAY_IDLE_MS: u64 = 300;

/// What the driver is to do. `C` is the driver's own handle of a heartbeat, by which it is answered.
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
        /// The heartbeat.
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
    until: Millis,
}

/// The process of an agent.
#[derive(Debug)]
pub struct AgentMachine<C> {
    view: View,
    subscription: Subscription,
    agent: Agent,
    service: Option<ServiceName>,
    owner: Option<PeerAddress>,
    owner_received_at: Millis,
    session: u64,
    view_source: ViewSource,
    pending: Option<PendingResponse<C>>,
    effects: Vec<AgentEffect<C>>,
}

impl<C> AgentMachine<C> {
    /// An agent that starts now, as this member. The service of its server may be known beforehand.
    pub fn new(
        own: LiveMember,
        seeds: Vec<PeerAddress>,
        service: Option<ServiceName>,
        settings: AgentSettings,
        now: Millis,
    ) -> AgentMachine<C> {
        AgentMachine {
            view: View::default(),
            subscription: Subscription::new(seeds, SUBSCRIBE_MS, now),
            agent: Agent::new(settings),
            service,
            owner: None,
            owner_received_at: now,
            session: 0,
            view_source: ViewSource::new(own.address, own.zone),
            pending: None,
            effects: Vec::new(),
        }
    }

    /// The newest view that it knows.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The agent itself.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// The service of its server.
    pub fn service(&self) -> Option<&ServiceName> {
        self.service.as_ref()
    }

    /// The process that owns the service's shard, as far as it knows.
    pub fn owner(&self) -> Option<PeerAddress> {
        self.owner
    }

    /// When a frame of the owner was received last, or a session with it began.
    pub fn owner_received_at(&self) -> Millis {
        self.owner_received_at
    }

    /// When the open heartbeat has waited for long enough; none without an open one.
    pub fn response_due_at(&self) -> Option<Millis> {
        self.pending.as_ref().map(|pending| pending.until)
    }

    /// Replaces the seeds by which core processes are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.subscription.set_seeds(seeds);
    }

    /// A frame came.
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

    /// A connection ended.
    pub fn on_closed(&mut self, from: PeerAddress, now: Millis) -> Vec<AgentEffect<C>> {
        if Some(from) == self.owner {
            self.begin_session(now);
            self.subscription.hurry();
        }
        if self.view_source.closed(from, now) {
            self.subscription.hurry();
        }
        self.take_effects()
    }

    /// A heartbeat of the server came.
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

    /// The server has left in order.
    pub fn on_deregister(&mut self, server: ServerId, now: Millis) -> Vec<AgentEffect<C>> {
        self.agent.deregister(server);
        self.send_to_owner(now);
        self.take_effects()
    }

    /// The open heartbeat may have waited for long enough.
    pub fn on_response_due(&mut self, now: Millis) -> Vec<AgentEffect<C>> {
        self.respond_if_due(now);
        self.take_effects()
    }

    /// Time has passed. The table of live members may be wrong.
    pub fn on_tick(&mut self, table: &LiveTable, now: Millis) -> Vec<AgentEffect<C>> {
        let timed_out =
            self.owner.is_some() && now.since(self.owner_received_at) >= OWNER_TIMEOUT_MS;
        if timed_out {
            self.view_source.doubt(now);
            self.subscription.hurry();
            self.begin_session(now);
        }
        self.send_to_owner(now);
        self.subscribe(table, now);
        self.take_effects()
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

    /// Takes a heartbeat. Its answer waits a moment where orders are likely to come.
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
            until: now.plus(wait_ms),
        });
        self.respond_if_due(now);
    }

    /// Answers the open heartbeat if there are orders, or if it has waited for long enough.
    fn respond_if_due(&mut self, now: Millis) {
        let waits = self.pending.as_ref().is_some_and(|call| now < call.until);
        if waits && !self.agent.has_orders(now) {
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

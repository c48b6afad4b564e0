//! The process beside a server, without its sockets: the glue of the real one around the same state machines.

use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::{Frame, Interest};
use lupinrack_cluster_node::head_client::Outgoing;
use lupinrack_cluster_node::owner::owner_address;
use lupinrack_cluster_node::subscription::Subscription;
use lupinrack_worker_agent::{
    Agent, AgentSettings, HeartbeatAnswer, HeartbeatReceipt, OpenHeartbeat, ServerHeartbeat,
};

/// Between two subscriptions to views, in milliseconds.
const SUBSCRIBE_MS: u64 = 1_500;
/// An owner that says nothing for this long after it was told of the server is told again, in milliseconds.
const OWNER_SILENT_MS: u64 = 600;
/// How long the answer to a heartbeat that lists ends waits for what takes their place, in milliseconds.
const WAIT_AFTER_ENDS_MS: u64 = 80;
/// How long the answer to a server on which nothing runs waits for work, in milliseconds.
const WAIT_IDLE_MS: u64 = 300;

/// A heartbeat of the server, as it is known again in the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatCall {
    /// The server's life.
    pub server: ServerId,
    /// When the server sent it.
    pub sent_at: u64,
    /// The highest number of an end that it lists; 0 without any.
    pub highest_end: u64,
}

/// An answer to a heartbeat.
#[derive(Debug)]
pub struct SideAnswer {
    /// The heartbeat.
    pub call: HeartbeatCall,
    /// Its answer.
    pub answer: HeartbeatAnswer,
}

/// A heartbeat whose answer waits for orders.
#[derive(Debug)]
struct OpenCall {
    open: OpenHeartbeat,
    call: HeartbeatCall,
    until: Millis,
}

/// The process of an agent.
#[derive(Debug)]
pub struct Side {
    view: View,
    subscription: Subscription,
    agent: Agent,
    service: Option<ServiceName>,
    owner: Option<PeerAddress>,
    owner_heard: Millis,
    session: u64,
    open: Option<OpenCall>,
    has_ended: bool,
    /// Answers that are to be sent.
    answers: Vec<SideAnswer>,
}

impl Side {
    /// One that begins now.
    pub fn new(seeds: Vec<PeerAddress>, settings: AgentSettings, now: Millis) -> Side {
        Side {
            view: View::default(),
            subscription: Subscription::new(seeds, SUBSCRIBE_MS, now),
            agent: Agent::new(settings, now),
            service: None,
            owner: None,
            owner_heard: now,
            session: 0,
            open: None,
            has_ended: false,
            answers: Vec::new(),
        }
    }

    /// A frame came.
    pub fn on_frame(&mut self, from: PeerAddress, frame: Frame, now: Millis) -> Vec<Outgoing> {
        match frame {
            Frame::Owner(message) if Some(from) == self.owner => {
                self.owner_heard = now;
                self.subscription.heard_news(now);
                // A refused order is asked for again by the agent.
                let _ = self.agent.owner_message(self.session, message, now);
                self.answer_if_due(now);
                Vec::new()
            }
            Frame::ViewNews(view) => self.on_view(view, now),
            _ => Vec::new(),
        }
    }

    fn on_view(&mut self, view: View, now: Millis) -> Vec<Outgoing> {
        self.subscription.heard_news(now);
        if view.number <= self.view.number {
            return Vec::new();
        }
        self.view = view;
        self.find_owner(now)
    }

    fn find_owner(&mut self, now: Millis) -> Vec<Outgoing> {
        let owner = self.service.as_ref().and_then(|service| owner_address(&self.view, service));
        if owner == self.owner {
            return Vec::new();
        }
        self.owner = owner;
        self.begin_session(now)
    }

    fn begin_session(&mut self, now: Millis) -> Vec<Outgoing> {
        self.session += 1;
        self.owner_heard = now;
        self.agent.owner_connected(self.session);
        self.poll_agent(now)
    }

    /// A connection ended.
    pub fn on_closed(&mut self, from: PeerAddress, now: Millis) -> Vec<Outgoing> {
        if Some(from) != self.owner {
            return Vec::new();
        }
        self.subscription.hurry();
        self.begin_session(now)
    }

    /// A heartbeat of the server came.
    pub fn on_heartbeat(&mut self, beat: ServerHeartbeat, sent_at: u64, now: Millis) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if self.service.as_ref() != Some(&beat.facts.service) {
            self.service = Some(beat.facts.service.clone());
            outgoing.extend(self.find_owner(now));
        }
        self.answer_open(now);
        self.take_heartbeat(beat, sent_at, now);
        outgoing.extend(self.poll_agent(now));
        outgoing
    }

    /// The open heartbeat has waited for long enough.
    pub fn on_answer_due(&mut self, now: Millis) -> Vec<Outgoing> {
        self.answer_if_due(now);
        Vec::new()
    }

    /// The answers that are due since the last call.
    pub fn take_answers(&mut self) -> Vec<SideAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Takes a heartbeat. Its answer waits a moment where orders are likely to come.
    fn take_heartbeat(&mut self, beat: ServerHeartbeat, sent_at: u64, now: Millis) {
        let call = HeartbeatCall {
            server: beat.facts.id.clone(),
            sent_at,
            highest_end: beat.heartbeat.finished.iter().map(|end| end.number).max().unwrap_or(0),
        };
        let open = match self.agent.receive_heartbeat(beat, now) {
            HeartbeatReceipt::Open(open) => open,
            HeartbeatReceipt::Answer(answer) => return self.answers.push(SideAnswer { call, answer }),
        };
        let wait_ms = match (open.ends, open.idle) {
            (true, _) => WAIT_AFTER_ENDS_MS,
            (_, true) => WAIT_IDLE_MS,
            _ => 0,
        };
        self.open = Some(OpenCall { open, call, until: now.plus(wait_ms) });
        self.answer_if_due(now);
    }

    /// Answers the open heartbeat if there are orders, or if it has waited for long enough.
    fn answer_if_due(&mut self, now: Millis) {
        let waits = self.open.as_ref().is_some_and(|open| now < open.until);
        if waits && !self.agent.has_orders(now) {
            return;
        }
        self.answer_open(now);
    }

    fn answer_open(&mut self, now: Millis) {
        if let Some(OpenCall { open, call, .. }) = self.open.take() {
            let answer = self.agent.answer_heartbeat(&open, now);
            self.answers.push(SideAnswer { call, answer });
        }
    }

    /// Whether the open heartbeat has waited for long enough.
    pub fn is_answer_due(&self, now: Millis) -> bool {
        self.open.as_ref().is_some_and(|open| now >= open.until)
    }

    /// The server has left in order.
    pub fn on_leave(&mut self, server: ServerId, now: Millis) -> Vec<Outgoing> {
        self.agent.leave(server, now);
        self.poll_agent(now)
    }

    /// It is told to end, and does so at once.
    pub fn on_terminate(&mut self) -> Vec<Outgoing> {
        self.has_ended = true;
        Vec::new()
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if self.owner.is_some() && now.since(self.owner_heard) >= OWNER_SILENT_MS {
            outgoing.extend(self.begin_session(now));
        }
        outgoing.extend(self.poll_agent(now));
        outgoing.extend(self.subscription.tick(&self.view, Interest::Views, now));
        outgoing
    }

    fn poll_agent(&mut self, now: Millis) -> Vec<Outgoing> {
        let Some(to) = self.owner else { return Vec::new() };
        let messages = self.agent.poll(now);
        messages.into_iter().map(|message| Outgoing { to, frame: Frame::Agent(message) }).collect()
    }
}

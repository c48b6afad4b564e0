//! The process beside a server, without its sockets: the glue of the real one around the same state machines.

use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::Frame;
use lupinrack_cluster_node::core::VIEWS_ONLY;
use lupinrack_cluster_node::head_client::Outgoing;
use lupinrack_cluster_node::owner::owner_address;
use lupinrack_cluster_node::subscription::Subscription;
use lupinrack_worker_agent::{Agent, AgentSettings, HeartbeatAnswer, ServerHeartbeat};

/// Between two subscriptions to views, in milliseconds.
const SUBSCRIBE_MS: u64 = 1_500;
/// An owner that says nothing for this long after it was told of the server is told again, in milliseconds.
const OWNER_SILENT_MS: u64 = 600;

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
    pub fn on_heartbeat(&mut self, beat: ServerHeartbeat, now: Millis) -> (HeartbeatAnswer, Vec<Outgoing>) {
        let mut outgoing = Vec::new();
        if self.service.as_ref() != Some(&beat.facts.service) {
            self.service = Some(beat.facts.service.clone());
            outgoing.extend(self.find_owner(now));
        }
        let answer = self.agent.heartbeat(beat, now);
        outgoing.extend(self.poll_agent(now));
        (answer, outgoing)
    }

    /// The server has left in order.
    pub fn on_leave(&mut self, server: ServerId, now: Millis) -> Vec<Outgoing> {
        self.agent.leave(server, now);
        self.poll_agent(now)
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if self.owner.is_some() && now.since(self.owner_heard) >= OWNER_SILENT_MS {
            outgoing.extend(self.begin_session(now));
        }
        outgoing.extend(self.poll_agent(now));
        outgoing.extend(self.subscription.tick(&self.view, VIEWS_ONLY, now));
        outgoing
    }

    fn poll_agent(&mut self, now: Millis) -> Vec<Outgoing> {
        let Some(to) = self.owner else { return Vec::new() };
        let messages = self.agent.poll(now);
        messages.into_iter().map(|message| Outgoing { to, frame: Frame::Agent(message) }).collect()
    }
}

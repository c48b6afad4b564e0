//! A front, without its sockets: the glue of the real one around the same state machines.

use crate::plan::GRACE_MS;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::{Frame, Interest};
use lupinrack_cluster_node::control_api::ControlCall;
use lupinrack_cluster_node::head_client::{HeadClient, Outgoing};
use lupinrack_cluster_node::known_configuration::{ConfigurationNews, KnownConfiguration};
use lupinrack_cluster_node::subscription::Subscription;

/// The front subscribes again at least so often, in milliseconds.
const SUBSCRIBE_MS: u64 = 400;
/// A configuration that was not confirmed for this long says nothing on what does not exist, in milliseconds.
const FRESH_MS: u64 = 900;
/// A front that was not confirmed for this long is not ready, in milliseconds.
const READY_MS: u64 = 2_500;

/// A process that is told to end goes on taking calls for this part of its grace, in hundredths.
const SERVE_ON_PERCENT: u64 = 55;
/// It has ended before this part of its grace is over, in hundredths.
const END_PERCENT: u64 = 85;

/// The process of a front.
#[derive(Debug)]
pub struct Front {
    client: HeadClient,
    subscription: Subscription,
    known: KnownConfiguration,
    ending_since: Option<Millis>,
}

impl Front {
    /// One that begins now.
    pub fn new(seeds: Vec<PeerAddress>, life: u64, now: Millis) -> Front {
        Front {
            client: HeadClient::new(life),
            subscription: Subscription::new(seeds, SUBSCRIBE_MS, now),
            known: KnownConfiguration::default(),
            ending_since: None,
        }
    }

    /// Whether it takes new connections.
    pub fn is_ready(&self, now: Millis) -> bool {
        let confirmed = now.since(self.known.confirmed_at) < READY_MS;
        self.ending_since.is_none() && self.known.configuration.version > 0 && confirmed
    }

    /// The newest view that it knows.
    pub fn view(&self) -> &View {
        self.client.view()
    }

    /// It is told to end, and serves on for a part of its grace.
    pub fn on_terminate(&mut self, now: Millis) -> Vec<Outgoing> {
        self.ending_since.get_or_insert(now);
        Vec::new()
    }

    /// Whether the process, told to end, has ended.
    pub fn has_ended(&self, now: Millis) -> bool {
        let Some(waited) = self.ending_since.map(|since| now.since(since)) else { return false };
        let served_on = waited >= GRACE_MS * SERVE_ON_PERCENT / 100;
        (served_on && self.client.is_idle()) || waited >= GRACE_MS * END_PERCENT / 100
    }

    /// A frame came.
    pub fn on_frame(&mut self, from: PeerAddress, frame: Frame, now: Millis) -> Vec<Outgoing> {
        match frame {
            Frame::Reply { id, reply } => self.client.answered(from, id, reply, now),
            Frame::ViewNews(view) => {
                if view.number > self.client.view().number {
                    self.subscription.hurry();
                }
                self.client.learn(&view, now)
            }
            Frame::ConfigurationNews { asked_at, age_ms, version, configuration } => {
                let news = ConfigurationNews { asked_at, age_ms, version, configuration };
                let (held_at, is_vouched_for) = (news.held_at(), news.is_vouched_for());
                let learned = self.known.learn(news);
                if learned.fresher {
                    self.subscription.heard_news(held_at);
                }
                if learned.newer && !is_vouched_for {
                    self.subscription.hurry();
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// A connection ended.
    pub fn on_closed(&mut self, from: PeerAddress, now: Millis) -> Vec<Outgoing> {
        self.subscription.hurry();
        self.client.closed(from, now)
    }

    /// A client's call; answered at once where the queue is known not to exist.
    pub fn on_call(&mut self, call: ControlCall, now: Millis) -> Vec<Outgoing> {
        let known = target_of(&call.request)
            .is_none_or(|target| self.known.configuration.route(&target.host, &target.path).is_some());
        let fresh = self.known.configuration.version > 0 && now.since(self.known.confirmed_at) < FRESH_MS;
        if !known && fresh {
            // A client that has gone needs no answer.
            let _ = call.answerer.send(Reply::Error(ErrorKind::UnknownQueue));
            return Vec::new();
        }
        let until = now.plus(call.remaining_ms);
        self.client.call(call.request, call.answerer, until, now)
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut outgoing = self.client.tick(now);
        let interest = Interest::Configuration { have: self.known.configuration.version };
        outgoing.extend(self.subscription.tick(self.client.view(), interest, now));
        outgoing
    }
}

fn target_of(request: &Request) -> Option<&Target> {
    match request {
        Request::SubmitJob { target, .. }
        | Request::ReadJob { target, .. }
        | Request::CancelJob { target, .. }
        | Request::ReadQueue { target } => Some(target),
        _ => None,
    }
}

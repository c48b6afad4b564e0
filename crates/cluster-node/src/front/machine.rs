//! A front as one state machine without I/O: frames, calls and ticks come in, frames to send go out.
//!
//! Its driver carries the frames, serves HTTP and passes in the table of live members. The simulation of the control
//! plane runs the same machine.

use crate::control_api::HeadCall;
use crate::front::configuration_feed::ConfigurationFeed;
use crate::front::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use crate::front::update_relay::SubscriberFrame;
use crate::head_client::{HeadClient, OutgoingFrame};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::{LiveMember, LiveTable};

/// A front that was not confirmed for this long is not ready, in milliseconds.
pub const READY_MS: u64 = 2_500;
/// After a signal to terminate a front goes on accepting calls for this part of its grace period, in percent.
pub const SERVE_ON_PERCENT: u64 = 55;
/// A front has ended before this part of its grace period is over, in percent.
pub const END_PERCENT: u64 = 85;

/// What the driver is to do.
#[derive(Debug)]
pub enum FrontEffect {
    /// Sends a frame to a process, on its newest connection or a new one.
    Send(OutgoingFrame),
    /// Sends a frame on this very connection, if it is still there.
    SendOn(SubscriberFrame),
}

/// A front.
#[derive(Debug)]
pub struct FrontMachine {
    client: HeadClient,
    feed: ConfigurationFeed,
}

impl FrontMachine {
    /// A front that starts now, as this member.
    pub fn new(own: LiveMember, seeds: Vec<PeerAddress>, now: Millis) -> FrontMachine {
        let LiveMember {
            address,
            zone,
            process_incarnation: incarnation,
            ..
        } = own;
        FrontMachine {
            client: HeadClient::new(incarnation),
            feed: ConfigurationFeed::new(address, zone, seeds, now),
        }
    }

    /// The newest view that it knows.
    pub fn view(&self) -> &View {
        self.client.view()
    }

    /// Replaces the seeds by which core processes are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.feed.set_seeds(seeds);
    }

    /// The configuration as it is known.
    pub fn known(&self) -> &KnownConfiguration {
        self.feed.known()
    }

    /// Whether no call to the head is open.
    pub fn is_idle(&self) -> bool {
        self.client.is_idle()
    }

    /// How many answers came that belong to no open call.
    pub fn unmatched_replies(&self) -> u64 {
        self.client.unmatched_replies()
    }

    /// A frame came.
    pub fn on_frame(
        &mut self,
        from: PeerAddress,
        connection: u64,
        frame: Frame,
        now: Millis,
    ) -> Vec<FrontEffect> {
        match frame {
            Frame::Reply { id, reply } => sends(self.client.receive_reply(from, id, reply, now)),
            Frame::ViewUpdate(view) => self.on_view(&view, now),
            Frame::ConfigurationUpdate {
                requested_at,
                age_ms,
                version,
                configuration,
            } => {
                let update = ConfigurationUpdate {
                    requested_at,
                    age_ms,
                    version,
                    configuration,
                };
                relays(self.feed.receive(from, update, self.client.view(), now))
            }
            Frame::Subscribe {
                interest,
                requested_at,
            } => {
                let view = self.client.view();
                relays(
                    self.feed
                        .subscribed(connection, interest, requested_at, view, now),
                )
            }
            _ => Vec::new(),
        }
    }

    fn on_view(&mut self, view: &View, now: Millis) -> Vec<FrontEffect> {
        if view.number <= self.client.view().number {
            return Vec::new();
        }
        let mut effects = sends(self.client.learn_view(view, now));
        effects.extend(relays(self.feed.view_changed(view)));
        effects
    }

    /// A connection ended.
    pub fn on_closed(
        &mut self,
        from: PeerAddress,
        connection: u64,
        now: Millis,
    ) -> Vec<FrontEffect> {
        self.feed.closed(from, connection, now);
        sends(self.client.disconnected(from, now))
    }

    /// A client's call that the head is to answer.
    pub fn on_call(&mut self, call: HeadCall, now: Millis) -> Vec<FrontEffect> {
        let until = now.plus(call.remaining_ms);
        sends(self.client.call(call.request, call.reply_to, until, now))
    }

    /// Time has passed. The table of live members may be wrong.
    pub fn on_tick(&mut self, table: &LiveTable, now: Millis) -> Vec<FrontEffect> {
        let mut effects = sends(self.client.tick(now));
        effects.extend(
            self.feed
                .tick(table, self.client.view(), now)
                .map(FrontEffect::Send),
        );
        effects
    }
}

fn sends(outgoing: Vec<OutgoingFrame>) -> Vec<FrontEffect> {
    outgoing.into_iter().map(FrontEffect::Send).collect()
}

fn relays(frames: Vec<SubscriberFrame>) -> Vec<FrontEffect> {
    frames.into_iter().map(FrontEffect::SendOn).collect()
}

//! A front as one state machine without I/O. Its inputs are frames, calls and ticks; its outputs are frames to send.
//!
//! Its driver sends and receives the frames, serves HTTP and passes in the table of live members. The simulation of the
//! control plane runs the same machine.

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

/// A front is ready for this long after its configuration was last confirmed, in milliseconds.
pub const READY_TIMEOUT_MS: u64 = 2_500;
/// Part of the grace period for which a front accepts calls after a signal to terminate, in percent.
pub const ACCEPT_CALLS_PERCENT: u64 = 55;
/// Part of the grace period after which a front exits at the latest, in percent.
pub const EXIT_PERCENT: u64 = 85;

/// An action for the driver.
#[derive(Debug)]
pub enum FrontEffect {
    /// Sends a frame to a process, on its newest connection or a new one.
    Send(OutgoingFrame),
    /// Sends a frame on this connection, if it is still open. No other connection is used.
    SendOn(SubscriberFrame),
}

/// The state machine of a front.
#[derive(Debug)]
pub struct FrontMachine {
    client: HeadClient,
    feed: ConfigurationFeed,
}

impl FrontMachine {
    /// Creates a front that starts now, as this member.
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

    /// The newest known view.
    pub fn view(&self) -> &View {
        self.client.view()
    }

    /// Replaces the seeds at which core processes may be found.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.feed.set_seeds(seeds);
    }

    /// The configuration as this front knows it.
    pub fn known(&self) -> &KnownConfiguration {
        self.feed.known()
    }

    /// Whether no call to the head is open.
    pub fn is_idle(&self) -> bool {
        self.client.is_idle()
    }

    /// Number of received replies that match no open call.
    pub fn unmatched_replies(&self) -> u64 {
        self.client.unmatched_replies()
    }

    /// Handles a received frame.
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

    /// Handles the end of a connection.
    pub fn on_closed(
        &mut self,
        from: PeerAddress,
        connection: u64,
        now: Millis,
    ) -> Vec<FrontEffect> {
        self.feed.closed(from, connection, now);
        sends(self.client.disconnected(from, now))
    }

    /// Handles a client's call that the head has to answer.
    pub fn on_call(&mut self, call: HeadCall, now: Millis) -> Vec<FrontEffect> {
        let deadline = now.plus(call.remaining_ms);
        sends(self.client.call(call.request, call.reply_to, deadline, now))
    }

    /// Handles a tick of the timer. The table of live members is a hint and may be wrong.
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

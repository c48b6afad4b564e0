//! The server's current incarnation.

use crate::desired_state::{DesiredState, MissingStarts, StartPermission};
use crate::heartbeat_response::StopOrder;
use crate::lease::Lease;
use crate::owner_session::MessageNumbers;
use crate::server_heartbeat::ServerHeartbeat;
use lupinrack_cluster_api::agent::{Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;

/// The largest number of ends in one heartbeat. A list of that length may be cut off, so a run that it lacks may still have
/// ended.
pub const MAX_LISTED_ENDS: usize = 500;

/// A server is overdue if its next heartbeat arrives more than this many milliseconds after the requested interval.
pub const HEARTBEAT_GRACE_MS: u64 = 600;

/// The longest delay of a heartbeat, in milliseconds.
pub const MAX_HEARTBEAT_DELAY_MS: u64 = 10_000;

/// The server's clock may be slow by one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// The server's progress in draining. It never returns to an earlier state, even if a later heartbeat does not report
/// draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    /// It takes new runs.
    Serving,
    /// It has reported that it drains; it ends when it deregisters.
    Draining,
    /// It has deregistered without having reported that it drains: it counts as draining, and serves until its lease
    /// expires.
    DeregisteredWithoutDraining,
}

/// The agent's state of the server's current incarnation; it is dropped when the incarnation ends.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    facts: ServerFacts,
    /// The newest heartbeat, with the `orders_seen` and `draining` that the agent reports to the owner.
    heartbeat: Heartbeat,
    /// The number of the owner's newest message with orders that the heartbeat's `orders_seen` covers.
    orders_delivered: u64,
    /// Whether the heartbeat lists every end that the owner has not observed (see [`MAX_LISTED_ENDS`]).
    all_ends_listed: bool,
    drain_state: DrainState,
    /// The owner has recorded the ends up to this number.
    observed: u64,
    /// When its first heartbeat arrived.
    first_heartbeat_at: Millis,
    /// The server's runs may go on until then under the leases of the responses.
    held_until: Millis,
    /// The next heartbeat is overdue after this time.
    expected_by: Millis,
    lease: Lease,
    desired: DesiredState,
}

impl Incarnation {
    /// Creates an incarnation from its first heartbeat.
    pub(crate) fn new(
        first: ServerHeartbeat,
        delivered: MessageNumbers,
        now: Millis,
    ) -> Incarnation {
        let mut incarnation = Incarnation {
            facts: first.facts.clone(),
            heartbeat: first.heartbeat.clone(),
            orders_delivered: 0,
            all_ends_listed: false,
            drain_state: DrainState::Serving,
            observed: 0,
            first_heartbeat_at: now,
            held_until: Millis::default(),
            expected_by: Millis::default(),
            lease: Lease::default(),
            desired: DesiredState::default(),
        };
        incarnation.update(first, delivered, now);
        incarnation
    }

    /// Replaces the newest heartbeat. `delivered` covers the owner's messages whose orders were in a response before the
    /// server sent this heartbeat.
    pub(crate) fn update(
        &mut self,
        received: ServerHeartbeat,
        delivered: MessageNumbers,
        now: Millis,
    ) {
        self.desired.record_ends(&received.heartbeat.finished);
        self.facts = received.facts;
        self.heartbeat = received.heartbeat;
        self.all_ends_listed = received.ends_listed < MAX_LISTED_ENDS;
        let seen = if self.all_ends_listed {
            delivered
        } else {
            MessageNumbers::default()
        };
        self.heartbeat.orders_seen = seen.newest;
        self.orders_delivered = seen.newest_with_orders;
        if self.heartbeat.draining && self.drain_state == DrainState::Serving {
            self.drain_state = DrainState::Draining;
        }
        self.heartbeat.draining = self.is_draining();
        self.expected_by = now.plus(HEARTBEAT_GRACE_MS);
    }

    pub(crate) fn id(&self) -> &ServerId {
        &self.facts.id
    }

    pub(crate) fn facts(&self) -> &ServerFacts {
        &self.facts
    }

    /// The newest heartbeat, as it is reported to the owner.
    pub(crate) fn heartbeat(&self) -> &Heartbeat {
        &self.heartbeat
    }

    /// The number of the owner's newest message with orders that the heartbeat's `orders_seen` covers.
    pub(crate) fn orders_delivered(&self) -> u64 {
        self.orders_delivered
    }

    /// The owner has recorded the ends up to this number.
    pub(crate) fn observed(&self) -> u64 {
        self.observed
    }

    /// Whether the server has reported that it drains, or has deregistered.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_state != DrainState::Serving
    }

    /// Whether the incarnation ends when the server deregisters.
    pub(crate) fn ends_on_deregistration(&self) -> bool {
        self.drain_state == DrainState::Draining
    }

    /// Records that the server has deregistered without having drained.
    pub(crate) fn deregister_without_draining(&mut self) {
        self.drain_state = DrainState::DeregisteredWithoutDraining;
        self.heartbeat.draining = true;
    }

    /// Whether the next heartbeat should have arrived by now.
    pub(crate) fn is_overdue(&self, now: Millis) -> bool {
        now > self.expected_by
    }

    /// Whether another incarnation that sends a heartbeat now may be accepted: it is certain to be later than this one, or
    /// nothing runs under this one's lease any more.
    pub(crate) fn is_replaceable(&self, now: Millis) -> bool {
        let is_other_later = now.since(self.first_heartbeat_at) >= MAX_HEARTBEAT_DELAY_MS;
        is_other_later || now >= self.held_until
    }

    /// Records the lease in the response to a heartbeat that arrived at `arrived_at`.
    pub(crate) fn record_lease(&mut self, arrived_at: Millis, lease_ms: u64) {
        let drift_ms = lease_ms / CLOCK_DRIFT_DIVISOR;
        let ends_at = arrived_at.plus(lease_ms + drift_ms);
        self.held_until = self.held_until.max(ends_at);
    }

    /// Sets the time by which the next heartbeat is expected: `heartbeat_after_ms` after `now`, plus
    /// [`HEARTBEAT_GRACE_MS`].
    pub(crate) fn expect_heartbeat(&mut self, now: Millis, heartbeat_after_ms: u64) {
        self.expected_by = now.plus(heartbeat_after_ms + HEARTBEAT_GRACE_MS);
    }

    /// Applies an accepted message from the owner. Its lease starts no later than the agent's last message to the owner.
    pub(crate) fn apply(&mut self, message: OwnerMessage, last_sent: Millis) {
        self.observed = self.observed.max(message.observed);
        let granted_from = message.lease_from.min(last_sent);
        if message.complete {
            self.lease.replace(granted_from, message.lease_ms);
        } else {
            self.lease.extend(granted_from, message.lease_ms);
        }
        self.desired.apply(message);
    }

    /// The lease that a response may carry to a heartbeat that arrived at `arrived_at`, at most `max_ms`.
    pub(crate) fn lease_ms(&self, arrived_at: Millis, max_ms: u64) -> Option<u64> {
        self.lease.remaining_ms(arrived_at, max_ms)
    }

    /// The desired runs that the newest heartbeat does not list. Without a lease in the response they are withheld.
    pub(crate) fn missing_starts(&self, lease_ms: Option<u64>) -> MissingStarts {
        let permission = if lease_ms.is_some() && !self.is_draining() && self.all_ends_listed {
            StartPermission::Granted
        } else {
            StartPermission::Withheld
        };
        self.desired
            .missing_starts(&self.heartbeat.running, permission)
    }

    /// The runs in the newest heartbeat that the server has to stop.
    pub(crate) fn stops(&self) -> impl Iterator<Item = StopOrder> + '_ {
        self.desired.stops(&self.heartbeat.running)
    }

    /// Whether the newest heartbeat lists ends that the owner has not recorded.
    pub(crate) fn has_unobserved_ends(&self) -> bool {
        self.heartbeat
            .finished
            .iter()
            .any(|end| end.number > self.observed)
    }

    /// Resets which orders the server has seen: message numbers are valid within one session only.
    pub(crate) fn reset_orders_seen(&mut self) {
        self.heartbeat.orders_seen = 0;
        self.orders_delivered = 0;
    }
}

//! Failure detection: the ping of each protocol period, pings on behalf of other members, and suspicions.

use super::Swim;
use crate::member_state::MemberState;
use crate::member_update::MemberUpdate;
use crate::message::Message;
use crate::pending_ping::{PendingPing, PingRequestTargets};
use crate::ping_order::PingScope;
use crate::relayed_pings::RelayedPing;
use crate::suspicion::SuspicionRule;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// The latest time in a period to send ping requests, in percent of the period, however bad the local health is.
const MAX_ACK_TIMEOUT_PERCENT: u64 = 60;
/// In every period whose number is a multiple of this, the ping goes to a suspect, if there is one. The ping carries the
/// suspicion, so that the suspect can refute it.
const SUSPECT_EVERY_PERIODS: u64 = 2;

impl Swim {
    pub(super) fn begin_period(&mut self, now: Millis) {
        self.end_ping(now);
        self.clock.begin(self.settings.protocol_period_ms, now);
        self.end_suspicions(now);
        self.forget_absent(now);
        if self
            .clock
            .is_multiple_of(self.settings.reconnect_every_periods)
        {
            self.ping_absent();
        }
        if let Some(target) = self.choose_target() {
            self.begin_ping(target, now);
        }
    }

    fn forget_absent(&mut self, now: Millis) {
        let forget_after_ms = self.settings.forget_after_ms;
        for address in self.members.forget_absent(forget_after_ms, now) {
            self.earlier_members.add(address, &mut self.random);
        }
    }

    /// Continues after this process was suspended for `suspended_ms`. Timeouts that elapsed during the suspension are no
    /// evidence against other members.
    pub(super) fn resume(&mut self, suspended_ms: u64, now: Millis) {
        self.pings.pending = None;
        self.pings.relayed.clear();
        self.members.extend_suspicions(suspended_ms);
        self.health.worsen();
        self.clock.end_now(now);
    }

    /// The next member in the ping order.
    pub(super) fn next_ping_target(&mut self, preferred: PingScope) -> Option<PeerAddress> {
        self.pings
            .order
            .next(&self.members, self.own.zone(), preferred, &mut self.random)
    }

    fn end_suspicions(&mut self, now: Millis) {
        let rule = SuspicionRule {
            settings: &self.settings,
            members: self.members.present_count(),
            health: self.health,
        };
        for death in self.members.expired_suspects(rule, now) {
            self.apply(&death, now);
        }
    }

    fn choose_target(&mut self) -> Option<PeerAddress> {
        if self.clock.is_multiple_of(SUSPECT_EVERY_PERIODS) {
            let suspects: Vec<PeerAddress> = self
                .members
                .suspects()
                .map(|update| update.address)
                .collect();
            if let Some(suspect) = self.random.choice(suspects) {
                return Some(suspect);
            }
        }
        let to_other_zone = self
            .clock
            .is_multiple_of(self.settings.other_zone_every_periods);
        self.next_ping_target(if to_other_zone {
            PingScope::OtherZones
        } else {
            PingScope::OwnZone
        })
    }

    fn begin_ping(&mut self, target: PeerAddress, now: Millis) {
        let Some(known) = self.members.get(target) else {
            return;
        };
        let process_incarnation = known.process_incarnation;
        let sequence_number = self.pings.next_sequence_number();
        self.pings.pending = Some(PendingPing {
            target,
            process_incarnation,
            sequence_number,
            resend_at: now.plus(self.settings.ping_resend_ms),
            indirect_at: Some(now.plus(self.ack_timeout_ms())),
            deadline: self.clock.next_at(),
            request_targets: PingRequestTargets::default(),
        });
        self.send_ping(target, sequence_number);
    }

    /// How long a direct acknowledgement may take: longer in bad local health, but never a whole period.
    fn ack_timeout_ms(&self) -> u64 {
        let base_ms = self.settings.ack_timeout_ms;
        let scaled_ms = base_ms * u64::from(self.health.multiplier());
        let max_ms = self.settings.protocol_period_ms * MAX_ACK_TIMEOUT_PERCENT / 100;
        scaled_ms.min(max_ms).max(base_ms)
    }

    /// Sends a ping. If the target is not considered alive, the ping carries that update, so that the target can refute it.
    fn send_ping(&mut self, target: PeerAddress, sequence_number: u32) {
        let update_to_refute = self
            .members
            .get(target)
            .filter(|known| known.state != MemberState::Alive);
        let updates = update_to_refute.cloned().into_iter().collect();
        self.send_with(target, Message::Ping { sequence_number }, updates);
    }

    /// Sends the datagrams that are due for the ping of the current period.
    pub(super) fn advance_ping(&mut self, now: Millis) {
        let Some(ping) = &mut self.pings.pending else {
            return;
        };
        let (target, sequence_number) = (ping.target, ping.sequence_number);
        let due = ping.take_due(self.settings.ping_resend_ms, now);
        if due.direct {
            self.send_ping(target, sequence_number);
        }
        if due.indirect {
            self.send_ping_requests(target, sequence_number);
        }
    }

    fn send_ping_requests(&mut self, target: PeerAddress, sequence_number: u32) {
        let mut targets: Vec<PeerAddress> = self
            .members
            .alive()
            .map(|update| update.address)
            .filter(|address| *address != target)
            .collect();
        self.random.shuffle(&mut targets);
        targets.truncate(self.settings.ping_request_fanout);
        for to in &targets {
            let request = Message::PingRequest {
                sequence_number,
                target,
            };
            self.send(*to, request);
        }
        if let Some(ping) = &mut self.pings.pending {
            ping.request_targets = PingRequestTargets::new(targets);
        }
    }

    /// Ends the ping of a period: a member that did not acknowledge it is suspected. If the receivers of ping requests did
    /// not all reply with a nack, the local health worsens, unless the target was already suspected: then no acknowledgement
    /// was to be expected.
    fn end_ping(&mut self, now: Millis) {
        let Some(ping) = self.pings.pending.take() else {
            return;
        };
        let known = self.members.get(ping.target).filter(|known| {
            known.process_incarnation == ping.process_incarnation && known.state.is_present()
        });
        let Some(known) = known else {
            return;
        };
        let suspicion = MemberUpdate {
            state: MemberState::Suspect {
                by: self.own.address(),
            },
            ..known.clone()
        };
        if known.state == MemberState::Alive && !ping.request_targets.all_sent_nacks() {
            self.health.worsen();
        }
        self.apply(&suspicion, now);
    }

    pub(super) fn ack_received(&mut self, from: PeerAddress, sequence_number: u32) {
        if self.pings.pending_with(sequence_number).is_some() {
            self.pings.pending = None;
            self.health.improve();
        }
        if let Some(ping) = self.pings.relayed.take_acknowledged(from, sequence_number) {
            let sequence_number = ping.requester_sequence_number;
            self.send(ping.requester, Message::Ack { sequence_number });
        }
    }

    /// Pings a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        requester: PeerAddress,
        requester_sequence_number: u32,
        target: PeerAddress,
        now: Millis,
    ) {
        if target == self.own.address() {
            let sequence_number = requester_sequence_number;
            self.send(requester, Message::Ack { sequence_number });
            return;
        }
        let sequence_number = self.pings.next_sequence_number();
        self.pings.relayed.push(RelayedPing {
            target,
            sequence_number,
            requester,
            requester_sequence_number,
            resend_at: Some(now.plus(self.settings.ping_resend_ms)),
            deadline: now.plus(self.settings.relay_timeout_ms),
        });
        self.send_ping(target, sequence_number);
    }

    /// Sends the pings on behalf of other members that are due, and a nack for each one that has reached its deadline.
    pub(super) fn advance_relayed_pings(&mut self, now: Millis) {
        for (target, sequence_number) in self.pings.relayed.take_due_resends(now) {
            self.send_ping(target, sequence_number);
        }
        for ping in self.pings.relayed.take_expired(now) {
            let sequence_number = ping.requester_sequence_number;
            self.send(ping.requester, Message::Nack { sequence_number });
        }
    }

    /// Pings a seed, an absent member or an earlier member: it may be on the other side of a partition.
    fn ping_absent(&mut self) {
        let seeds = self.seeds.iter().copied();
        let absent = self.members.absent().map(|update| update.address);
        let candidates: Vec<PeerAddress> = seeds
            .chain(absent)
            .chain(self.earlier_members.addresses())
            .filter(|address| !self.members.is_present(*address))
            .collect();
        if let Some(target) = self.random.choice(candidates) {
            let sequence_number = self.pings.next_sequence_number();
            self.send_ping(target, sequence_number);
        }
    }
}

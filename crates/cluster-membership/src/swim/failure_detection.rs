//! Failure detection: the ping of each protocol period, pings on behalf of others, and what follows from their outcome.

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

/// However bad the local health is, ping requests are sent before this part of the period is over, in percent.
const MAX_ACK_TIMEOUT_PERCENT: u64 = 60;
/// In every period whose number is a multiple of this the ping goes to a suspect, if there is one, so that it learns of
/// the suspicion and refutes it.
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
            self.earlier_members.remember(address, &mut self.random);
        }
    }

    /// This process was suspended for so many milliseconds: what timed out meanwhile is no evidence against others.
    pub(super) fn resume(&mut self, suspended_ms: u64, now: Millis) {
        self.pings.pending = None;
        self.pings.relayed.clear();
        self.members.extend_suspicions(suspended_ms);
        self.health.worsen();
        self.clock.end_now(now);
    }

    /// The next member in the order of pings.
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

    /// How long a direct acknowledgement may take: longer in bad local health, within the period.
    fn ack_timeout_ms(&self) -> u64 {
        let base_ms = self.settings.ack_timeout_ms;
        let scaled_ms = base_ms * u64::from(self.health.multiplier());
        let max_ms = self.settings.protocol_period_ms * MAX_ACK_TIMEOUT_PERCENT / 100;
        scaled_ms.min(max_ms).max(base_ms)
    }

    /// Sends a ping; a member that is suspected learns of it with the ping.
    fn send_ping(&mut self, target: PeerAddress, sequence_number: u32) {
        let accusation = self
            .members
            .get(target)
            .filter(|known| known.state != MemberState::Alive);
        let updates = accusation.cloned().into_iter().collect();
        self.send_with(target, Message::Ping { sequence_number }, updates);
    }

    /// Sends what is due for the ping of the current period.
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

    /// The period is over: a member that did not acknowledge its ping is suspected. Members that did not even answer a
    /// ping request are evidence of the own health, unless the target was suspected already: then no acknowledgement was
    /// to be expected.
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

    /// Sends what is due for pings on behalf of others, and ends those at their deadline.
    pub(super) fn advance_relayed_pings(&mut self, now: Millis) {
        for (target, sequence_number) in self.pings.relayed.take_due_resends(now) {
            self.send_ping(target, sequence_number);
        }
        for ping in self.pings.relayed.take_expired(now) {
            let sequence_number = ping.requester_sequence_number;
            self.send(ping.requester, Message::Nack { sequence_number });
        }
    }

    /// Pings a seed or member that is not present: it may be on the other side of a partition.
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

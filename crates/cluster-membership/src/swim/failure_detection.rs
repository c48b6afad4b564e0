//! Probes: the own one of each period, those made for others, and what their outcome is taken for.

use super::*;

impl Swim {
    pub(super) fn begin_period(&mut self, now: Millis) {
        self.fail_probe(now);
        self.periods += 1;
        self.next_period = now.plus(self.settings.period_ms);
        for death in self.roster.expired(&self.settings, self.health, now) {
            self.learn(&death, now);
        }
        self.roster.forget(self.settings.forget_ms, now);
        if self
            .periods
            .is_multiple_of(self.settings.reach_every.max(1))
        {
            self.reach_out();
        }
        if let Some(target) = self.choose_target() {
            self.begin_probe(target, now);
        }
    }

    fn choose_target(&mut self) -> Option<PeerAddress> {
        if self.periods.is_multiple_of(SUSPECT_EVERY) {
            let suspects: Vec<PeerAddress> = self
                .roster
                .suspects()
                .map(|update| update.address)
                .collect();
            if let Some(suspect) = self.random.choice(suspects) {
                return Some(suspect);
            }
        }
        let distant = self
            .periods
            .is_multiple_of(self.settings.distant_every.max(1));
        self.order
            .next(&self.roster, &self.own.zone, distant, &mut self.random)
    }

    fn begin_probe(&mut self, target: PeerAddress, now: Millis) {
        let Some(process_incarnation) = self
            .roster
            .get(target)
            .map(|update| update.process_incarnation)
        else {
            return;
        };
        let nonce = self.draw_nonce();
        let direct_ms = self.settings.direct_ms;
        let patience_most = self.settings.period_ms * DIRECT_PERCENT_MOST / 100;
        let patience = (direct_ms * u64::from(self.health.multiplier()))
            .min(patience_most)
            .max(direct_ms);
        self.probe = Some(Probe {
            target,
            process_incarnation,
            nonce,
            again_at: now.plus(self.settings.repeat_ms),
            helpers_at: Some(now.plus(patience)),
            ends: self.next_period,
            silent_helpers: Vec::new(),
            helpers_asked: 0,
        });
        self.send_probe(target, nonce);
    }

    /// A member that is suspected hears of it with the probe.
    fn send_probe(&mut self, target: PeerAddress, nonce: u32) {
        let suspected = self
            .roster
            .get(target)
            .filter(|held| held.state != MemberState::Alive);
        let first = suspected.cloned().into_iter().collect();
        self.send_with(target, Message::Probe { nonce }, first);
    }

    pub(super) fn continue_probe(&mut self, now: Millis) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let (target, nonce) = (probe.target, probe.nonce);
        let repeat = now >= probe.again_at && now < probe.ends;
        if repeat {
            probe.again_at = now.plus(self.settings.repeat_ms);
        }
        let ask = probe.helpers_at.take_if(|at| now >= *at).is_some();
        if repeat {
            self.send_probe(target, nonce);
        }
        if ask {
            self.ask_helpers(target, nonce);
        }
    }

    fn ask_helpers(&mut self, target: PeerAddress, nonce: u32) {
        let alive = self
            .roster
            .iter()
            .filter(|update| update.state == MemberState::Alive);
        let addresses = alive.map(|update| update.address);
        let mut helpers: Vec<PeerAddress> =
            addresses.filter(|address| *address != target).collect();
        self.random.shuffle(&mut helpers);
        helpers.truncate(self.settings.helpers);
        for helper in &helpers {
            self.send(*helper, Message::ProbeRequest { nonce, target });
        }
        if let Some(probe) = &mut self.probe {
            probe.helpers_asked = helpers.len();
            probe.silent_helpers = helpers;
        }
    }

    /// The period is over: whoever did not answer is suspected. Helpers that said nothing tell of the own health, but not
    /// where the target was suspected already: then silence was to be expected.
    fn fail_probe(&mut self, now: Millis) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let held = self.roster.get(probe.target);
        let Some(held) = held.filter(|held| {
            held.process_incarnation == probe.process_incarnation && held.state.is_present()
        }) else {
            return;
        };
        let all_answered = probe.helpers_asked > 0 && probe.silent_helpers.is_empty();
        if held.state == MemberState::Alive && !all_answered {
            self.health.worsen();
        }
        let state = MemberState::Suspect {
            by: self.own.address,
        };
        let suspicion = MemberUpdate {
            state,
            ..held.clone()
        };
        self.learn(&suspicion, now);
    }

    pub(super) fn acknowledged(&mut self, from: PeerAddress, nonce: u32) {
        let answers = |probe: &Probe| probe.nonce == nonce;
        if self.probe.as_ref().is_some_and(answers) {
            self.probe = None;
            self.health.improve();
        }
        let relayed = self
            .relays
            .iter()
            .position(|relay| relay.nonce == nonce && relay.target == from);
        if let Some(index) = relayed {
            let relay = self.relays.remove(index);
            self.send(
                relay.asker,
                Message::Acknowledge {
                    nonce: relay.asker_nonce,
                },
            );
        }
    }

    pub(super) fn not_reached(&mut self, helper: PeerAddress, nonce: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
            probe.silent_helpers.retain(|silent| *silent != helper);
        }
    }

    pub(super) fn relay(
        &mut self,
        asker: PeerAddress,
        asker_nonce: u32,
        target: PeerAddress,
        now: Millis,
    ) {
        if target == self.own.address {
            self.send(asker, Message::Acknowledge { nonce: asker_nonce });
            return;
        }
        if self.relays.len() >= RELAYS_MOST {
            self.relays.remove(0);
        }
        let nonce = self.draw_nonce();
        let again_at = Some(now.plus(self.settings.repeat_ms));
        let ends = now.plus(self.settings.relay_ms);
        self.relays.push(Relay {
            target,
            nonce,
            asker,
            asker_nonce,
            again_at,
            ends,
        });
        self.send_probe(target, nonce);
    }

    pub(super) fn continue_relays(&mut self, now: Millis) {
        let due = |relay: &mut Relay| {
            relay
                .again_at
                .take_if(|at| now >= *at)
                .map(|_| (relay.target, relay.nonce))
        };
        let again: Vec<(PeerAddress, u32)> = self.relays.iter_mut().filter_map(due).collect();
        for (target, nonce) in again {
            self.send_probe(target, nonce);
        }
        self.end_relays(now);
    }

    fn end_relays(&mut self, now: Millis) {
        let (over, open) = mem::take(&mut self.relays)
            .into_iter()
            .partition(|relay| relay.ends <= now);
        self.relays = open;
        let over: Vec<Relay> = over;
        for relay in over {
            self.send(
                relay.asker,
                Message::NotReached {
                    nonce: relay.asker_nonce,
                },
            );
        }
    }

    /// Looks for a seed or member that is not held for there, which may be on the other side of a cut.
    fn reach_out(&mut self) {
        let gone = self
            .roster
            .iter()
            .filter(|update| !update.state.is_present())
            .map(|update| update.address);
        let mut away: Vec<PeerAddress> = self.seeds.iter().copied().chain(gone).collect();
        away.retain(|address| !self.roster.is_present(*address));
        if let Some(target) = self.random.choice(away) {
            let nonce = self.draw_nonce();
            self.send_probe(target, nonce);
        }
    }

    /// This process was frozen: what ran out meanwhile says nothing of others.
    pub(super) fn resume(&mut self, frozen_ms: u64, now: Millis) {
        self.probe = None;
        self.relays.clear();
        self.roster.extend_suspicions(frozen_ms);
        self.health.worsen();
        self.next_period = now;
    }

    pub(super) fn draw_nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }
}

//! Views: agreeing on them, adopting them, and the heartbeats that carry them.

use super::*;

impl CoreMachine {
    pub(super) fn carry_out_agreement(&mut self, effects: Vec<AgreementEffect>, now: Millis) {
        for effect in effects {
            match effect {
                AgreementEffect::Persist { vote, then } => {
                    let bytes = to_bytes(&vote);
                    let batch = Batch {
                        vote: Some(bytes),
                        ..Batch::default()
                    };
                    self.write(batch, AfterWrite::SendVotes(then), now);
                }
                AgreementEffect::Send(to, message) => self.send_agreement(to, message),
                AgreementEffect::Agreed(view) => self.on_view(view, now),
            }
        }
    }

    pub(super) fn send_agreement(&mut self, to: PeerAddress, message: AgreementMessage) {
        if to == self.me.address {
            self.own_messages.push_back(message);
        } else {
            self.outbox.send(to, Frame::Agreement(message));
        }
    }

    /// A view is agreed. The replica adopts it once it is on the disk: a head that forgot its view in a crash could
    /// number entries in it twice.
    pub(super) fn on_view(&mut self, view: View, now: Millis) {
        let bytes = to_bytes(&view);
        let batch = Batch {
            view: Some(bytes),
            ..Batch::default()
        };
        self.write(batch, AfterWrite::ViewStored(view), now);
    }

    pub(super) fn adopt_view(&mut self, view: View, now: Millis) {
        // Not compared with the client's view: an answer of another process may have told it of this one already.
        if view.number <= self.adopted_view || view.number < self.chain.view().number {
            return;
        }
        self.adopted_view = view.number;
        let chain: Vec<String> = view
            .chain
            .iter()
            .map(|disk| format!("{:08x}", disk.0 >> 32))
            .collect();
        spdlog::info!(
            "view {}: {} voters, chain {}",
            view.number,
            view.voters.len(),
            chain.join(" ")
        );
        let effects = self.chain.adopt_view(view.clone(), now);
        self.carry_out_chain(effects, now);
        let outgoing = self.client.learn(&view, now);
        self.send_all(outgoing);
        for call in self.waiting.view_changed() {
            self.take_call(call, now);
        }
        self.authority_until = Millis(0);
        self.confirmation = None;
        self.last_confirmation = Millis(0);
        for (connection, subscriber) in self.subscribers.iter_mut() {
            subscriber.told_view = view.number;
            self.outbox
                .send_on(*connection, Frame::ViewUpdate(view.clone()));
        }
        self.send_heartbeats(now);
        self.confirm_view(now);
        self.follow_view(now);
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        self.last_heartbeat = now;
        let view = self.agreement.current().clone();
        let draining = self.leaving_since.is_some();
        let disk_healthy = self.disk.is_healthy(now);
        let replica = self.replica_report(now);
        let report = PeerReport {
            incarnation: self.incarnation,
            view_number: view.number,
            disk_healthy,
            draining,
            replica,
        };
        // A copy of this disk that was heard first is refused from the next look at the clock on.
        let _ = self.policy.receive_heartbeat(self.me.clone(), report, now);
        let voter = self.me.clone();
        let frame = Frame::Heartbeat {
            voter,
            view: view.clone(),
            disk_healthy,
            draining,
            replica,
        };
        self.forget_cores(now);
        for address in self.core_addresses(&view) {
            self.outbox.send(address, frame.clone());
        }
    }

    /// What the replica is good for in the view that the heartbeat names; nothing while it has not adopted that view.
    pub(super) fn replica_report(&self, now: Millis) -> ReplicaReport {
        if self.chain.view().number != self.agreement.current().number {
            return ReplicaReport::default();
        }
        ReplicaReport {
            caught_up: self.chain.is_caught_up(now),
            complete: self.chain.is_complete(),
            needs_view: self.chain.needs_new_view(),
        }
    }

    /// Drops processes that fell silent: a machine that was replaced is not called for ever. Voters are called in any
    /// case, and whoever is no voter calls them.
    fn forget_cores(&mut self, now: Millis) {
        let limit = FORGOTTEN_CATCH_UPS * self.catch_up_ms;
        self.other_cores
            .retain(|_, heard_at| now.since(*heard_at) <= limit);
    }

    pub(super) fn core_addresses(&self, view: &View) -> Vec<PeerAddress> {
        let mut addresses: Vec<PeerAddress> =
            view.voters.iter().map(|voter| voter.address).collect();
        if view.voter(self.me.disk).is_none() {
            addresses.extend(self.seeds.iter().copied());
        }
        addresses.extend(self.other_cores.keys().copied());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.me.address);
        addresses
    }

    pub(super) fn propose_view(&mut self, now: Millis) {
        if self.leaving_since.is_some() {
            return;
        }
        let current = self.agreement.current().clone();
        if let Some(next) = self.policy.view_to_propose(&current, &self.me, now) {
            let effects = self.agreement.propose(next, now);
            self.carry_out_agreement(effects, now);
        }
    }
}

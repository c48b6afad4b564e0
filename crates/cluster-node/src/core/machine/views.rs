//! Agreement on views, adoption of views, and the heartbeats that spread them.

use super::CoreMachine;
use crate::core::view_manager::ViewEffect;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::core_heartbeat::CoreHeartbeat;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::view::View;
use lupinrack_view_agreement::PeerReport;

impl CoreMachine {
    pub(super) fn carry_out_views(&mut self, effects: Vec<ViewEffect>) {
        for effect in effects {
            match effect {
                ViewEffect::Send(to, message) => self.outbox.send(to, Frame::Agreement(message)),
                ViewEffect::Write(batch, continuation) => self.write(batch, continuation),
            }
        }
    }

    pub(super) fn learn_view(&mut self, view: View) {
        let effects = self.views.learn(view);
        self.carry_out_views(effects);
    }

    /// Adopts a view that is stored on the disk. All components of this process switch to it.
    pub(super) fn adopt_view(&mut self, view: &View) {
        let now = self.now();
        if view.number < self.chain.view().number || !self.views.adopt(view.number) {
            return;
        }
        log_view(view);
        let effects = self.chain.adopt_view(view.clone(), now);
        self.carry_out_chain(effects);
        self.own_calls.view_changed(view, now, &mut self.outbox);
        for request in self.requests.view_changed() {
            self.take_request(request);
        }
        if !self.chain.is_head() {
            self.requests.take_deferred_operations();
        }
        self.authority.revoke();
        // Operations in flight to the head of the old view may be lost.
        self.shards.resubmit_operations();
        self.rounds.request();
        for (connection, subscriber) in self.subscribers.iter_mut() {
            subscriber.sent_view = view.number;
            self.outbox
                .send_on(*connection, Frame::ViewUpdate(view.clone()));
        }
        self.send_heartbeats();
        self.take_over_shards();
        self.confirm_view();
    }

    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        let view = self.views.current().clone();
        let report = PeerReport {
            incarnation: self.incarnation,
            view_number: view.number,
            disk_healthy: self.writes.is_healthy(now),
            draining: self.shutdown.is_draining(),
            replica: self.replica_report(),
            applied: self.replica.applied(),
            acknowledged: Some(now),
            linked: self.views.links_to_report(now),
        };
        self.views.record_own_heartbeat(report.clone(), now);
        let recipients = self.peers.begin_heartbeats(&view, &self.me, now);
        for address in recipients {
            let heartbeat = CoreHeartbeat {
                voter: self.me.clone(),
                view: view.clone(),
                disk_healthy: report.disk_healthy,
                draining: report.draining,
                replica: report.replica,
                applied: report.applied,
                sent_at: now,
                acknowledges: self.peers.last_received(address),
                linked: report.linked.clone(),
            };
            self.outbox.send(address, Frame::Heartbeat(heartbeat));
        }
    }

    /// Sends heartbeats if they are due, or if a link came up or went down that other processes should learn of at
    /// once.
    pub(super) fn send_due_heartbeats(&mut self) {
        let now = self.now();
        if self.peers.is_heartbeat_due(now) || self.views.have_links_changed(now) {
            self.send_heartbeats();
        }
    }

    /// The replica's status in the view that the heartbeat names; the default until the replica has adopted that view.
    fn replica_report(&self) -> ReplicaReport {
        if self.chain.view().number != self.views.current().number {
            return ReplicaReport::default();
        }
        ReplicaReport {
            caught_up: self.chain.is_caught_up(self.now()),
            complete: self.chain.is_complete(),
            needs_view: self.chain.needs_new_view(),
        }
    }

    /// Proposes the next view if one is due. A draining process leaves proposals to others.
    pub(super) fn propose_view(&mut self) {
        if !self.shutdown.is_draining() {
            let effects = self.views.propose(self.now());
            self.carry_out_views(effects);
        }
    }
}

fn log_view(view: &View) {
    let disks = view.chain.iter();
    let chain: Vec<String> = disks.map(|disk| format!("{:08x}", disk.0 >> 32)).collect();
    spdlog::info!(
        "view {}: {} voters, chain {}",
        view.number,
        view.voters.len(),
        chain.join(" ")
    );
}

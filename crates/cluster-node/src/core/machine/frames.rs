//! Routes received frames and closed connections to the components.

use super::CoreMachine;
use crate::core::pending_requests::{Caller, PendingRequest};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::core_heartbeat::{CoreHeartbeat, HeartbeatStamp};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_view_agreement::PeerReport;

impl CoreMachine {
    pub(super) fn on_closed(&mut self, from: PeerAddress, connection: u64) {
        let now = self.now();
        self.subscribers.disconnected(connection);
        if let Some(disk) = self.peers.disconnected(connection) {
            self.chain.peer_disconnected(disk, now);
        }
        self.shards.disconnected(from, connection);
        self.views.disconnected(from);
        self.own_calls.disconnected(from, now, &mut self.outbox);
    }

    pub(super) fn on_frame(
        &mut self,
        from: PeerAddress,
        incarnation: u64,
        connection: u64,
        frame: Frame,
    ) {
        let now = self.now();
        match frame {
            Frame::Heartbeat(heartbeat) => self.on_heartbeat(from, incarnation, heartbeat),
            Frame::Agreement(message) => {
                let effects = self.views.receive(from, message, now);
                self.carry_out_views(effects);
            }
            Frame::Chain(ChainMessage::Outdated { view }) | Frame::ViewUpdate(view) => {
                self.learn_view(view);
            }
            Frame::Chain(message) => self.on_chain_message(connection, message),
            Frame::Request {
                id,
                remaining_ms,
                request,
            } => {
                let caller = Caller {
                    from,
                    connection: Some(connection),
                    id,
                    deadline: now.plus(remaining_ms),
                };
                self.take_request(PendingRequest { caller, request });
            }
            Frame::Reply { id, reply } => {
                self.own_calls
                    .receive_reply(from, id, reply, now, &mut self.outbox);
            }
            Frame::Submit(operation) => self.append(operation),
            Frame::Agent(message) => {
                self.shards.receive(from, connection, message, now);
                self.rounds.request();
            }
            Frame::Subscribe {
                interest,
                requested_at,
            } => self.on_subscribe(connection, interest, requested_at),
            Frame::Hello(hello) => {
                if let Some(disk) = hello.disk {
                    self.on_hello(connection, disk, hello.address);
                }
            }
            Frame::Owner(_) | Frame::ConfigurationUpdate { .. } => {}
        }
    }

    fn on_heartbeat(&mut self, from: PeerAddress, incarnation: u64, heartbeat: CoreHeartbeat) {
        let now = self.now();
        let own_stamp = heartbeat
            .acknowledges
            .filter(|stamp| stamp.incarnation == self.incarnation);
        let report = PeerReport {
            incarnation,
            view_number: heartbeat.view.number,
            disk_healthy: heartbeat.disk_healthy,
            draining: heartbeat.draining,
            replica: heartbeat.replica,
            applied: heartbeat.applied,
            acknowledged: own_stamp.map(|stamp| stamp.sent_at),
            linked: heartbeat.linked,
        };
        let received = self.views.receive_heartbeat(heartbeat.voter, report, now);
        if let Err(duplicate) = received {
            self.peers.reject_claim(from, &duplicate);
            return;
        }
        let stamp = HeartbeatStamp {
            incarnation,
            sent_at: heartbeat.sent_at,
        };
        self.peers.received_heartbeat(from, stamp, now);
        self.learn_view(heartbeat.view);
    }

    /// Handles a chain message. It is ignored on a connection on which no `Hello` has named a disk.
    fn on_chain_message(&mut self, connection: u64, message: ChainMessage) {
        if let Some(disk) = self.peers.disk(connection) {
            let effects = self.chain.receive(disk, message, self.now());
            self.carry_out_chain(effects);
        }
    }

    /// Handles the `Hello` of a core process that opened a connection.
    fn on_hello(&mut self, connection: u64, disk: DiskId, address: PeerAddress) {
        match self.views.check_disk(disk, address, self.now()) {
            Ok(()) => self.peers.connected(connection, disk),
            Err(duplicate) => self.peers.reject_claim(address, &duplicate),
        }
    }
}

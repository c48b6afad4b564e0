//! Connections that keep the order of messages until they end, and may lose or repeat messages.

use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use std::collections::{BTreeMap, BTreeSet};

/// A message in flight.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: DiskId,
    pub to: DiskId,
    pub message: ChainMessage,
    /// The connection that carries it; a connection that ends may lose its packets.
    connection: u64,
}

/// One direction between two disks.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    connection: u64,
    /// When the last packet of the connection arrives.
    busy_until: u64,
    cut_until: u64,
}

/// When a packet arrives.
#[derive(Debug)]
pub struct Arrival {
    pub at: u64,
    pub packet: Packet,
}

/// All connections.
#[derive(Debug, Default)]
pub struct Network {
    links: BTreeMap<(DiskId, DiskId), Link>,
    /// Connections whose packets are lost.
    lost: BTreeSet<(DiskId, DiskId, u64)>,
    pub faults_ended: bool,
}

impl Network {
    /// Sends a message; it arrives once, never, or twice.
    pub fn send(
        &mut self,
        from: DiskId,
        to: DiskId,
        message: ChainMessage,
        now: u64,
        random: &mut fastrand::Rng,
    ) -> Vec<Arrival> {
        let link = self.links.entry((from, to)).or_default();
        if link.cut_until > now && !self.faults_ended {
            return Vec::new();
        }
        let delay = if random.u8(..) < 8 {
            random.u64(0..200)
        } else {
            random.u64(1..6)
        };
        link.busy_until = link.busy_until.max(now + delay);
        let packet = Packet {
            from,
            to,
            message,
            connection: link.connection,
        };
        let mut arrivals = vec![Arrival {
            at: link.busy_until,
            packet: packet.clone(),
        }];
        if random.u8(..) < 10 {
            arrivals.push(Arrival {
                at: link.busy_until + random.u64(0..3000),
                packet,
            });
        }
        arrivals
    }

    /// Whether a packet arrives: its connection has not ended with the loss of its packets.
    pub fn arrives(&self, packet: &Packet) -> bool {
        !self
            .lost
            .contains(&(packet.from, packet.to, packet.connection))
    }

    /// Ends a connection: its packets are lost, or arrive mixed with those of the next connection.
    pub fn reconnect(&mut self, from: DiskId, to: DiskId, random: &mut fastrand::Rng) {
        let link = self.links.entry((from, to)).or_default();
        if random.bool() {
            self.lost.insert((from, to, link.connection));
        }
        link.connection += 1;
        link.busy_until = 0;
    }

    /// Loses all messages in one direction between two disks until a given time.
    pub fn partition(&mut self, from: DiskId, to: DiskId, until: u64, random: &mut fastrand::Rng) {
        self.reconnect(from, to, random);
        self.links.entry((from, to)).or_default().cut_until = until;
    }
}

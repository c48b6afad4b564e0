//! Effects that the driver has not taken yet.

use super::effect::CoreEffect;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_control_store::Batch;

/// Effects in the order in which the driver carries them out.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    effects: Vec<CoreEffect>,
}

impl Outbox {
    /// Sends a frame to a process.
    pub(super) fn send(&mut self, to: PeerAddress, frame: Frame) {
        self.effects.push(CoreEffect::Send { to, frame });
    }

    /// Sends a frame on this connection only.
    pub(super) fn send_on(&mut self, connection: u64, frame: Frame) {
        self.effects.push(CoreEffect::SendOn { connection, frame });
    }

    /// Writes a batch, which is acknowledged by this number.
    pub(super) fn write(&mut self, number: u64, batch: Batch) {
        self.effects.push(CoreEffect::Write { number, batch });
    }

    /// Takes all effects.
    pub(super) fn take(&mut self) -> Vec<CoreEffect> {
        std::mem::take(&mut self.effects)
    }
}

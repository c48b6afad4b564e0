//! The effects of one call.

use crate::effect::Effect;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;

/// The effects of the call in progress, in order. Those of the constructor are returned by the first
/// call.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
}

impl Outbox {
    /// Sends a message to the process of a disk.
    pub(crate) fn send(&mut self, to: DiskId, message: ChainMessage) {
        self.effects.push(Effect::Send(to, message));
    }

    /// Adds an effect for the driver.
    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Drops the messages that wait to be returned.
    pub(crate) fn discard_messages(&mut self) {
        self.effects
            .retain(|effect| !matches!(effect, Effect::Send(..)));
    }

    /// Takes all effects for the driver and leaves none.
    pub(crate) fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

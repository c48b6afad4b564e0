//! How long a suspicion lasts.

use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_failure_detection::{
    confirmations_needed, size_factor, suspicion_length, LocalHealth,
};

/// A suspicion as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    began: Millis,
    /// Members that found out by themselves; only as many as shorten it.
    by: Vec<PeerAddress>,
}

impl Suspicion {
    pub(crate) fn new(by: PeerAddress, now: Millis) -> Suspicion {
        Suspicion {
            began: now,
            by: vec![by],
        }
    }

    /// Another member shares it; whether that is new and counts.
    pub(crate) fn confirm(&mut self, by: PeerAddress, confirmations: usize) -> bool {
        let counts = self.by.len() <= confirmations && !self.by.contains(&by);
        if counts {
            self.by.push(by);
        }
        counts
    }

    /// This process was frozen for so long; meanwhile no refutation could reach it.
    pub(crate) fn extend(&mut self, milliseconds: u64) {
        self.began = self.began.plus(milliseconds);
    }

    pub(crate) fn is_over(
        &self,
        settings: &SwimSettings,
        members: usize,
        health: LocalHealth,
        now: Millis,
    ) -> bool {
        let least =
            settings.suspicion_ms as f64 * f64::from(health.multiplier()) * size_factor(members);
        let needed = confirmations_needed(settings.confirmations, members);
        let ratio = f64::from(settings.suspicion_ratio);
        let length = suspicion_length(least, ratio, self.by.len().saturating_sub(1), needed);
        now.since(self.began) as f64 >= length
    }
}

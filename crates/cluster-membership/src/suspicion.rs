//! The timeout of a suspicion.

use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_failure_detection::{
    confirmations_needed, size_factor, suspicion_timeout, LocalHealth,
};

/// A suspicion at this process.
///
/// Its timeout shrinks with every independent confirmation (Lifeguard's *dynamic suspicion timeouts*).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    started_at: Millis,
    /// The members that suspect on their own evidence; limited to the number that shortens the timeout.
    suspected_by: Vec<PeerAddress>,
}

/// The inputs to the timeout of all suspicions at a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionRule<'a> {
    pub(crate) settings: &'a SwimSettings,
    /// How many members are present.
    pub(crate) members: usize,
    pub(crate) health: LocalHealth,
}

impl Suspicion {
    pub(crate) fn new(by: PeerAddress, now: Millis) -> Suspicion {
        Suspicion {
            started_at: now,
            suspected_by: vec![by],
        }
    }

    /// Adds the suspicion of another member. Returns whether it is new and shortens the timeout.
    pub(crate) fn confirm(&mut self, by: PeerAddress, max_confirmations: usize) -> bool {
        let is_new =
            self.suspected_by.len() <= max_confirmations && !self.suspected_by.contains(&by);
        if is_new {
            self.suspected_by.push(by);
        }
        is_new
    }

    /// Extends the suspicion by the time for which this process was suspended: no refutation could reach it meanwhile.
    pub(crate) fn extend(&mut self, milliseconds: u64) {
        self.started_at = self.started_at.plus(milliseconds);
    }

    pub(crate) fn has_expired(&self, rule: SuspicionRule, now: Millis) -> bool {
        let settings = rule.settings;
        let min_timeout_ms = settings.suspicion_timeout_ms as f64
            * f64::from(rule.health.multiplier())
            * size_factor(rule.members);
        let timeout_ms = suspicion_timeout(
            min_timeout_ms,
            f64::from(settings.suspicion_timeout_ratio),
            self.suspected_by.len().saturating_sub(1),
            confirmations_needed(settings.suspicion_confirmations, rule.members),
        );
        now.since(self.started_at) as f64 >= timeout_ms
    }
}

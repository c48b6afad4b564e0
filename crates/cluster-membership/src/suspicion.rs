//! How long a suspicion lasts.

use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_failure_detection::{
    confirmations_needed, size_factor, suspicion_timeout, LocalHealth,
};

/// A suspicion as this process sees it.
///
/// Its timeout shrinks with every independent confirmation (Lifeguard's *dynamic suspicion timeouts*).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    started_at: Millis,
    /// Members that suspect on their own evidence; at most as many as shorten the timeout.
    suspected_by: Vec<PeerAddress>,
}

/// What the timeout of all suspicions of a process depends on.
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

    /// Another member suspects as well; whether its suspicion is new and shortens the timeout.
    pub(crate) fn confirm(&mut self, by: PeerAddress, max_confirmations: usize) -> bool {
        let counts =
            self.suspected_by.len() <= max_confirmations && !self.suspected_by.contains(&by);
        if counts {
            self.suspected_by.push(by);
        }
        counts
    }

    /// This process was suspended for so many milliseconds, in which no refutation could reach it.
    pub(crate) fn extend(&mut self, milliseconds: u64) {
        self.started_at = self.started_at.plus(milliseconds);
    }

    pub(crate) fn has_expired(&self, rule: SuspicionRule, now: Millis) -> bool {
        let settings = rule.settings;
        let shortest_ms = settings.suspicion_timeout_ms as f64
            * f64::from(rule.health.multiplier())
            * size_factor(rule.members);
        let timeout_ms = suspicion_timeout(
            shortest_ms,
            f64::from(settings.suspicion_timeout_ratio),
            self.suspected_by.len().saturating_sub(1),
            confirmations_needed(settings.suspicion_confirmations, rule.members),
        );
        now.since(self.started_at) as f64 >= timeout_ms
    }
}

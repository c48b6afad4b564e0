//! The operations by which this process takes over shards: when each is retried, and what an applied one means.

use lupinrack_cluster_api::identity::{FencingToken, ServiceName};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// Initial backoff before a takeover that was not applied is retried, in milliseconds; each attempt doubles it. A head
/// that is not ready drops takeovers. Applying one twice is harmless.
const INITIAL_RETRY_MS: u64 = 150;
/// Maximum backoff between attempts, in milliseconds.
const MAX_RETRY_MS: u64 = 1_200;

/// A takeover that was applied to the replica.
pub(super) struct AppliedTakeover<'a> {
    /// The service.
    pub(super) service: &'a ServiceName,
    /// The new owner's token.
    pub(super) token: FencingToken,
    /// Whether this incarnation of this process submitted it. A takeover by an earlier incarnation may be replayed from
    /// the log, and that incarnation may have sent orders under the token that this one does not know.
    pub(super) is_own: bool,
    /// Whether it took effect: its token was high enough.
    pub(super) is_accepted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Submission {
    at: Millis,
    retry_after_ms: u64,
}

/// Takeovers that were submitted and not applied yet.
#[derive(Debug, Default)]
pub(super) struct PendingTakeovers {
    by_service: BTreeMap<ServiceName, Submission>,
}

impl PendingTakeovers {
    /// Records a submission at this time. Returns false if the backoff since the last one is not over.
    pub(super) fn submit(&mut self, service: &ServiceName, now: Millis) -> bool {
        let before = self.by_service.get(service);
        if before.is_some_and(|last| now.since(last.at) < last.retry_after_ms) {
            return false;
        }
        let retry_after_ms = before.map_or(INITIAL_RETRY_MS, |last| {
            (last.retry_after_ms * 2).min(MAX_RETRY_MS)
        });
        let submission = Submission {
            at: now,
            retry_after_ms,
        };
        self.by_service.insert(service.clone(), submission);
        true
    }

    /// Whether no takeover is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Removes the takeover of a service, once it was applied or another one replaces it.
    pub(super) fn remove(&mut self, service: &ServiceName) {
        self.by_service.remove(service);
    }

    /// Keeps only the takeovers of services for which `is_kept` is true.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| is_kept(service));
    }
}

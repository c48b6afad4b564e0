//! Ending in order, and what operators are shown.

use super::*;
use crate::status::CoreStatus;
use lupinrack_cluster_api::identity::ServiceName;
use lupinrack_scheduler::ServiceSummary;

impl CoreMachine {
    pub(super) fn leave(&mut self) {
        if self.leaving_since.is_none() {
            let now = self.moment.now;
            spdlog::info!("told to end");
            self.leaving_since = Some(now);
            self.send_heartbeats(now);
        }
    }

    /// Whether the process, told to end, may end now.
    pub fn is_shutdown_complete(&self, now: Millis) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let waited = now.since(since);
        let handed_over = self.client.is_idle() && self.has_handed_over(now);
        waited >= self.grace_ms * LEAVE_PERCENT / 100 || (handed_over && waited >= LEAVE_LEAST_MS)
    }

    /// Whether others hold everything and vote in its place, as far as there are others.
    fn has_handed_over(&self, now: Millis) -> bool {
        self.policy
            .may_shut_down(self.agreement.current(), &self.me, now)
    }

    pub(super) fn status(&self) -> String {
        let services: Vec<(ServiceName, ServiceSummary)> = self
            .shards
            .summaries(self.moment.now)
            .map(|(service, summary)| (service.clone(), summary))
            .collect();
        let status = CoreStatus {
            node: &self.name,
            me: &self.me,
            view: self.agreement.current(),
            state: &self.replica.state,
            applied: self.replica.applied,
            committed: self.chain.committed(),
            unmatched_answers: self.client.unmatched_answers(),
            services: &services,
        };
        status.to_string()
    }
}

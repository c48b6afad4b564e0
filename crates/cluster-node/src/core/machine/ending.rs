//! Ending in order, and what operators are shown.

use super::*;

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
    pub fn has_left(&self, now: Millis) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let waited = now.since(since);
        let replaced = self.agreement.current().position(self.me.disk).is_none() && self.client.is_idle();
        waited >= LEAVE_MS || (replaced && waited >= LEAVE_MS / 3)
    }

    pub(super) fn status(&self) -> String {
        let view = self.agreement.current();
        let services: Vec<&str> = self.shards.services().map(|service| service.0.as_str()).collect();
        format!(
            "node {}\ndisk {:016x}\nview {}\nvoters {}\nchain position {:?}\napplied {}\ncommitted {}\nconfiguration {}\njobs {}\nowns {}\n",
            self.name,
            self.me.disk.0,
            view.number,
            view.voters.len(),
            view.position(self.me.disk),
            self.replica.applied,
            self.chain.committed(),
            self.replica.state.configuration.version,
            self.replica.state.jobs.len(),
            services.join(" ")
        )
    }
}

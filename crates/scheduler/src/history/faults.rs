//! Servers that fail, stall or slow down what they are given.
//!
//! A job that fails by its own fault fails everywhere, so a server is suspected only after faults of several jobs with
//! nothing that ended well in between. A suspected server is given one task at a time now and then; the first that ends
//! well clears it.

use lupinrack_cluster_api::identity::{JobId, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Faults of so many different jobs make a server suspected.
const JOBS_FOR_SUSPICION: usize = 2;
/// Faults older than this count no longer, in milliseconds.
const FAULT_AGE_MOST_MS: u64 = 30_000;
/// Servers that are remembered for one task at most.
const SERVERS_PER_TASK_MOST: usize = 16;

/// The pause between trials doubles with each trial in vain, this often at most.
const TRIAL_DOUBLINGS_MOST: u32 = 2;
/// The weight of the newest run in what is known of a server's speed.
const SPEED_NEWEST_WEIGHT: f64 = 0.2;
/// Bounds on a single ratio.
const RATIO_LEAST: f64 = 0.3;
const RATIO_MOST: f64 = 8.0;
/// From this ratio on a server counts as slow: estimates are rough.
const SLOW_RATIO: f64 = 1.7;
/// What is known of a server's speed fades by half in this time, in milliseconds.
const SPEED_HALF_LIFE_MS: f64 = 10_000.0;

#[derive(Clone, Debug, Default)]
struct ServerEvidence {
    /// Jobs with faults since the last run that ended well, and when.
    faults: BTreeMap<JobId, Millis>,
    last_trial: Option<Millis>,
    /// Trials since the last run that ended well.
    trials: u32,
    speed: Option<Speed>,
}

/// How long work takes on a server, compared with the same work elsewhere.
#[derive(Clone, Copy, Debug)]
struct Speed {
    ratio: f64,
    at: Millis,
}

impl Speed {
    /// The ratio, which goes back towards 1 while nothing is learned.
    fn faded(self, now: Millis) -> f64 {
        let halvings = now.since(self.at) as f64 / SPEED_HALF_LIFE_MS;
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(halvings)
    }
}

/// What speaks against servers.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    servers: BTreeMap<ServerId, ServerEvidence>,
    faults_of_task: BTreeMap<TaskId, BTreeSet<ServerId>>,
}

impl Evidence {
    /// Notes that a run failed or stood still.
    pub fn fault(&mut self, server: &ServerId, task: TaskId, now: Millis) {
        let evidence = self.servers.entry(server.clone()).or_default();
        evidence.faults.insert(task.job, now);
        let servers = self.faults_of_task.entry(task).or_default();
        if servers.len() < SERVERS_PER_TASK_MOST {
            servers.insert(server.clone());
        }
    }

    /// Notes that a run ended well.
    pub fn success(&mut self, server: &ServerId, task: TaskId) {
        if let Some(evidence) = self.servers.get_mut(server) {
            evidence.faults.clear();
            evidence.trials = 0;
        }
        self.faults_of_task.remove(&task);
    }

    /// How many jobs speak against a server.
    pub fn weight(&self, server: &ServerId, now: Millis) -> usize {
        let Some(evidence) = self.servers.get(server) else {
            return 0;
        };
        evidence
            .faults
            .values()
            .filter(|at| now.since(**at) <= FAULT_AGE_MOST_MS)
            .count()
    }

    /// The suspected ones among these servers, never more than half of them: those with most against them.
    pub fn suspects(&self, servers: &[ServerId], now: Millis) -> BTreeSet<ServerId> {
        let weighed = servers
            .iter()
            .map(|server| (self.weight(server, now), server));
        let mut suspects: Vec<_> = weighed
            .filter(|(weight, _)| *weight >= JOBS_FOR_SUSPICION)
            .collect();
        suspects.sort_by(|a, b| b.cmp(a));
        suspects.truncate(servers.len() / 2);
        suspects
            .into_iter()
            .map(|(_, server)| server.clone())
            .collect()
    }

    /// Whether a suspected server may be tried again.
    pub fn is_trial_due(&self, server: &ServerId, now: Millis, probation_interval_ms: u64) -> bool {
        let Some(evidence) = self.servers.get(server) else {
            return true;
        };
        let pause_ms =
            probation_interval_ms << evidence.trials.saturating_sub(1).min(TRIAL_DOUBLINGS_MOST);
        evidence
            .last_trial
            .is_none_or(|at| now.since(at) >= pause_ms)
    }

    /// Notes that a suspected server is tried.
    pub fn trial(&mut self, server: &ServerId, now: Millis) {
        let evidence = self.servers.entry(server.clone()).or_default();
        evidence.last_trial = Some(now);
        evidence.trials = evidence.trials.saturating_add(1);
    }

    /// Notes how many times as long a run took as expected.
    pub fn took(&mut self, server: &ServerId, ratio: f64, now: Millis) {
        let evidence = self.servers.entry(server.clone()).or_default();
        let ratio = ratio.clamp(RATIO_LEAST, RATIO_MOST);
        let before = evidence.speed.map_or(1.0, |speed| speed.faded(now));
        evidence.speed = Some(Speed {
            ratio: before + SPEED_NEWEST_WEIGHT * (ratio - before),
            at: now,
        });
    }

    /// How many times as long work takes on a server as elsewhere; 1 where that is not remarkable.
    pub fn slowness(&self, server: &ServerId, now: Millis) -> f64 {
        let speed = self.servers.get(server).and_then(|evidence| evidence.speed);
        let ratio = speed.map_or(1.0, |speed| speed.faded(now));
        if ratio < SLOW_RATIO {
            1.0
        } else {
            ratio
        }
    }

    /// Whether a task has failed or stood still on a server.
    pub fn has_faulted(&self, task: TaskId, server: &ServerId) -> bool {
        self.faults_of_task
            .get(&task)
            .is_some_and(|servers| servers.contains(server))
    }

    /// Forgets a life of a server.
    pub fn forget_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Forgets the tasks of a job that is not open any longer.
    pub fn forget_job(&mut self, job: JobId) {
        self.faults_of_task.retain(|task, _| task.job != job);
    }
}

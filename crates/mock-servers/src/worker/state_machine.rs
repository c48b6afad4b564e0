//! A worker without its connection: its runs, their ends, its lease and its fencing token.

use super::cluster_events::{ClusterEvents, Event, GangState, RunName};
use super::failure_rate::FailureRate;
use super::messages::{
    Capacity, End, FinishedRow, Heartbeat, HeartbeatAnswer, RunningRow, StartRow, StopRow,
};
use super::work::Work;
use std::collections::BTreeMap;

/// The most ends that a heartbeat lists.
const MAX_LISTED_ENDS: usize = 500;
/// How long a run takes to fail on a worker on which every run fails, in milliseconds.
const FAILURE_DELAY_MS: u64 = 150;
/// Answers that arrive later than this are ignored, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// A worker's description and its timings, in milliseconds.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The worker's ID in this incarnation.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Its labels: its kind and its rack.
    pub labels: Vec<String>,
    /// Its total resources.
    pub capacity: Capacity,
    /// The longest lease that it accepts.
    pub max_lease_ms: u64,
    /// How long it takes to stop a run.
    pub stop_duration_ms: u64,
    /// How long a gang member waits for the others.
    pub gang_timeout_ms: u64,
}

#[derive(Clone, Debug)]
struct Run {
    work: Work,
    started_at: u64,
    stops_at: Option<u64>,
}

/// The state machine of a worker.
#[derive(Debug)]
pub struct Worker {
    settings: WorkerSettings,
    events: ClusterEvents,
    failures: FailureRate,
    sequence: u64,
    fence_token: u64,
    lease_until: u64,
    runs: BTreeMap<RunName, Run>,
    finished: Vec<FinishedRow>,
    end_count: u64,
    /// The highest run of each task that was stopped or has ended on this worker. It starts no run up to that number.
    closed: BTreeMap<String, u32>,
}

impl Worker {
    /// A worker without runs.
    pub fn new(settings: WorkerSettings, events: ClusterEvents) -> Worker {
        Worker {
            settings,
            events,
            failures: FailureRate::default(),
            sequence: 0,
            fence_token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            end_count: 0,
            closed: BTreeMap::new(),
        }
    }

    /// The worker's ID.
    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// A handle that sets how many runs fail, also while the worker runs.
    pub fn failure_rate(&self) -> FailureRate {
        self.failures.clone()
    }

    /// Number of runs that have ended.
    pub fn ends(&self) -> u64 {
        self.end_count
    }

    /// Composes the next heartbeat.
    pub fn heartbeat(&mut self, now: u64) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            version: "v1".to_owned(),
            state: "ready",
            sequence: self.sequence,
            clock_ms: now,
            capacity: self.settings.capacity,
            labels: self.settings.labels.clone(),
            running: self
                .runs
                .iter()
                .map(|(name, run)| running_row(name, run, now))
                .collect(),
            finished: self
                .finished
                .iter()
                .take(MAX_LISTED_ENDS)
                .cloned()
                .collect(),
        }
    }

    /// Carries out the answer to the heartbeat that was sent at `sent_at`. Returns false if the answer was ignored, because it
    /// is late or has an older fencing token.
    pub fn apply_answer(&mut self, answer: HeartbeatAnswer, sent_at: u64, now: u64) -> bool {
        if now.saturating_sub(sent_at) > ANSWER_TIMEOUT_MS || answer.fence_token < self.fence_token
        {
            return false;
        }
        self.fence_token = answer.fence_token;
        self.observe(answer.observed);
        for stop in answer.stop {
            self.stop(stop, now);
        }
        if answer.hold_ms == 0 {
            return true;
        }
        let lease_ms = answer.hold_ms.min(self.settings.max_lease_ms);
        self.lease_until = self.lease_until.max(sent_at + lease_ms);
        for start in answer.start {
            self.start(start, now);
        }
        true
    }

    /// Advances the clock: work completes, stops take effect, gangs form or time out, the lease expires.
    pub fn advance_to(&mut self, now: u64) {
        let due: Vec<(RunName, End)> = self
            .runs
            .iter()
            .filter_map(|(name, run)| Some((name.clone(), self.end_due(name, run, now)?)))
            .collect();
        for (name, end) in due {
            self.end(name, end);
        }
    }

    fn observe(&mut self, up_to: u64) {
        let (observed, unobserved) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition(|row| row.0 <= up_to);
        self.finished = unobserved;
        let observed: Vec<FinishedRow> = observed;
        for FinishedRow(_, task, run, end, _) in observed {
            self.events.record(Event::Observed {
                run: RunName { task, run },
                end,
            });
        }
    }

    fn stop(&mut self, StopRow(task, run): StopRow, now: u64) {
        self.close(&task, run);
        let stops_at = now + self.settings.stop_duration_ms;
        if let Some(run) = self.runs.get_mut(&RunName { task, run }) {
            run.stops_at.get_or_insert(stops_at);
        }
    }

    fn start(&mut self, StartRow(task, run, text, _): StartRow, now: u64) {
        let name = RunName { task, run };
        if self.runs.contains_key(&name) {
            return;
        }
        let work: Work = text.parse().unwrap_or_default();
        let is_running = self.runs.keys().any(|other| other.task == name.task);
        let is_closed = self
            .closed
            .get(&name.task)
            .is_some_and(|closed| name.run <= *closed);
        if is_closed || is_running || !self.has_capacity_for(&work) {
            self.finish(name, End::Refused);
            return;
        }
        self.events.record(Event::Started {
            run: name.clone(),
            worker: self.settings.id.clone(),
        });
        if work.gang > 0 {
            self.events.join(&name, work.gang, now);
        }
        self.runs.insert(
            name,
            Run {
                work,
                started_at: now,
                stops_at: None,
            },
        );
    }

    fn has_capacity_for(&self, work: &Work) -> bool {
        let used: u64 = self.runs.values().map(|run| run.work.cpu).sum();
        used + work.cpu <= self.settings.capacity.cpu
    }

    fn end_due(&self, name: &RunName, run: &Run, now: u64) -> Option<End> {
        if now >= self.lease_until {
            return Some(End::Lapsed);
        }
        if run.stops_at.is_some_and(|at| now >= at) {
            return Some(End::Stopped);
        }
        let fails_at = run.started_at + FAILURE_DELAY_MS;
        if self.failures.percent() >= 100 && now >= fails_at {
            return Some(End::Failed);
        }
        let gang = (run.work.gang > 0).then(|| self.events.gang(name));
        let worked_since = match gang {
            None => run.started_at,
            Some(GangState::Working { since }) => since,
            Some(GangState::Broken) => return Some(End::Broken),
            Some(GangState::Gathering) => {
                let waited = now.saturating_sub(run.started_at);
                return (waited >= self.settings.gang_timeout_ms).then_some(End::Alone);
            }
        };
        let done = now >= worked_since + run.work.takes_ms;
        done.then_some(if run.work.fails || self.failures.fail(name) {
            End::Failed
        } else {
            End::Done
        })
    }

    fn end(&mut self, name: RunName, end: End) {
        let in_gang = self.runs.remove(&name).is_some_and(|run| run.work.gang > 0);
        if in_gang && end != End::Done {
            self.events.break_up(&name);
        }
        self.finish(name, end);
    }

    fn finish(&mut self, name: RunName, end: End) {
        self.end_count += 1;
        self.close(&name.task, name.run);
        self.finished.push(FinishedRow(
            self.end_count,
            name.task.clone(),
            name.run,
            end,
            String::new(),
        ));
        self.events.record(Event::Ended { run: name, end });
    }

    fn close(&mut self, task: &str, run: u32) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }
}

fn running_row(name: &RunName, run: &Run, now: u64) -> RunningRow {
    let worked = now.saturating_sub(run.started_at);
    let percent = (worked * 100)
        .checked_div(run.work.takes_ms)
        .unwrap_or(0)
        .min(99);
    RunningRow(name.task.clone(), name.run, String::new(), percent as u32)
}

//! A worker without its connection: what it runs, what it has ended, how long it may hold it, and whom it obeys.

use super::floor::{Event, Floor, GangState, RunName};
use super::messages::{
    Beat, BeatAnswer, Capacity, End, FinishedRow, RunningRow, StartRow, StopRow,
};
use super::work::Work;
use std::collections::BTreeMap;

/// Ends that one heartbeat lists at most.
const ENDS_LISTED_MOST: usize = 500;
/// An answer that comes later than this is dropped, in milliseconds.
const ANSWER_WITHIN_MS: u64 = 1_000;

/// What a worker is and how it counts its times, in milliseconds.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Its identity in this life.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: Capacity,
    /// The longest hold.
    pub lease_most_ms: u64,
    /// How long a stop takes.
    pub stop_takes_ms: u64,
    /// How long a member of a gang waits for the others.
    pub gang_waits_ms: u64,
}

#[derive(Clone, Debug)]
struct Run {
    work: Work,
    began: u64,
    stops_at: Option<u64>,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    settings: WorkerSettings,
    floor: Floor,
    sequence: u64,
    token: u64,
    hold_until: u64,
    runs: BTreeMap<RunName, Run>,
    finished: Vec<FinishedRow>,
    ends: u64,
    /// The highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u32>,
}

impl Worker {
    /// One that has seen nothing yet.
    pub fn new(settings: WorkerSettings, floor: Floor) -> Worker {
        Worker {
            settings,
            floor,
            sequence: 0,
            token: 0,
            hold_until: 0,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
        }
    }

    /// Its identity.
    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// How many ends there were.
    pub fn ends(&self) -> u64 {
        self.ends
    }

    /// The next heartbeat.
    pub fn beat(&mut self, now: u64) -> Beat {
        self.sequence += 1;
        Beat {
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
                .take(ENDS_LISTED_MOST)
                .cloned()
                .collect(),
        }
    }

    /// Takes the answer to the heartbeat that was sent at `sent_at`. Whether it was obeyed.
    pub fn obey(&mut self, answer: BeatAnswer, sent_at: u64, now: u64) -> bool {
        if now.saturating_sub(sent_at) > ANSWER_WITHIN_MS || answer.fence_token < self.token {
            return false;
        }
        self.token = answer.fence_token;
        self.observe(answer.observed);
        for stop in answer.stop {
            self.stop(stop, now);
        }
        if answer.hold_ms == 0 {
            return true;
        }
        let hold = answer.hold_ms.min(self.settings.lease_most_ms);
        self.hold_until = self.hold_until.max(sent_at + hold);
        for start in answer.start {
            self.start(start, now);
        }
        true
    }

    /// Lets time pass: work gets done, stops take effect, gangs meet or give up, the hold runs out.
    pub fn pass(&mut self, now: u64) {
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
        let (observed, left) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition(|row| row.0 <= up_to);
        self.finished = left;
        let observed: Vec<FinishedRow> = observed;
        for FinishedRow(_, task, run, end, _) in observed {
            self.floor.note(Event::Observed {
                run: RunName { task, run },
                end,
            });
        }
    }

    fn stop(&mut self, StopRow(task, run): StopRow, now: u64) {
        self.close(&task, run);
        let stops_at = now + self.settings.stop_takes_ms;
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
        let runs_already = self.runs.keys().any(|other| other.task == name.task);
        let too_old = self
            .closed
            .get(&name.task)
            .is_some_and(|closed| name.run <= *closed);
        if too_old || runs_already || !self.has_room_for(&work) {
            self.finish(name, End::Refused);
            return;
        }
        self.floor.note(Event::Started {
            run: name.clone(),
            worker: self.settings.id.clone(),
        });
        if work.gang > 0 {
            self.floor.join(&name, work.gang, now);
        }
        self.runs.insert(
            name,
            Run {
                work,
                began: now,
                stops_at: None,
            },
        );
    }

    fn has_room_for(&self, work: &Work) -> bool {
        let used: u64 = self.runs.values().map(|run| run.work.cpu).sum();
        used + work.cpu <= self.settings.capacity.cpu
    }

    fn end_due(&self, name: &RunName, run: &Run, now: u64) -> Option<End> {
        if now >= self.hold_until {
            return Some(End::Lapsed);
        }
        if run.stops_at.is_some_and(|at| now >= at) {
            return Some(End::Stopped);
        }
        let worked_since = match self.floor.gang(name) {
            _ if run.work.gang == 0 => run.began,
            GangState::Working { since } => since,
            GangState::Broken => return Some(End::Broken),
            GangState::Gathering => {
                let waited = now.saturating_sub(run.began);
                return (waited >= self.settings.gang_waits_ms).then_some(End::Alone);
            }
        };
        let done = now >= worked_since + run.work.takes_ms;
        done.then_some(if run.work.fails {
            End::Failed
        } else {
            End::Done
        })
    }

    fn end(&mut self, name: RunName, end: End) {
        let in_gang = self.runs.remove(&name).is_some_and(|run| run.work.gang > 0);
        if in_gang && end != End::Done {
            self.floor.break_up(&name);
        }
        self.finish(name, end);
    }

    fn finish(&mut self, name: RunName, end: End) {
        self.ends += 1;
        self.close(&name.task, name.run);
        self.finished.push(FinishedRow(
            self.ends,
            name.task.clone(),
            name.run,
            end,
            String::new(),
        ));
        self.floor.note(Event::Ended { run: name, end });
    }

    fn close(&mut self, task: &str, run: u32) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }
}

fn running_row(name: &RunName, run: &Run, now: u64) -> RunningRow {
    let worked = now.saturating_sub(run.began);
    let percent = (worked * 100)
        .checked_div(run.work.takes_ms)
        .unwrap_or(0)
        .min(99);
    RunningRow(name.task.clone(), name.run, String::new(), percent as u32)
}

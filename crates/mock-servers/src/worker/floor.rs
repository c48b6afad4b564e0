//! What the workers of one cluster share: the meeting places of gangs, and the record of all starts and ends.

use crate::node::lock;
use crate::worker::messages::End;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunName {
    /// The task's name.
    pub task: String,
    /// The number of its start.
    pub run: u32,
}

/// Something that happened at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A run began at this worker.
    Started {
        /// Which.
        run: RunName,
        /// Where.
        worker: String,
    },
    /// A run ended there.
    Ended {
        /// Which.
        run: RunName,
        /// How.
        end: End,
    },
    /// An end was observed: its worker was told that it is kept.
    Observed {
        /// Which run's end.
        run: RunName,
        /// How it ended.
        end: End,
    },
}

/// One run of a gang.
#[derive(Clone, Debug, Default)]
struct Gang {
    present: BTreeSet<String>,
    complete_at: Option<u64>,
    broken: bool,
}

/// How a gang stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// Members are missing.
    Gathering,
    /// All were present at this moment and have worked together since.
    Working {
        /// The moment.
        since: u64,
    },
    /// A member has ended before the work was done.
    Broken,
}

#[derive(Debug, Default)]
struct Record {
    events: Vec<Event>,
    gangs: BTreeMap<RunName, Gang>,
}

/// The floor; its clones are the same floor.
#[derive(Clone, Debug, Default)]
pub struct Floor(Arc<Mutex<Record>>);

impl Floor {
    /// Notes an event.
    pub fn note(&self, event: Event) {
        lock(&self.0).events.push(event);
    }

    /// Everything that was noted so far.
    pub fn events(&self) -> Vec<Event> {
        lock(&self.0).events.clone()
    }

    /// A member of a gang of this size is there.
    pub fn join(&self, member: &RunName, size: usize, now: u64) {
        let mut record = lock(&self.0);
        let gang = record.gangs.entry(gang_of(member)).or_default();
        gang.present.insert(member.task.clone());
        if gang.present.len() >= size && gang.complete_at.is_none() {
            gang.complete_at = Some(now);
        }
    }

    /// A member ended without being done.
    pub fn break_up(&self, member: &RunName) {
        lock(&self.0)
            .gangs
            .entry(gang_of(member))
            .or_default()
            .broken = true;
    }

    /// How the gang of a member stands.
    pub fn gang(&self, member: &RunName) -> GangState {
        match lock(&self.0).gangs.get(&gang_of(member)) {
            Some(gang) if gang.broken => GangState::Broken,
            Some(Gang {
                complete_at: Some(since),
                ..
            }) => GangState::Working { since: *since },
            _ => GangState::Gathering,
        }
    }

    /// Starts of a task while another run of it was alive, or after an end `done` of it was observed.
    pub fn run_twice(&self) -> usize {
        let mut alive: BTreeMap<String, usize> = BTreeMap::new();
        let mut done: BTreeSet<String> = BTreeSet::new();
        let mut twice = 0;
        for event in self.events() {
            match event {
                Event::Started { run, .. } => {
                    let alive = alive.entry(run.task.clone()).or_default();
                    twice += usize::from(*alive > 0 || done.contains(&run.task));
                    *alive += 1;
                }
                Event::Ended {
                    end: End::Refused, ..
                } => {}
                Event::Ended { run, .. } => {
                    alive
                        .entry(run.task)
                        .and_modify(|alive| *alive = alive.saturating_sub(1));
                }
                Event::Observed {
                    run,
                    end: End::Done,
                } => {
                    done.insert(run.task);
                }
                Event::Observed { .. } => {}
            }
        }
        twice
    }

    /// How many runs are alive.
    pub fn alive(&self) -> usize {
        let mut alive: BTreeSet<RunName> = BTreeSet::new();
        for event in self.events() {
            match event {
                Event::Started { run, .. } => alive.insert(run),
                Event::Ended { run, .. } => alive.remove(&run),
                Event::Observed { .. } => false,
            };
        }
        alive.len()
    }

    /// How many runs ended in each way.
    pub fn ends(&self) -> BTreeMap<End, usize> {
        let mut ends = BTreeMap::new();
        for event in self.events() {
            if let Event::Ended { end, .. } = event {
                *ends.entry(end).or_default() += 1;
            }
        }
        ends
    }
}

/// A run's gang: its task without the last number, in this run.
fn gang_of(member: &RunName) -> RunName {
    let step = member
        .task
        .rsplit_once('.')
        .map_or(member.task.as_str(), |(step, _)| step);
    RunName {
        task: step.to_owned(),
        run: member.run,
    }
}

//! State that the workers of a cluster share: the progress of gangs, and the record of all starts and ends of runs.

use crate::node::lock;
use crate::worker::messages::End;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunName {
    /// The task's name.
    pub task: String,
    /// Which start of the task this is.
    pub run: u32,
}

/// Something that happened at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker started a run.
    Started {
        /// The run.
        run: RunName,
        /// The worker's ID.
        worker: String,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunName,
        /// How it ended.
        end: End,
    },
    /// The cluster confirmed to the worker that it has stored the end of a run.
    Observed {
        /// The run that ended.
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

/// The state of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// Some members have not started.
    Gathering,
    /// All members have started.
    Working {
        /// When the last member started.
        since: u64,
    },
    /// A member ended before its work was done.
    Broken,
}

#[derive(Debug, Default)]
struct Record {
    events: Vec<Event>,
    gangs: BTreeMap<RunName, Gang>,
}

/// The shared record. Clones refer to the same record.
#[derive(Clone, Debug, Default)]
pub struct ClusterEvents(Arc<Mutex<Record>>);

impl ClusterEvents {
    /// Appends an event.
    pub fn record(&self, event: Event) {
        lock(&self.0).events.push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        lock(&self.0).events.clone()
    }

    /// The events from this index on. The first event has the index 0.
    pub fn events_from(&self, first: usize) -> Vec<Event> {
        let record = lock(&self.0);
        record.events.get(first..).unwrap_or_default().to_vec()
    }

    /// Adds a member that has started to its gang of `size` members.
    pub fn join(&self, member: &RunName, size: usize, now: u64) {
        let mut record = lock(&self.0);
        let gang = record.gangs.entry(gang_of(member)).or_default();
        gang.present.insert(member.task.clone());
        if gang.present.len() >= size && gang.complete_at.is_none() {
            gang.complete_at = Some(now);
        }
    }

    /// Marks a gang as broken because a member ended before its work was done.
    pub fn break_up(&self, member: &RunName) {
        lock(&self.0)
            .gangs
            .entry(gang_of(member))
            .or_default()
            .broken = true;
    }

    /// The state of a member's gang.
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

    /// Number of starts of a task while another run of it was alive, or after its completion was observed.
    pub fn duplicate_starts(&self) -> usize {
        let mut alive: BTreeMap<String, usize> = BTreeMap::new();
        let mut done: BTreeSet<String> = BTreeSet::new();
        let mut duplicate_starts = 0;
        for event in self.events() {
            match event {
                Event::Started { run, .. } => {
                    let alive = alive.entry(run.task.clone()).or_default();
                    duplicate_starts += usize::from(*alive > 0 || done.contains(&run.task));
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
        duplicate_starts
    }

    /// Number of runs that are alive.
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

    /// Number of runs by how they ended.
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

/// The name of a run's gang: the task name without its last number, and the run's number.
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

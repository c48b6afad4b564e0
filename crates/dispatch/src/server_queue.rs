//! The queue of one server.

use crate::tags::{Tag, Tags, Units};
use std::collections::BTreeMap;

/// The order of tasks in a queue: by start tag, and among equals as they were placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    start: Tag,
    sequence: u64,
}

/// A task that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting<Stream, Task> {
    pub(crate) task: Task,
    pub(crate) stream: Stream,
    pub(crate) sequence: u64,
    pub(crate) cost: Units,
    pub(crate) tags: Tags,
    /// How many later tasks were released while this one did not fit.
    passed: u32,
}

impl<Stream, Task> Waiting<Stream, Task> {
    pub(crate) fn new(task: Task, stream: Stream, sequence: u64, cost: Units, tags: Tags) -> Self {
        Waiting {
            task,
            stream,
            sequence,
            cost,
            tags,
            passed: 0,
        }
    }

    fn position(&self) -> Position {
        Position {
            start: self.tags.start,
            sequence: self.sequence,
        }
    }
}

/// The tasks that wait for one server, and its virtual time.
#[derive(Clone, Debug)]
pub(crate) struct ServerQueue<Stream, Task> {
    virtual_time: Tag,
    waiting: BTreeMap<Position, Waiting<Stream, Task>>,
    positions: BTreeMap<Task, Position>,
}

impl<Stream, Task> Default for ServerQueue<Stream, Task> {
    fn default() -> Self {
        ServerQueue {
            virtual_time: Tag::default(),
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }
}

/// A task that did not fit, and how many had been released before it was reached.
struct Passed {
    position: Position,
    released_before: usize,
}

impl<Stream, Task: Clone + Ord> ServerQueue<Stream, Task> {
    pub(crate) fn virtual_time(&self) -> Tag {
        self.virtual_time
    }

    pub(crate) fn get(&self, task: &Task) -> Option<&Waiting<Stream, Task>> {
        self.positions
            .get(task)
            .and_then(|position| self.waiting.get(position))
    }

    pub(crate) fn insert(&mut self, waiting: Waiting<Stream, Task>) {
        let position = waiting.position();
        self.positions.insert(waiting.task.clone(), position);
        self.waiting.insert(position, waiting);
    }

    pub(crate) fn remove(&mut self, task: &Task) -> Option<Waiting<Stream, Task>> {
        let position = self.positions.remove(task)?;
        self.waiting.remove(&position)
    }

    /// The waiting tasks in the order of their tags.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting<Stream, Task>> {
        self.waiting.values()
    }

    /// Takes out up to `room` tasks that fit, in the order of their tags.
    pub(crate) fn release(
        &mut self,
        room: usize,
        passes_most: u32,
        fits: impl FnMut(&Task) -> bool,
    ) -> Vec<Waiting<Stream, Task>> {
        let chosen = self.choose(room, passes_most, fits);
        chosen
            .into_iter()
            .filter_map(|position| self.take(position))
            .collect()
    }

    /// Chooses up to `room` tasks that fit, and notes how often the others were passed.
    fn choose(
        &mut self,
        room: usize,
        passes_most: u32,
        mut fits: impl FnMut(&Task) -> bool,
    ) -> Vec<Position> {
        let mut chosen = Vec::new();
        let mut passed = Vec::new();
        // How many may be chosen in all before a task that does not fit has been passed too often.
        let mut chosen_most = room;
        for (position, waiting) in &self.waiting {
            if chosen.len() >= chosen_most {
                break;
            }
            if fits(&waiting.task) {
                chosen.push(*position);
                continue;
            }
            passed.push(Passed {
                position: *position,
                released_before: chosen.len(),
            });
            let passes_left = passes_most.saturating_sub(waiting.passed) as usize;
            chosen_most = chosen_most.min(chosen.len().saturating_add(passes_left));
        }
        self.note_passes(&passed, chosen.len());
        chosen
    }

    fn note_passes(&mut self, passed: &[Passed], released: usize) {
        for Passed {
            position,
            released_before,
        } in passed
        {
            let times = u32::try_from(released - released_before).unwrap_or(u32::MAX);
            if let Some(waiting) = self.waiting.get_mut(position) {
                waiting.passed = waiting.passed.saturating_add(times);
            }
        }
    }

    /// Takes out a task that is to run; the virtual time moves to its start tag, and never back.
    fn take(&mut self, position: Position) -> Option<Waiting<Stream, Task>> {
        let waiting = self.waiting.remove(&position)?;
        self.positions.remove(&waiting.task);
        self.virtual_time = self.virtual_time.max(waiting.tags.start);
        Some(waiting)
    }
}

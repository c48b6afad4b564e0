//! The occurrences of one job.

use crate::jobs::index_set::IndexSet;
use crate::jobs::occurrence::Occurrence;
use crate::jobs::task::TaskRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::Attempt;
use lupinrack_cluster_api::job::Step;
use std::collections::BTreeMap;
use std::io;

/// Precedes the encoded form. Earlier versions wrote the number of started occurrences here, which is
/// lower.
const FORM_MARKER: u32 = u32::MAX;

/// Assumed for the tasks of occurrences that were done under an earlier version, which dropped the
/// numbers of their starts.
const ASSUMED_DONE_ATTEMPT: Attempt = 100;

/// The occurrences of a job with at least one started task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Occurrences {
    /// Those that are done.
    done: IndexSet,
    /// Those in which tasks were started and which are not done, by number.
    open: BTreeMap<u32, Occurrence>,
    /// The highest number of a start of a task that has succeeded.
    highest_done_attempt: Attempt,
}

impl Occurrences {
    /// Occurrences of which these are done and these are open. No start of a task that has succeeded
    /// had a number above `highest_done_attempt`.
    pub fn new(
        done: impl IntoIterator<Item = u32>,
        open: BTreeMap<u32, Occurrence>,
        highest_done_attempt: Attempt,
    ) -> Self {
        let mut occurrences = Self {
            done: IndexSet::default(),
            open,
            highest_done_attempt,
        };
        for number in done {
            occurrences.done.insert(number);
        }
        occurrences
    }

    /// Those that are done.
    pub fn done(&self) -> &IndexSet {
        &self.done
    }

    /// Those in which tasks were started and which are not done, by number.
    pub fn open(&self) -> &BTreeMap<u32, Occurrence> {
        &self.open
    }

    /// Whether no task was started in any.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.open.is_empty()
    }

    /// The highest number of a start of a recorded task, or of one that has succeeded.
    pub(crate) fn highest_attempt(&self) -> Attempt {
        let open = self.open.values().map(Occurrence::highest_attempt);
        open.max().unwrap_or(0).max(self.highest_done_attempt)
    }

    /// Notes the number of a start of a task that has succeeded.
    pub(crate) fn note_done_attempt(&mut self, attempt: Attempt) {
        self.highest_done_attempt = self.highest_done_attempt.max(attempt);
    }

    pub(crate) fn open_mut(&mut self) -> &mut BTreeMap<u32, Occurrence> {
        &mut self.open
    }

    /// An occurrence in which a task is started; it is recorded from then on.
    pub(crate) fn start(&mut self, number: u32, steps: &[Step]) -> &mut Occurrence {
        self.open
            .entry(number)
            .or_insert_with(|| Occurrence::new(steps))
    }

    /// Drops the record of an occurrence if it is done. Returns whether it is.
    pub(crate) fn close_if_done(&mut self, number: u32) -> bool {
        if !self.open.get(&number).is_some_and(Occurrence::is_done) {
            return false;
        }
        self.open.remove(&number);
        self.done.insert(number)
    }
}

impl BorshSerialize for Occurrences {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        FORM_MARKER.serialize(writer)?;
        self.done.serialize(writer)?;
        self.open.serialize(writer)?;
        self.highest_done_attempt.serialize(writer)
    }
}

impl BorshDeserialize for Occurrences {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        match u32::deserialize_reader(reader)? {
            FORM_MARKER => Ok(Self {
                done: IndexSet::deserialize_reader(reader)?,
                open: BTreeMap::deserialize_reader(reader)?,
                highest_done_attempt: Attempt::deserialize_reader(reader)?,
            }),
            count => read_earlier_form(reader, count),
        }
    }
}

/// Reads the form of earlier versions: each started occurrence, with the records of all its tasks
/// unless it is done, and then the number of those that are done.
fn read_earlier_form<R: io::Read>(reader: &mut R, count: u32) -> io::Result<Occurrences> {
    let mut occurrences = Occurrences::default();
    for _ in 0..count {
        let number = u32::deserialize_reader(reader)?;
        let steps = Vec::<Vec<TaskRecord>>::deserialize_reader(reader)?;
        let open_tasks = u32::deserialize_reader(reader)?;
        let done_tasks = steps.iter().flatten().filter(|task| task.is_done());
        for task in done_tasks {
            occurrences.note_done_attempt(task.attempt);
        }
        if open_tasks == 0 {
            occurrences.done.insert(number);
            occurrences.note_done_attempt(ASSUMED_DONE_ATTEMPT);
        } else {
            let occurrence = Occurrence::from_all_tasks(steps, open_tasks);
            occurrences.open.insert(number, occurrence);
        }
    }
    u32::deserialize_reader(reader)?;
    Ok(occurrences)
}

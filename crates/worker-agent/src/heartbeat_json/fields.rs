//! The fields of a heartbeat's body that need more than a derived reader.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::server::RunEnd;
use serde::de::{Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;

/// A number that counts something; fractions are cut off and negative numbers are 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count(pub u64);

impl Count {
    /// The number, or the largest that fits.
    pub fn as_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

struct CountVisitor;

impl Visitor<'_> for CountVisitor {
    type Value = Count;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Count, E> {
        Ok(Count(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Count, E> {
        Ok(Count(u64::try_from(number).unwrap_or(0)))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Count, E> {
        Ok(Count(number as u64))
    }
}

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(CountVisitor)
    }
}

/// The name of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskName {
    /// It is written as this system writes names.
    Known(TaskId),
    /// It is not one of this system's.
    Unknown(String),
}

struct TaskNameVisitor;

impl Visitor<'_> for TaskNameVisitor {
    type Value = TaskName;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the name of a task")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<TaskName, E> {
        let task = text
            .parse::<TaskId>()
            .ok()
            .filter(|task| task.to_string() == text);
        Ok(task.map_or_else(|| TaskName::Unknown(text.to_owned()), TaskName::Known))
    }
}

impl<'de> Deserialize<'de> for TaskName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TaskNameVisitor)
    }
}

/// How a run ended, by the words of servers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndWord {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
    Refused,
}

impl From<EndWord> for RunEnd {
    fn from(word: EndWord) -> RunEnd {
        match word {
            EndWord::Done => RunEnd::Done,
            EndWord::Failed => RunEnd::Failed,
            EndWord::Stopped => RunEnd::Stopped,
            EndWord::Lapsed => RunEnd::LeaseExpired,
            EndWord::Broken => RunEnd::Broken,
            EndWord::Alone => RunEnd::Alone,
            EndWord::Refused => RunEnd::Refused,
        }
    }
}

/// A row of `running`: `[task, run, saved, percent]`, of which the last two may be missing.
#[derive(Clone, Debug)]
pub struct RunningRow {
    /// The task.
    pub task: TaskName,
    /// Its start.
    pub attempt: Attempt,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// How far it is, in percent.
    pub percent: u32,
}

struct RunningRowVisitor;

impl<'de> Visitor<'de> for RunningRowVisitor {
    type Value = RunningRow;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a run as [task, run, saved, percent]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<RunningRow, A::Error> {
        let task = required(&mut row, "task")?;
        let attempt = required::<Count, _>(&mut row, "run")?.as_u32();
        let checkpoint = optional::<Option<String>, _>(&mut row)?.unwrap_or_default();
        let percent = optional::<Count, _>(&mut row)?.as_u32();
        skip_rest(&mut row)?;
        Ok(RunningRow {
            task,
            attempt,
            checkpoint,
            percent,
        })
    }
}

impl<'de> Deserialize<'de> for RunningRow {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(RunningRowVisitor)
    }
}

/// A row of `finished`: `[number, task, run, how, saved]`, of which the last may be missing.
#[derive(Clone, Debug)]
pub struct FinishedRow {
    /// Its number.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Its start.
    pub attempt: Attempt,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}

struct FinishedRowVisitor;

impl<'de> Visitor<'de> for FinishedRowVisitor {
    type Value = FinishedRow;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an end as [number, task, run, how, saved]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<FinishedRow, A::Error> {
        let number = required::<Count, _>(&mut row, "number")?.0;
        let task = required(&mut row, "task")?;
        let attempt = required::<Count, _>(&mut row, "run")?.as_u32();
        let end = required::<EndWord, _>(&mut row, "how")?.into();
        let checkpoint = optional::<Option<String>, _>(&mut row)?.unwrap_or_default();
        skip_rest(&mut row)?;
        Ok(FinishedRow {
            number,
            task,
            attempt,
            end,
            checkpoint,
        })
    }
}

impl<'de> Deserialize<'de> for FinishedRow {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FinishedRowVisitor)
    }
}

fn required<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    row: &mut A,
    field: &'static str,
) -> Result<T, A::Error> {
    row.next_element()?
        .ok_or_else(|| A::Error::missing_field(field))
}

fn optional<'de, T: Deserialize<'de> + Default, A: SeqAccess<'de>>(
    row: &mut A,
) -> Result<T, A::Error> {
    Ok(row.next_element()?.unwrap_or_default())
}

fn skip_rest<'de, A: SeqAccess<'de>>(row: &mut A) -> Result<(), A::Error> {
    while row.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

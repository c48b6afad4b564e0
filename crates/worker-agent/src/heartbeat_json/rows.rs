//! The rows in a heartbeat's lists of runs and ends. A row may omit trailing fields that have a default, and may have
//! additional unknown fields at its end.

use super::count::Count;
use super::run_end::RunEndForm;
use super::task_name::TaskName;
use lupinrack_cluster_api::identity::Attempt;
use lupinrack_cluster_api::server::RunEnd;
use serde::de::{Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;

/// A row of `running`: `[task, run, saved, percent]`; the last two fields are optional.
#[derive(Clone, Debug)]
pub(crate) struct RunningRow {
    /// The task.
    pub(crate) task: TaskName,
    /// The number of the attempt.
    pub(crate) attempt: Attempt,
    /// Its last checkpoint; empty for none.
    pub(crate) checkpoint: String,
    /// Its progress, in percent.
    pub(crate) percent: u32,
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

/// A row of `finished`: `[number, task, run, how, saved]`; the last field is optional.
#[derive(Clone, Debug)]
pub(crate) struct FinishedRow {
    /// The number of the end; each incarnation of the server counts from 1.
    pub(crate) number: u64,
    /// The task.
    pub(crate) task: TaskName,
    /// The number of the attempt.
    pub(crate) attempt: Attempt,
    /// How it ended.
    pub(crate) end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub(crate) checkpoint: String,
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
        let end = required::<RunEndForm, _>(&mut row, "how")?.into();
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

//! Task names in a heartbeat.

use lupinrack_cluster_api::identity::TaskId;
use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// The name of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskName {
    /// It is a name in this system's format.
    Known(TaskId),
    /// It is any other name.
    Unknown(String),
}

struct TaskNameVisitor;

impl Visitor<'_> for TaskNameVisitor {
    type Value = TaskName;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the name of a task")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<TaskName, E> {
        // A name that parses but is spelled differently, such as with upper-case digits, is not from this system either.
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

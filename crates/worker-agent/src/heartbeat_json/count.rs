//! Numbers in a heartbeat.

use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// A count; fractions are truncated and negative numbers become 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Count(pub(crate) u64);

impl Count {
    /// The count as `u32`; a larger one becomes `u32::MAX`.
    pub(crate) fn as_u32(self) -> u32 {
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

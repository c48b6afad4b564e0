//! How an attempt to send a write ended.

use serde::{Deserialize, Serialize};

/// How an attempt to send a write ended. The variants' order is the form in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// A node has the write.
    Stored,
    /// It provably never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

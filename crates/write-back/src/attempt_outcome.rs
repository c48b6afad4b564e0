//! How an attempt to send a write ended.

use serde::{Deserialize, Serialize};

/// How an attempt to send a write ended. The order of the variants is the encoding in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// A node has stored the write.
    Stored,
    /// It is proven that it did not run.
    NeverRan,
    /// Whether it ran is not known.
    MayHaveRun,
}

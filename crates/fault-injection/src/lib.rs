//! The rig: real processes of the program on loopback with a fault relay between them, stand-ins for what surrounds them, a
//! history on one clock, and the checkers that all drills share. A drill is a crate of its own. It ends all that it started, by id, however
//! it ends itself.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod checks;
pub mod history;
pub mod process;
pub mod relay;
pub mod rig;
pub mod script;
pub mod stage;
pub mod witness;

pub use checks::Verdict;
pub use history::{History, Moment};
pub use rig::{play, Plan, Played};
pub use script::{Act, Script};

/// Why the rig could not play.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// Something of the system's.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A process did not come up; its log's last lines follow.
    #[error("front {front} did not come up: {why}\n{log}")]
    Start {
        /// Which.
        front: u16,
        /// Why.
        why: String,
        /// What it said.
        log: String,
    },
    /// A process did not end in order; its log's last lines follow.
    #[error("a front ended with {status}\n{log}")]
    End {
        /// How it ended.
        status: String,
        /// What it said.
        log: String,
    },
    /// A script that cannot be played.
    #[error("script: {0}")]
    Script(String),
}

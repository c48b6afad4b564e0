//! How a command ended.

use std::fmt::Display;
use std::process::ExitCode;

/// The exit code of a command that failed while running.
const FAILED: u8 = 1;
/// The exit code of a command whose input cannot be used.
const WRONG: u8 = 2;

/// How a command ended, where it did not end well.
#[derive(Debug)]
pub enum Ended {
    /// It failed while running.
    Failed(String),
    /// What it was given cannot be used.
    Wrong(String),
}

impl Ended {
    /// Wrong input, with its reason.
    pub fn wrong(why: impl Display) -> Ended {
        Ended::Wrong(why.to_string())
    }

    /// A failure while running, with its reason.
    pub fn failed(why: impl Display) -> Ended {
        Ended::Failed(why.to_string())
    }

    /// Says why on standard error, where there is something to say, and gives the exit code.
    pub fn report(self) -> ExitCode {
        let (code, why) = match self {
            Ended::Failed(why) => (FAILED, why),
            Ended::Wrong(why) => (WRONG, why),
        };
        if !why.is_empty() {
            eprintln!("lupinrack: {why}");
        }
        ExitCode::from(code)
    }
}

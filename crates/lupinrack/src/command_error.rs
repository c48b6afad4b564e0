//! Errors of commands and their exit codes.

use std::fmt::Display;
use std::process::ExitCode;

/// Exit code of a command that failed while running.
const EXIT_FAILED: u8 = 1;
/// Exit code of a command whose input is invalid.
const EXIT_INVALID_INPUT: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The command failed while running.
    Failed(String),
    /// The command's input is invalid.
    InvalidInput(String),
}

impl CommandError {
    /// An error for invalid input.
    pub fn invalid_input(message: impl Display) -> CommandError {
        CommandError::InvalidInput(message.to_string())
    }

    /// An error for a failure while running.
    pub fn failed(message: impl Display) -> CommandError {
        CommandError::Failed(message.to_string())
    }

    /// Prints the message to standard error, unless it is empty, and returns the exit code.
    pub fn report(self) -> ExitCode {
        let (code, message) = match self {
            CommandError::Failed(message) => (EXIT_FAILED, message),
            CommandError::InvalidInput(message) => (EXIT_INVALID_INPUT, message),
        };
        if !message.is_empty() {
            eprintln!("lupinrack: {message}");
        }
        ExitCode::from(code)
    }
}

//! Errors of the store.

use crate::file_names::DATA_FILE;
use crate::log_bounds::InvalidBatch;
use std::error::Error;
use std::io;

/// Why the store cannot open or commit.
#[derive(Debug, displaydoc::Display)]
pub enum StoreError {
    /// the disk is full
    Full,
    /// the disk failed: {0}
    Io(io::Error),
    /// the file {file} is damaged: {reason}
    Damaged {
        /// The file's name.
        file: &'static str,
        /// What is wrong with its contents.
        reason: String,
    },
    /// the batch does not fit the log: {0}
    InvalidBatch(InvalidBatch),
    /// an earlier commit failed; the store has to be opened again
    Closed,
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StoreError::Io(error) => Some(error),
            StoreError::InvalidBatch(error) => Some(error),
            StoreError::Full | StoreError::Damaged { .. } | StoreError::Closed => None,
        }
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full,
            _ => Self::Io(error),
        }
    }
}

impl From<InvalidBatch> for StoreError {
    fn from(error: InvalidBatch) -> Self {
        Self::InvalidBatch(error)
    }
}

impl StoreError {
    /// An error that `redb` returned about the data file.
    pub(crate) fn from_redb(error: impl Into<redb::Error>) -> Self {
        match error.into() {
            // `redb` reports "invalid data" for a file that is not its own; a file may end before a
            // page that it names.
            redb::Error::Io(error) if is_about_contents(error.kind()) => Self::damaged(&error),
            redb::Error::Io(error) => error.into(),
            redb::Error::PreviousIo => Self::Closed,
            error => Self::damaged(&error),
        }
    }

    /// The contents of the data file are wrong.
    pub(crate) fn damaged(reason: &(impl ToString + ?Sized)) -> Self {
        Self::Damaged {
            file: DATA_FILE,
            reason: reason.to_string(),
        }
    }
}

/// Whether an error says that the contents of a file are wrong, not that the disk failed.
fn is_about_contents(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof
    )
}

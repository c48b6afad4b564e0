//! Why the store cannot do what it was asked.

use crate::batch::Misfit;
use std::io;

/// An error of the store.
#[derive(Debug, displaydoc::Display)]
pub enum StoreError {
    /// the disk is full
    Full,
    /// the disk failed: {0}
    Io(io::Error),
    /// the file {file} is damaged: {reason}
    Damaged {
        /// The file's name.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// the batch does not fit the log: {0}
    Misfit(Misfit),
    /// an earlier commit failed; the store has to be opened again
    Closed,
}

impl std::error::Error for StoreError {}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StoreError::Full,
            _ => StoreError::Io(error),
        }
    }
}

impl From<Misfit> for StoreError {
    fn from(misfit: Misfit) -> Self {
        StoreError::Misfit(misfit)
    }
}

/// An error of `redb`, about this file.
pub(crate) fn of_redb(file: &str, error: impl Into<redb::Error>) -> StoreError {
    match error.into() {
        // `redb` says "invalid data" of a file that is not one of its own; a file may end before a page that it names.
        redb::Error::Io(error) if is_of_contents(error.kind()) => damaged(file, error),
        redb::Error::Io(error) => error.into(),
        redb::Error::PreviousIo => StoreError::Closed,
        error => damaged(file, error),
    }
}

/// Whether an error is about what a file holds, not about the disk.
fn is_of_contents(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof
    )
}

/// This file is damaged.
pub(crate) fn damaged(file: &str, reason: impl ToString) -> StoreError {
    StoreError::Damaged {
        file: file.to_owned(),
        reason: reason.to_string(),
    }
}

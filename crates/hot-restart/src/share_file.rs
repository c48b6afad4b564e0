//! The files through which the processes of one front exchange their shares. A process runs for as long as it holds the
//! lock on its file. The kernel releases the lock when the process ends, so an unlocked file belongs to no process.

use crate::OtherProcesses;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Error, ErrorKind, Read, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

const FILE_NAME_PREFIX: &str = "lupinrack-part-";
/// The largest number of files of one front, including those that dead processes left behind.
const MAX_FILES: usize = 64;
/// The age at which an unlocked file is removed.
const STALE_FILE_AGE: Duration = Duration::from_secs(60);
/// The length of a file in bytes: the share in millionths, the checksum of these digits, and a line feed.
const FILE_LEN_BYTES: usize = 16;

/// This process's file.
#[derive(Debug)]
pub struct ShareFile {
    folder: PathBuf,
    sequence: u64,
    file: File,
}

impl ShareFile {
    /// Creates the file of a process that is newer than all others, with a share of zero.
    pub fn create(folder: &Path) -> Result<ShareFile> {
        loop {
            let sequences = sequences(folder)?;
            if sequences.len() >= MAX_FILES {
                return Err(Error::other(format!(
                    "{} holds {MAX_FILES} files of this front",
                    folder.display()
                )));
            }
            let sequence = sequences.iter().max().map_or(1, |newest| newest + 1);
            let path = path(folder, sequence);
            match OpenOptions::new()
                .read(true)
                .write(true)
                .create_new(true)
                .open(&path)
            {
                Ok(file) => {
                    file.lock()?;
                    let share_file = ShareFile {
                        folder: folder.to_path_buf(),
                        sequence,
                        file,
                    };
                    share_file.publish(0.0)?;
                    return Ok(share_file);
                }
                // Another process started at the same time and created this file.
                Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Publishes the share of this process.
    pub fn publish(&self, share: f64) -> Result<()> {
        self.file.write_all_at(encode(share).as_bytes(), 0)
    }

    /// Reads the files of the other processes.
    pub fn read_others(&self) -> Result<OtherProcesses> {
        let mut others = OtherProcesses::default();
        for sequence in sequences(&self.folder)?
            .into_iter()
            .filter(|other| *other != self.sequence)
        {
            let path = path(&self.folder, sequence);
            let Ok(mut file) = File::open(&path) else {
                continue;
            };
            match file.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    let share = file
                        .read_to_string(&mut text)
                        .ok()
                        .and_then(|_| decode(&text));
                    others.has_newer |= sequence > self.sequence;
                    if sequence < self.sequence {
                        // The owner of a malformed file may use all of the limits.
                        others.older_shares.push(share.unwrap_or(1.0));
                    }
                }
                Err(TryLockError::Error(error)) => return Err(error),
                Ok(()) => {
                    let age = file
                        .metadata()?
                        .modified()
                        .map(|modified| SystemTime::now().duration_since(modified));
                    if matches!(age, Ok(Ok(age)) if age > STALE_FILE_AGE) {
                        let _ = std::fs::remove_file(&path);
                    }
                }
            }
        }
        Ok(others)
    }
}

impl Drop for ShareFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(path(&self.folder, self.sequence));
    }
}

fn path(folder: &Path, sequence: u64) -> PathBuf {
    folder.join(format!("{FILE_NAME_PREFIX}{sequence}"))
}

fn sequences(folder: &Path) -> Result<Vec<u64>> {
    let names =
        std::fs::read_dir(folder)?.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    Ok(names
        .filter_map(|name| name.strip_prefix(FILE_NAME_PREFIX)?.parse().ok())
        .collect())
}

fn encode(share: f64) -> String {
    // Rounded up, so that the published share is never below the share in use.
    let digits = format!("{:07}", (share.clamp(0.0, 1.0) * 1e6).ceil() as u32);
    format!("{digits}{:08x}\n", crc32fast::hash(digits.as_bytes()))
}

fn decode(text: &str) -> Option<f64> {
    let (digits, checksum) = text
        .strip_suffix('\n')
        .filter(|_| text.len() == FILE_LEN_BYTES)?
        .split_at_checked(7)?;
    let is_valid = u32::from_str_radix(checksum, 16).ok()? == crc32fast::hash(digits.as_bytes());
    is_valid
        .then(|| digits.parse::<u32>().ok())
        .flatten()
        .map(|millionths| f64::from(millionths) / 1e6)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn processes_detect_each_other_by_locks_and_ignore_stale_files() {
        let folder =
            std::env::temp_dir().join(format!("lupinrack-share-file-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        // The file of a killed process, and an unrelated file.
        std::fs::write(folder.join("lupinrack-part-7"), encode(1.0)).unwrap();
        std::fs::write(folder.join("something"), "else").unwrap();
        let old = ShareFile::create(&folder).unwrap();
        assert_eq!(
            (old.sequence, old.read_others().unwrap()),
            (8, OtherProcesses::default())
        );
        old.publish(1.0).unwrap();
        let new = ShareFile::create(&folder).unwrap();
        assert_eq!(
            new.read_others().unwrap(),
            OtherProcesses {
                older_shares: vec![1.0],
                has_newer: false
            }
        );
        assert_eq!(
            old.read_others().unwrap(),
            OtherProcesses {
                older_shares: vec![],
                has_newer: true
            }
        );
        old.publish(0.5).unwrap();
        assert_eq!(new.read_others().unwrap().older_shares, [0.5]);
        // A malformed file counts as a share of 1.
        old.file.write_all_at(b"0000001", 0).unwrap();
        assert_eq!(new.read_others().unwrap().older_shares, [1.0]);
        drop(old);
        assert_eq!(new.read_others().unwrap(), OtherProcesses::default());
        drop(new);
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(ShareFile::create(&folder).is_err());
    }
}

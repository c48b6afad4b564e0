//! The files by which the processes of one front know of each other. A process lives as long as it holds the lock on its
//! file, which the kernel gives up with it: a file that is left behind says nothing.

use crate::Seen;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Error, ErrorKind, Read, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

const PREFIX: &str = "lupinrack-part-";
/// The most processes of one front at once, the dead ones that left a file included.
const MOST: usize = 64;
/// A file nobody locks is removed after this.
const LEFT: Duration = Duration::from_secs(60);
/// The length of a file: the part in millionths and the sum of these digits.
const LENGTH: usize = 16;

/// This process's file.
#[derive(Debug)]
pub struct Post {
    folder: PathBuf,
    order: u64,
    file: File,
}

impl Post {
    /// Takes the place after all others, with nothing kept.
    pub fn take(folder: &Path) -> Result<Post> {
        loop {
            let orders = orders(folder)?;
            if orders.len() >= MOST {
                return Err(Error::other(format!(
                    "{} holds {MOST} files of this front",
                    folder.display()
                )));
            }
            let order = orders.iter().max().map_or(1, |o| o + 1);
            let path = path(folder, order);
            match OpenOptions::new()
                .read(true)
                .write(true)
                .create_new(true)
                .open(&path)
            {
                Ok(file) => {
                    file.lock()?;
                    let post = Post {
                        folder: folder.to_path_buf(),
                        order,
                        file,
                    };
                    post.publish(0.0)?;
                    return Ok(post);
                }
                // Another was started at the same moment.
                Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Tells the others what is kept.
    pub fn publish(&self, part: f64) -> Result<()> {
        self.file.write_all_at(worded(part).as_bytes(), 0)
    }

    /// Looks at the others.
    pub fn look(&self) -> Result<Seen> {
        let mut seen = Seen::default();
        for order in orders(&self.folder)?
            .into_iter()
            .filter(|o| *o != self.order)
        {
            let path = path(&self.folder, order);
            let Ok(mut file) = File::open(&path) else {
                continue;
            };
            match file.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    let read = file
                        .read_to_string(&mut text)
                        .ok()
                        .and_then(|_| read(&text));
                    seen.after |= order > self.order;
                    if order < self.order {
                        // Not to be read: it may keep all.
                        seen.before.push(read.unwrap_or(1.0));
                    }
                }
                Err(TryLockError::Error(e)) => return Err(e),
                Ok(()) => {
                    let age = file
                        .metadata()?
                        .modified()
                        .map(|m| SystemTime::now().duration_since(m));
                    if matches!(age, Ok(Ok(age)) if age > LEFT) {
                        let _ = std::fs::remove_file(&path);
                    }
                }
            }
        }
        Ok(seen)
    }
}

impl Drop for Post {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(path(&self.folder, self.order));
    }
}

fn path(folder: &Path, order: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{order}"))
}

fn orders(folder: &Path) -> Result<Vec<u64>> {
    let names = std::fs::read_dir(folder)?.filter_map(|e| e.ok()?.file_name().into_string().ok());
    Ok(names
        .filter_map(|n| n.strip_prefix(PREFIX)?.parse().ok())
        .collect())
}

fn worded(part: f64) -> String {
    // Never less than what is kept.
    let digits = format!("{:07}", (part.clamp(0.0, 1.0) * 1e6).ceil() as u32);
    format!("{digits}{:08x}\n", crc32fast::hash(digits.as_bytes()))
}

fn read(text: &str) -> Option<f64> {
    let (digits, sum) = text
        .strip_suffix('\n')
        .filter(|_| text.len() == LENGTH)?
        .split_at_checked(7)?;
    let right = u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(digits.as_bytes());
    right
        .then(|| digits.parse::<u32>().ok())
        .flatten()
        .map(|n| f64::from(n) / 1e6)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn processes_know_of_each_other_by_locks_and_not_by_files_left_behind() {
        let folder = std::env::temp_dir().join(format!("lupinrack-post-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        // One that was killed outright, and a foreign file.
        std::fs::write(folder.join("lupinrack-part-7"), worded(1.0)).unwrap();
        std::fs::write(folder.join("something"), "else").unwrap();
        let old = Post::take(&folder).unwrap();
        assert_eq!((old.order, old.look().unwrap()), (8, Seen::default()));
        old.publish(1.0).unwrap();
        let new = Post::take(&folder).unwrap();
        assert_eq!(
            new.look().unwrap(),
            Seen {
                before: vec![1.0],
                after: false
            }
        );
        assert_eq!(
            old.look().unwrap(),
            Seen {
                before: vec![],
                after: true
            }
        );
        old.publish(0.5).unwrap();
        assert_eq!(new.look().unwrap().before, [0.5]);
        // Damaged: it may keep all.
        old.file.write_all_at(b"0000001", 0).unwrap();
        assert_eq!(new.look().unwrap().before, [1.0]);
        drop(old);
        assert_eq!(new.look().unwrap(), Seen::default());
        drop(new);
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(Post::take(&folder).is_err());
    }
}

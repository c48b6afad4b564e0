//! The map's file: read at the start, written by replacing.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The longest file taken.
const LONGEST: u64 = 1 << 30;

/// Reads the file; none where there is none.
pub fn load(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::metadata(path) {
        Ok(meta) if meta.len() > LONGEST => Err(io::Error::other("longer than a map can be")),
        Ok(_) => fs::read(path).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Writes a new file beside the old one and puts it in its place, so that a crash leaves one of them whole.
pub(crate) fn save(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
#[path = "file_tests.rs"]
mod tests;

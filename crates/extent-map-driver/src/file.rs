//! The snapshot file: read at startup, replaced atomically.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The longest file accepted.
const MAX_FILE_BYTES: u64 = 1 << 30;

/// Reads the file; `None` if it does not exist.
pub fn load(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::metadata(path) {
        Ok(meta) if meta.len() > MAX_FILE_BYTES => {
            Err(io::Error::other("larger than any snapshot"))
        }
        Ok(_) => fs::read(path).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Writes a temporary file, syncs it and renames it over the old one, so that a crash leaves either file complete.
pub(crate) fn save(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
#[path = "file_tests.rs"]
mod tests;

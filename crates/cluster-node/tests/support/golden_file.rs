//! Files under `tests/golden` that hold what the program writes, byte for byte.

use std::path::PathBuf;

/// The environment variable that has the files written in place of compared: `UPDATE_GOLDEN=1`.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// Compares a whole file with what was written now. Since the file is compared whole, a part of it that is not written any
/// more is a difference like any other.
///
/// # Panics
///
/// Where the two differ.
pub fn check(name: &str, written: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    if std::env::var_os(UPDATE_VARIABLE).is_some_and(|value| value == "1") {
        std::fs::write(&path, written).expect("the file can be written");
        return;
    }
    let kept = std::fs::read_to_string(&path).expect("the file can be read");
    if kept == written {
        return;
    }
    let difference = kept
        .lines()
        .zip(written.lines())
        .enumerate()
        .find(|(_, (kept, written))| kept != written);
    match difference {
        Some((index, (kept, line))) => {
            panic!(
                "{name}, line {}:\nkept    {kept}\nwritten {line}\n\nall that was written:\n{written}",
                index + 1
            )
        }
        None => panic!(
            "{name}: {} bytes are kept, {} written",
            kept.len(),
            written.len()
        ),
    }
}

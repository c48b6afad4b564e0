//! Compares a text with a whole file.

use std::fs;
use std::path::Path;

/// The environment variable that makes tests write golden files when it is `1`.
pub const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// Maximum number of removed lines, and of added lines, that a failure shows.
const MAX_SHOWN_LINES: usize = 6;

/// Whether tests write the files instead of comparing them.
pub fn is_update() -> bool {
    std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1")
}

/// Compares a text byte for byte with the file at this path, or writes the file. Returns the text of the file.
///
/// # Panics
///
/// If they differ, or the file cannot be read or written.
pub fn check_text(path: impl AsRef<Path>, built: &str) -> String {
    let path = path.as_ref();
    if is_update() {
        write_text(path, built);
    }
    let kept = read_text(path);
    assert!(
        kept == built,
        "{} differs:\n{}",
        path.display(),
        differences(&kept, built)
    );
    kept
}

/// The first lines that are in only one of the texts: `-` marks kept lines, `+` built lines.
fn differences(kept: &str, built: &str) -> String {
    let (kept_lines, built_lines): (Vec<&str>, Vec<&str>) =
        (kept.lines().collect(), built.lines().collect());
    let removed = kept_lines
        .iter()
        .filter(|line| !built_lines.contains(line))
        .map(|line| format!("- {line}"));
    let added = built_lines
        .iter()
        .filter(|line| !kept_lines.contains(line))
        .map(|line| format!("+ {line}"));
    let shown: Vec<String> = removed
        .take(MAX_SHOWN_LINES)
        .chain(added.take(MAX_SHOWN_LINES))
        .collect();
    if shown.is_empty() {
        return "only the order of lines, the number of equal lines, or line ends differ"
            .to_owned();
    }
    shown.join("\n")
}

pub(crate) fn read_text(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn write_text(path: &Path, text: &str) {
    let folder = path.parent().unwrap_or(Path::new("."));
    let written = fs::create_dir_all(folder).and_then(|()| fs::write(path, text));
    written.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
}

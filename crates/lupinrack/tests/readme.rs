//! The README's tables list every crate of the workspace and no other.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The folders under `crates/` that hold a package.
fn crates_of_the_workspace() -> BTreeSet<String> {
    let folders = std::fs::read_dir(root().join("crates")).expect("the workspace has crates");
    folders
        .map(|folder| folder.expect("the folder can be read").path())
        .filter(|path| path.join("Cargo.toml").is_file())
        .filter_map(|path| Some(path.file_name()?.to_str()?.to_owned()))
        .collect()
}

/// The crates in the first column of the README's tables, as `crates/NAME` in backticks.
fn crates_of_the_readme() -> Vec<String> {
    let readme = std::fs::read_to_string(root().join("README.md")).expect("there is a README");
    let first_cells = readme
        .lines()
        .filter(|line| line.starts_with("| `crates/"))
        .filter_map(|line| line.split('|').nth(1));
    first_cells
        .flat_map(|cell| cell.split('`'))
        .filter_map(|name| name.strip_prefix("crates/"))
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_readme_lists_every_crate_once() {
    let listed = crates_of_the_readme();
    let distinct: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(
        distinct.len(),
        listed.len(),
        "the README lists a crate twice"
    );
    assert_eq!(distinct, crates_of_the_workspace());
}

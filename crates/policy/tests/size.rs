//! Limits the size of the decision module: each file under `policy` in `deploy/balancer.toml` is bounded,
//! and every file with decisions is listed there.

use std::path::{Path, PathBuf};

/// The largest number of non-blank lines in one file.
const MAX_NON_BLANK_LINES: usize = 340;
/// The largest number of characters in one line.
const MAX_LINE_CHARS: usize = 110;
/// Files of this package without decisions on requests.
const FILES_WITHOUT_DECISIONS: [&str; 3] = ["asking.rs", "interface.rs", "lib.rs"];
/// The folder of the types that the module and its embedder exchange. It has no decisions either.
const INTERFACE_FOLDER: &str = "crates/policy/src/interface";

struct Source {
    path: PathBuf,
    text: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the workspace exists")
}

/// The files that `deploy/balancer.toml` lists under `policy`, in its order.
fn policy_files() -> Vec<Source> {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml"))
        .expect("deploy/balancer.toml is readable");
    let deploy: toml::Table = deploy.parse().expect("deploy/balancer.toml is valid TOML");
    let files = deploy["policy"].as_array().expect("`policy` is a list");
    files
        .iter()
        .map(|file| source(root().join(file.as_str().expect("`policy` lists paths"))))
        .collect()
}

fn source(path: PathBuf) -> Source {
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    Source { path, text }
}

/// All files below a folder.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|entry| entry.expect("the entry is readable").path());
    entries
        .flat_map(|path| {
            if path.is_dir() {
                files_below(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

#[test]
fn every_file_of_the_module_stays_within_its_limits() {
    let sources = policy_files();
    for source in &sources {
        let lines = source.text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(
            lines <= MAX_NON_BLANK_LINES,
            "{}: {lines} non-blank lines",
            source.path.display()
        );
    }
    let wide: Vec<_> = sources
        .iter()
        .flat_map(|s| s.text.lines())
        .filter(|l| l.chars().count() > MAX_LINE_CHARS)
        .collect();
    assert!(
        wide.is_empty(),
        "over {MAX_LINE_CHARS} characters: {wide:?}"
    );
    let first_line = sources[0].text.lines().next().expect("a first line");
    assert!(
        first_line.contains("src/interface.rs"),
        "the first line names the interface"
    );
}

#[test]
fn every_file_with_decisions_is_listed_once() {
    let mut listed: Vec<PathBuf> = policy_files().into_iter().map(|s| s.path).collect();
    let files = listed.len();
    listed.sort();
    listed.dedup();
    assert_eq!(listed.len(), files, "a file is listed twice");
    let package_files = files_below(&root().join("crates/policy/src"));
    let unlisted: Vec<_> = package_files
        .iter()
        .filter(|path| {
            !FILES_WITHOUT_DECISIONS
                .iter()
                .any(|name| path.ends_with(format!("policy/src/{name}")))
        })
        .filter(|path| !path.starts_with(root().join(INTERFACE_FOLDER)))
        .filter(|path| !listed.contains(path))
        .collect();
    assert!(unlisted.is_empty(), "not under `policy`: {unlisted:?}");
    let delay = root().join("crates/dispatch/src/delay.rs");
    assert!(
        listed.contains(&delay),
        "the delay of the tags is listed, although it is in another package"
    );
}

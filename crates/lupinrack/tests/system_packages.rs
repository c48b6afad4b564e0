//! The system packages that a build needs: `deploy/system.toml` and the README name the same ones, and no library asks for
//! more than the linker.

use std::collections::BTreeSet;
use std::path::Path;

/// The command in the README's set-up; the packages follow it.
const INSTALL: &str = "apt-get install --no-install-recommends ";

/// Crates by which a build script compiles C or looks for a system library. Whoever comes to use one of them has to say
/// here why it needs no further package, or name the package.
const FINDERS_OF_SYSTEM_LIBRARIES: [&str; 7] = [
    "bindgen",
    "cmake",
    "nasm-rs",
    "pkg-config",
    "pyo3-build-config",
    "system-deps",
    "vcpkg",
];

/// Crates that depend on `cc`, and why none of them compiles anything here.
const USERS_OF_CC: [&str; 3] = [
    // Its feature `pure` is on: the build script then only asks whether there is a compiler.
    "blake3",
    // It compiles assembly for other processors and for Windows alone.
    "generator",
    // For another operating system.
    "iana-time-zone-haiku",
];

fn root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap()
}

fn table(path: &str) -> toml::Table {
    toml::from_str(&read(path)).unwrap()
}

fn listed() -> Vec<String> {
    let deployment = table("deploy/system.toml");
    let packages = deployment["packages"].as_array().unwrap().iter();
    packages
        .map(|name| name.as_str().unwrap().to_owned())
        .collect()
}

/// The names of a lock file's packages that depend on `dependency`.
fn dependents(lock: &toml::Table, dependency: &str) -> BTreeSet<String> {
    let packages = lock["package"]
        .as_array()
        .unwrap()
        .iter()
        .map(|package| package.as_table().unwrap());
    let depends = |package: &&toml::Table| {
        let dependencies = package.get("dependencies").and_then(|list| list.as_array());
        dependencies.is_some_and(|list| {
            list.iter()
                .any(|name| name.as_str().unwrap().split(' ').next() == Some(dependency))
        })
    };
    packages
        .filter(depends)
        .map(|package| package["name"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn the_readme_installs_what_the_deployment_lists() {
    let readme = read("README.md");
    let commands: Vec<&str> = readme
        .lines()
        .filter_map(|line| line.trim().strip_prefix(INSTALL))
        .collect();
    let named: Vec<Vec<&str>> = commands
        .iter()
        .map(|names| names.split_whitespace().collect())
        .collect();
    assert_eq!(named, [listed()]);
}

#[test]
fn each_package_is_listed_once() {
    let listed = listed();
    assert_eq!(listed.iter().collect::<BTreeSet<_>>().len(), listed.len());
}

#[test]
fn no_library_needs_a_package_that_is_not_listed() {
    let lock = table("Cargo.lock");
    for finder in FINDERS_OF_SYSTEM_LIBRARIES {
        assert_eq!(dependents(&lock, finder), BTreeSet::new(), "{finder}");
    }
    assert_eq!(
        dependents(&lock, "cc"),
        USERS_OF_CC.map(String::from).into_iter().collect()
    );
    let workspace = table("Cargo.toml");
    let features = workspace["workspace"]["dependencies"]["blake3"]["features"]
        .as_array()
        .unwrap();
    assert!(features
        .iter()
        .any(|feature| feature.as_str() == Some("pure")));
}

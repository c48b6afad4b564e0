//! The system packages that a build needs: `deploy/system.toml` and the README list the same ones, and no dependency needs more
//! than the linker.

use std::collections::BTreeSet;
use std::path::Path;

/// The install command in the README, which the package names follow.
const INSTALL: &str = "apt-get install --no-install-recommends ";

/// Crates with which a build script compiles C or searches a system library. A dependency on one of them needs an entry here
/// that says why no further package is needed, or an entry in the list of packages.
const SYSTEM_LIBRARY_FINDERS: [&str; 7] = [
    "bindgen",
    "cmake",
    "nasm-rs",
    "pkg-config",
    "pyo3-build-config",
    "system-deps",
    "vcpkg",
];

/// Crates that depend on `cc`, each with the reason why it compiles nothing here.
const CC_DEPENDENTS: [&str; 3] = [
    // With its feature `pure` the build script only checks whether there is a compiler.
    "blake3",
    // It compiles assembly only for other processors and for Windows.
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

fn read_toml(path: &str) -> toml::Table {
    toml::from_str(&read(path)).unwrap()
}

fn listed_packages() -> Vec<String> {
    let deployment = read_toml("deploy/system.toml");
    let packages = deployment["packages"].as_array().unwrap().iter();
    packages
        .map(|name| name.as_str().unwrap().to_owned())
        .collect()
}

/// The packages of a lock file that depend on `dependency`.
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
fn the_readme_installs_the_packages_of_the_deployment() {
    let readme = read("README.md");
    let commands: Vec<&str> = readme
        .lines()
        .filter_map(|line| line.trim().strip_prefix(INSTALL))
        .collect();
    let packages_of_commands: Vec<Vec<&str>> = commands
        .iter()
        .map(|names| names.split_whitespace().collect())
        .collect();
    assert_eq!(packages_of_commands, [listed_packages()]);
}

#[test]
fn each_package_is_listed_once() {
    let listed = listed_packages();
    assert_eq!(listed.iter().collect::<BTreeSet<_>>().len(), listed.len());
}

#[test]
fn no_dependency_needs_an_unlisted_package() {
    let lock = read_toml("Cargo.lock");
    for finder in SYSTEM_LIBRARY_FINDERS {
        assert_eq!(dependents(&lock, finder), BTreeSet::new(), "{finder}");
    }
    assert_eq!(
        dependents(&lock, "cc"),
        CC_DEPENDENTS.map(String::from).into_iter().collect()
    );
    let workspace = read_toml("Cargo.toml");
    let features = workspace["workspace"]["dependencies"]["blake3"]["features"]
        .as_array()
        .unwrap();
    assert!(features
        .iter()
        .any(|feature| feature.as_str() == Some("pure")));
}

//! Compares the file names in a folder with the names that tests build.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Checks that a folder contains exactly the files with these names, so that no file remains that no test reads.
///
/// # Panics
///
/// If a name is used twice, or the folder cannot be listed, lacks one of the files, or contains another one.
pub fn check_folder<N: AsRef<str>>(folder: impl AsRef<Path>, names: impl IntoIterator<Item = N>) {
    let folder = folder.as_ref();
    let mut expected = BTreeSet::new();
    for name in names {
        let name = name.as_ref();
        assert!(
            expected.insert(name.to_owned()),
            "the name {name} is used twice"
        );
    }
    let entries =
        fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    let found: BTreeSet<String> = entries
        .map(|entry| entry.unwrap_or_else(|error| panic!("{}: {error}", folder.display())))
        .map(|entry| entry.file_name().to_string_lossy().into_owned())
        .collect();
    assert_eq!(
        found,
        expected,
        "the files kept in {} and those that tests build",
        folder.display()
    );
}

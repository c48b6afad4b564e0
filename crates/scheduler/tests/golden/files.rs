//! Comparison of texts with the files that are kept.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Where this variable of the environment is set, files are written instead of compared.
pub const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// A text and the name of the file that holds it.
pub struct Golden {
    pub name: String,
    pub text: String,
}

/// Compares these texts with the files of a folder of `traces`, which may hold no others.
///
/// # Panics
///
/// Where a text differs from its file, or a text or a file has no partner.
pub fn check(folder: &str, built: &[Golden]) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/traces")
        .join(folder);
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        write(&folder, built);
    }
    let names: BTreeSet<String> = built.iter().map(|golden| golden.name.clone()).collect();
    assert_eq!(names.len(), built.len(), "names are used once");
    assert_eq!(
        names,
        names_in(&folder),
        "names built and names kept in {}",
        folder.display()
    );
    for golden in built {
        compare(&folder.join(&golden.name), &golden.text);
    }
}

fn write(folder: &Path, built: &[Golden]) {
    if folder.exists() {
        fs::remove_dir_all(folder).expect("the folder can be emptied");
    }
    fs::create_dir_all(folder).expect("the folder can be made");
    for golden in built {
        fs::write(folder.join(&golden.name), &golden.text).expect("the file can be written");
    }
}

fn names_in(folder: &Path) -> BTreeSet<String> {
    let entries = fs::read_dir(folder).expect("the folder can be listed");
    let paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("the folder can be read").path())
        .collect();
    let name = |path: &PathBuf| {
        path.file_name()
            .map(|name| name.to_string_lossy().into_owned())
    };
    paths.iter().filter_map(name).collect()
}

fn compare(file: &Path, text: &str) {
    let kept = fs::read_to_string(file).expect("the file can be read");
    let pairs = kept.lines().zip(text.lines()).enumerate();
    for (number, (kept, built)) in pairs {
        assert_eq!(kept, built, "line {} of {}", number + 1, file.display());
    }
    assert!(
        kept == text,
        "{} is longer or shorter than what was built",
        file.display()
    );
}

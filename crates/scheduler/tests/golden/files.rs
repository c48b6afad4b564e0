//! Comparison of texts with the golden files.

use lupinrack_golden_files::{check_folder, check_text, is_update, path};
use std::fs;
use std::path::Path;

/// A text and the name of its golden file.
pub struct Golden {
    pub name: String,
    pub text: String,
}

/// Compares these texts with the files of a folder of `traces`. The folder must not contain other files.
///
/// # Panics
///
/// Panics if a text differs from its file, if a text has no file, or if a file has no text.
pub fn check(folder: &str, built: &[Golden]) {
    let folder = Path::new(path!("traces")).join(folder);
    if is_update() && folder.exists() {
        // Removes files whose text is no longer built.
        fs::remove_dir_all(&folder).expect("the folder can be removed");
    }
    for golden in built {
        check_text(folder.join(&golden.name), &golden.text);
    }
    check_folder(&folder, built.iter().map(|golden| &golden.name));
}

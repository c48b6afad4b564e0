//! Comparison of texts with the files that are kept.

use lupinrack_golden_files::{check_folder, check_text, is_update, path};
use std::fs;
use std::path::Path;

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
    let folder = Path::new(path!("traces")).join(folder);
    if is_update() && folder.exists() {
        // A file whose text is not built any more goes.
        fs::remove_dir_all(&folder).expect("the folder can be emptied");
    }
    for golden in built {
        check_text(folder.join(&golden.name), &golden.text);
    }
    check_folder(&folder, built.iter().map(|golden| &golden.name));
}

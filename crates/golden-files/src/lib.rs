//! Golden files: encoded examples of what a crate writes to a socket or a disk, or prints, stored beside its tests.
//!
//! A test builds each value in code, compares its encoding byte for byte with the kept encoding, and checks that the kept
//! encoding decodes into the value. This detects every change of an encoding, even one that changes writer and reader
//! alike. [`GoldenFile`] compares named examples, one per line; [`check_text`] compares a whole file; [`check_folder`]
//! finds files that no test builds.
//!
//! With the environment variable [`UPDATE_VARIABLE`] set to `1` tests write the files instead of comparing them.
//!
//! This crate is only a development dependency; no deployed build contains it.
//!
//! ```no_run
//! use lupinrack_golden_files::{path, GoldenFile};
//!
//! let mut file = GoldenFile::open(path!("messages.txt"));
//! file.add_bytes("ping", &[0x01, 0x02]);
//! let kept = file.check();
//! assert_eq!(kept.bytes("ping"), [0x01, 0x02]);
//! ```

mod folder;
mod golden_file;
mod hex;
mod kept_examples;
mod text_file;

pub use folder::check_folder;
pub use golden_file::GoldenFile;
pub use hex::{from_hex, to_hex};
pub use kept_examples::KeptExamples;
pub use text_file::{check_text, is_update, UPDATE_VARIABLE};

/// The path of a golden file of the calling crate, or of the folder of its golden files: `path!("frames.txt")`, `path!()`.
#[macro_export]
macro_rules! path {
    () => {
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden")
    };
    ($file:literal) => {
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $file)
    };
}

//! Saving and loading of the snapshot file.

use super::{load, save};

#[test]
fn a_save_replaces_the_file_and_a_missing_file_loads_as_none() {
    let directory = std::env::temp_dir().join(format!("lupinrack-map-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("extents.map");
    assert!(load(&file).unwrap().is_none());
    save(&file, b"one").unwrap();
    save(&file, b"another").unwrap();
    assert_eq!(load(&file).unwrap().as_deref(), Some(&b"another"[..]));
    assert_eq!(
        std::fs::read_dir(&directory).unwrap().count(),
        1,
        "no temporary file is left"
    );
    // The directory does not exist.
    assert!(save(&directory.join("none/extents.map"), b"x").is_err());
    std::fs::remove_dir_all(&directory).unwrap();
    assert!(load(&directory).unwrap().is_none());
}

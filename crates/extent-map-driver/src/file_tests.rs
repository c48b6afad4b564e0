//! The file is replaced whole, or stays as it was.

use super::{load, save};

#[test]
fn a_file_is_replaced_whole_and_one_that_is_missing_is_none() {
    let folder = std::env::temp_dir().join(format!("lupinrack-map-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("extents.map");
    assert!(load(&file).unwrap().is_none());
    save(&file, b"one").unwrap();
    save(&file, b"another").unwrap();
    assert_eq!(load(&file).unwrap().as_deref(), Some(&b"another"[..]));
    assert_eq!(
        std::fs::read_dir(&folder).unwrap().count(),
        1,
        "nothing is left beside it"
    );
    // A folder that is not there: the old file stays.
    assert!(save(&folder.join("none/extents.map"), b"x").is_err());
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(load(&folder).unwrap().is_none());
}

//! Names of the files in a store's directory.

/// The data file.
pub const DATA_FILE: &str = "data.redb";

/// The name of a data file that is being created and has no commit yet.
pub const NEW_FILE: &str = "data.redb.new";

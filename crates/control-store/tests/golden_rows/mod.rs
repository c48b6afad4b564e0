//! Rows of a data file, read and written without the store.

use redb::{Builder, Database, ReadableTable, TableDefinition, TableHandle};
use std::path::Path;

/// A row's kind, and its number among those of its kind.
pub(crate) type Key = (u8, u64);

/// A row: its key and its bytes.
pub(crate) type Row = (Key, Vec<u8>);

/// The table of all rows, defined independently of the store.
const TABLE: TableDefinition<Key, &[u8]> = TableDefinition::new("control");

/// All rows of a file.
pub(crate) fn read_rows(file: &Path) -> Vec<Row> {
    let database = Database::open(file).expect("a sound file");
    let transaction = database.begin_read().expect("a sound file");
    let table = transaction.open_table(TABLE).expect("the table is there");
    let rows = table
        .iter()
        .expect("a sound table")
        .map(|row| row.expect("a sound row"));
    rows.map(|(key, bytes)| (key.value(), bytes.value().to_vec()))
        .collect()
}

/// Makes a file of these rows.
pub(crate) fn write_rows(file: &Path, rows: &[Row]) {
    let database = Builder::new()
        .create_with_file_format_v3(true)
        .create(file)
        .expect("a new file");
    let transaction = database.begin_write().expect("a working disk");
    {
        let mut table = transaction.open_table(TABLE).expect("a new table");
        for (key, bytes) in rows {
            table.insert(key, bytes.as_slice()).expect("a working disk");
        }
    }
    transaction.commit().expect("a working disk");
}

/// The names of a file's tables.
pub(crate) fn table_names(file: &Path) -> Vec<String> {
    let database = Database::open(file).expect("a sound file");
    let transaction = database.begin_read().expect("a sound file");
    let tables = transaction
        .list_tables()
        .expect("a sound file")
        .map(|table| table.name().to_owned());
    let maps = transaction.list_multimap_tables().expect("a sound file");
    assert_eq!(maps.count(), 0, "the store has no table of lists");
    tables.collect()
}

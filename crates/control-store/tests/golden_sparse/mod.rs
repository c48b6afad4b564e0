//! Files with few different blocks, as lines `offset xCOUNT: block`. Blocks of zeros are omitted.

use lupinrack_golden_files::{from_hex, to_hex};
use std::fs;
use std::path::Path;

/// Bytes of a block.
const BLOCK_BYTES: usize = 64;
/// Begins the line of the file's length.
const LENGTH: &str = "length";

/// Writes these bytes to a file in the sparse form.
pub(crate) fn write_sparse(file: &Path, bytes: &[u8]) {
    let mut text = format!("{LENGTH}: {}\n", bytes.len());
    let blocks: Vec<&[u8]> = bytes.chunks(BLOCK_BYTES).collect();
    let mut first = 0;
    for run in blocks.chunk_by(|one, next| one == next) {
        if run[0].iter().any(|byte| *byte != 0) {
            text.push_str(&format!(
                "{} x{}: {}\n",
                first * BLOCK_BYTES,
                run.len(),
                to_hex(run[0])
            ));
        }
        first += run.len();
    }
    fs::write(file, text).expect("the file can be written");
}

/// Reads the bytes that [`write_sparse`] wrote.
pub(crate) fn read_sparse(file: &Path) -> Vec<u8> {
    let text = fs::read_to_string(file).expect("the file is there");
    let mut lines = text
        .lines()
        .map(|line| line.split_once(": ").expect("a line has two parts"));
    let (first, length) = lines.next().expect("the file has a line");
    assert_eq!(first, LENGTH);
    let mut bytes = vec![0; length.parse().expect("a length")];
    for (place, block) in lines {
        let (offset, count) = place.split_once(" x").expect("a place has two parts");
        let offset: usize = offset.parse().expect("an offset");
        let run = from_hex(block).repeat(count.parse().expect("a count"));
        bytes[offset..offset + run.len()].copy_from_slice(&run);
    }
    bytes
}

//! Unpacks disks that an earlier version wrote: the unpacked length in four bytes, little-endian, then one LZ4 block.
//!
//! The block format: <https://github.com/lz4/lz4/blob/dev/doc/lz4_Block_format.md>.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;
/// A length of this value in a token is extended by the bytes that follow.
const EXTENDED_LENGTH: usize = 15;
/// The shortest match, in bytes.
const MIN_MATCH_BYTES: usize = 4;

/// Unpacks a file.
///
/// # Panics
///
/// Panics if the file is incomplete.
pub fn unpack(packed: &[u8]) -> Vec<u8> {
    let (length, block) = packed.split_at(LENGTH_BYTES);
    let length = u32::from_le_bytes(length.try_into().expect("four bytes")) as usize;
    let unpacked = decode_block(block);
    assert_eq!(unpacked.len(), length, "the file is complete");
    unpacked
}

fn decode_block(block: &[u8]) -> Vec<u8> {
    let mut input = block.iter().copied();
    let mut output: Vec<u8> = Vec::new();
    while let Some(token) = input.next() {
        let literals = read_length(usize::from(token >> 4), &mut input);
        output.extend(input.by_ref().take(literals));
        let Some(low) = input.next() else { break };
        let offset = usize::from(u16::from_le_bytes([
            low,
            input.next().expect("an offset of two bytes"),
        ]));
        let length = read_length(usize::from(token & 0x0f), &mut input) + MIN_MATCH_BYTES;
        // A match may overlap its own output and then repeats it.
        for _ in 0..length {
            output.push(output[output.len() - offset]);
        }
    }
    output
}

fn read_length(in_token: usize, input: &mut impl Iterator<Item = u8>) -> usize {
    let mut length = in_token;
    if in_token == EXTENDED_LENGTH {
        loop {
            let byte = input.next().expect("an extended length has a next byte");
            length += usize::from(byte);
            if byte != u8::MAX {
                break;
            }
        }
    }
    length
}

/// A temporary folder with an unpacked disk; removed on drop.
#[derive(Debug)]
pub struct UnpackedDisk(PathBuf);

/// The number of disks that this process has unpacked.
static UNPACKED_DISKS: AtomicU32 = AtomicU32::new(0);

impl UnpackedDisk {
    /// Unpacks `tests/disks/{name}.lz4` into a new folder, as a file named `file`.
    pub fn new(name: &str, file: &str) -> UnpackedDisk {
        let number = UNPACKED_DISKS.fetch_add(1, Ordering::Relaxed);
        let folder = format!("lupinrack-{name}-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let packed = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/disks/{name}.lz4"));
        let packed = fs::read(packed).expect("the packed disk can be read");
        fs::create_dir_all(&folder).expect("a folder can be made");
        fs::write(folder.join(file), unpack(&packed)).expect("the disk can be written");
        UnpackedDisk(folder)
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.0
    }
}

impl Drop for UnpackedDisk {
    fn drop(&mut self) {
        // A failed removal only leaves a temporary folder behind.
        let _ = fs::remove_dir_all(&self.0);
    }
}

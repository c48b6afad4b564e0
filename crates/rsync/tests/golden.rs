//! Golden files of the encoded rsync daemon protocol, as this front writes it.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_rsync::wire::{
    encode_file_list, encode_stats, FileChecksum, FileEntry, Reader, Writer,
};

fn entry(name: impl AsRef<[u8]>, size: u64, mtime: i32, mode: u32) -> FileEntry {
    FileEntry {
        name: name.as_ref().to_vec(),
        size,
        mtime,
        mode,
    }
}

/// File file_lists, sorted as both peers sort them.
fn file_lists() -> Vec<(&'static str, Vec<FileEntry>)> {
    let long_name = "x".repeat(300);
    vec![
        ("empty", Vec::new()),
        (
            "one_file",
            vec![entry("trips.csv", 0x0102_0304, 0x1112_1314, 0o100_644)],
        ),
        (
            "folders_and_files",
            vec![
                entry(".", 4_096, 0x1112_1314, 0o040_755),
                entry("a", 4_097, 0x1112_1314, 0o040_755),
                // Names share a prefix with the one before; time and mode change one at a time.
                entry("a/one", 1, 0x2122_2324, 0o100_644),
                entry("a/two", 2, 0x2122_2324, 0o100_600),
                entry("a/two.more", 3, -5, 0o100_600),
                entry("b", 0, -5, 0o100_600),
            ],
        ),
        (
            "size_of_64_bits",
            vec![
                entry("big", 0x0102_0304_0506, 7, 0o100_644),
                entry("small", 0x7fff_ffff, 8, 0o100_644),
            ],
        ),
        (
            "long_names",
            vec![
                entry(&long_name, 1, 1, 0o100_644),
                // A name shares 255 bytes with the one before at most.
                entry(format!("{long_name}y"), 2, 1, 0o100_644),
            ],
        ),
    ]
}

/// I/O error flags after a file list: no error.
const NO_ERRORS: [u8; 4] = [0; 4];

#[tokio::test]
async fn file_lists_match_the_golden_file() {
    let mut examples = GoldenFile::open(path!("file-lists.txt"));
    for (name, entries) in file_lists() {
        examples.add_bytes(name, &encode_file_list(&entries));
    }
    let golden = examples.check();
    for (name, entries) in file_lists() {
        let bytes = [&golden.bytes(name)[..], &NO_ERRORS].concat();
        assert_eq!(
            Reader::new(&bytes[..]).read_file_list().await.unwrap(),
            entries,
            "{name}"
        );
    }
}

/// The bytes that a writer writes to its connection.
async fn written_bytes(multiplexed: bool, data: &[u8], error: Option<&str>) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes);
    if multiplexed {
        writer.multiplex();
    }
    match error {
        Some(text) => writer.write_error(text).await.unwrap(),
        None => writer.write_data(data).await.unwrap(),
    }
    bytes
}

#[tokio::test]
async fn frames_match_the_golden_file() {
    let two_frames_data: Vec<u8> = (0..(32 << 10) + 5).map(|index| index as u8).collect();
    let mut examples = GoldenFile::open(path!("frames.txt"));
    examples.add_bytes(
        "plain_data",
        &written_bytes(false, b"some data", None).await,
    );
    examples.add_bytes("plain_error", &written_bytes(false, b"", Some("why")).await);
    examples.add_bytes("data", &written_bytes(true, b"some data", None).await);
    examples.add_bytes("no_data", &written_bytes(true, b"", None).await);
    examples.add_bytes("error", &written_bytes(true, b"", Some("why")).await);
    // Data that takes two frames: the header of the first, and the complete second frame.
    let two_frames = written_bytes(true, &two_frames_data, None).await;
    examples.add_bytes("two_frames_first_head", &two_frames[..4]);
    examples.add_bytes("two_frames_second", &two_frames[4 + (32 << 10)..]);
    let golden = examples.check();

    let bytes = [golden.bytes("error"), golden.bytes("data")].concat();
    let mut reader = Reader::new(&bytes[..]);
    reader.demultiplex();
    assert_eq!(reader.read_bytes(9).await.unwrap(), &b"some data"[..]);
    assert_eq!(reader.messages, ["@ERROR: why"]);
}

#[tokio::test]
async fn session_statistics_match_the_golden_file() {
    let statistics = [0x0102_0304, 0x7fff_ffff, 0x0506_0708_090a];
    let mut examples = GoldenFile::open(path!("figures.txt"));
    examples.add_bytes(
        "figures",
        &encode_stats(statistics[0], statistics[1], statistics[2]),
    );
    let golden = examples.check();
    assert_eq!(
        Reader::new(&golden.bytes("figures")[..])
            .read_stats()
            .await
            .unwrap(),
        statistics
    );
}

#[test]
fn file_checksums_match_the_golden_file() {
    let checksum_of = |seed, parts: &[&[u8]]| {
        let mut checksum = FileChecksum::new(seed);
        parts.iter().for_each(|part| checksum.update(part));
        checksum.finalize()
    };
    let mut examples = GoldenFile::open(path!("sums.txt"));
    examples.add_bytes("empty", &checksum_of(0, &[]));
    examples.add_bytes("seeded", &checksum_of(0x0102_0304, &[b"some ", b"data"]));
    examples.add_bytes("negative_seed", &checksum_of(-5, &[b"some data"]));
    examples.check();
}

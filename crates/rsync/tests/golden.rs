//! Golden files of the rsync daemon protocol's bytes, as this front writes them.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_rsync::wire::{list, stats, Entry, Reader, Sum, Writer};

fn entry(name: impl AsRef<[u8]>, size: u64, mtime: i32, mode: u32) -> Entry {
    Entry {
        name: name.as_ref().to_vec(),
        size,
        mtime,
        mode,
    }
}

/// Lists in the order in which both sides sort them.
fn lists() -> Vec<(&'static str, Vec<Entry>)> {
    let long = "x".repeat(300);
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
                // The name begins as the one before; time and mode follow one by one.
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
                entry(&long, 1, 1, 0o100_644),
                // No more than 255 bytes of a name are taken from the one before.
                entry(format!("{long}y"), 2, 1, 0o100_644),
            ],
        ),
    ]
}

/// The mark of errors that follows a list.
const NO_ERRORS: [u8; 4] = [0; 4];

#[tokio::test]
async fn file_lists_keep_their_form() {
    let mut examples = GoldenFile::open(path!("file-lists.txt"));
    for (name, entries) in lists() {
        examples.add_bytes(name, &list(&entries));
    }
    let kept = examples.check();
    for (name, entries) in lists() {
        let bytes = [&kept.bytes(name)[..], &NO_ERRORS].concat();
        assert_eq!(
            Reader::new(&bytes[..]).list().await.unwrap(),
            entries,
            "{name}"
        );
    }
}

/// What a writer puts on its connection.
async fn written(multiplexed: bool, data: &[u8], error: Option<&str>) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes);
    if multiplexed {
        writer.multiplex();
    }
    match error {
        Some(text) => writer.error(text).await.unwrap(),
        None => writer.data(data).await.unwrap(),
    }
    bytes
}

#[tokio::test]
async fn frames_keep_their_form() {
    let long: Vec<u8> = (0..(32 << 10) + 5).map(|i| i as u8).collect();
    let mut examples = GoldenFile::open(path!("frames.txt"));
    examples.add_bytes("plain_data", &written(false, b"some data", None).await);
    examples.add_bytes("plain_error", &written(false, b"", Some("why")).await);
    examples.add_bytes("data", &written(true, b"some data", None).await);
    examples.add_bytes("no_data", &written(true, b"", None).await);
    examples.add_bytes("error", &written(true, b"", Some("why")).await);
    // Of data that takes two frames, the heads and the second frame's content.
    let two = written(true, &long, None).await;
    examples.add_bytes("two_frames_first_head", &two[..4]);
    examples.add_bytes("two_frames_second", &two[4 + (32 << 10)..]);
    let kept = examples.check();

    let bytes = [kept.bytes("error"), kept.bytes("data")].concat();
    let mut reader = Reader::new(&bytes[..]);
    reader.demultiplex();
    assert_eq!(reader.bytes(9).await.unwrap(), &b"some data"[..]);
    assert_eq!(reader.said, ["@ERROR: why"]);
}

#[tokio::test]
async fn figures_that_end_a_transfer_keep_their_form() {
    let figures = [0x0102_0304, 0x7fff_ffff, 0x0506_0708_090a];
    let mut examples = GoldenFile::open(path!("figures.txt"));
    examples.add_bytes("figures", &stats(figures[0], figures[1], figures[2]));
    let kept = examples.check();
    assert_eq!(
        Reader::new(&kept.bytes("figures")[..])
            .stats()
            .await
            .unwrap(),
        figures
    );
}

#[test]
fn sums_of_files_stay() {
    let sum = |seed, parts: &[&[u8]]| {
        let mut sum = Sum::new(seed);
        parts.iter().for_each(|part| sum.add(part));
        sum.end()
    };
    let mut examples = GoldenFile::open(path!("sums.txt"));
    examples.add_bytes("empty", &sum(0, &[]));
    examples.add_bytes("seeded", &sum(0x0102_0304, &[b"some ", b"data"]));
    examples.add_bytes("negative_seed", &sum(-5, &[b"some data"]));
    examples.check();
}

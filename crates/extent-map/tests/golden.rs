//! Golden files of the extent map: datagrams between fronts, the authority's JSON, the snapshot file, and the counters.

use lupinrack_extent_map::map::Map;
use lupinrack_extent_map::{
    datagram, snapshot, Change, Counters, FetchResponse, KeyRange, PollResponse, Version,
};
use lupinrack_golden_files::{check_text, path, GoldenFile};
use lupinrack_policy::VolumeId;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

const VERSION: Version = Version {
    incarnation: 0x0102_0304_0506_0708,
    epoch: 0x1112_1314_1516_1718,
};

fn change(n: u64, shard: Option<u32>) -> Change {
    Change {
        volume: VolumeId(0xa1a2_a3a4_a5a6_a700 + n),
        first: 0x2122_2324_2526_2700 + n,
        last: 0x3132_3334_3536_3700 + n,
        shard,
        epoch: 0x4142_4344_4546_4700 + n,
    }
}

#[test]
fn datagrams_keep_their_format() {
    let max_changes: Vec<Change> = (1..=datagram::MAX_CHANGES as u64)
        .map(|n| change(n, Some(0x5152_5300 + n as u32)))
        .collect();
    let cases = [
        ("one_move", vec![change(1, Some(0x5152_5354))]),
        ("no_shard", vec![change(2, None)]),
        ("as_many_as_go_at_once", max_changes),
    ];
    let mut examples = GoldenFile::open(path!("datagrams.txt"));
    for (name, changes) in &cases {
        examples.add_bytes(*name, &datagram::encode(VERSION.incarnation, changes));
    }
    let golden = examples.check();
    for (name, changes) in cases {
        assert_eq!(
            datagram::decode(&golden.bytes(name)),
            Ok((VERSION.incarnation, changes)),
            "{name}"
        );
    }
}

/// Compares a value's JSON with the golden file, and checks that the golden file decodes to the value.
fn check_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap() + "\n";
    let golden = check_text(file, &text);
    assert_eq!(
        serde_json::from_str::<T>(&golden).unwrap(),
        *value,
        "{file}"
    );
}

#[test]
fn authority_answers_keep_their_json() {
    let changes = vec![change(1, Some(7)), change(2, None)];
    check_json(
        path!("news.json"),
        &PollResponse {
            version: VERSION,
            reset: true,
            full_map: true,
            changes: changes.clone(),
        },
    );
    check_json(
        path!("news-changes.json"),
        &PollResponse {
            version: VERSION,
            reset: false,
            full_map: false,
            changes,
        },
    );
    let extents = vec![change(3, Some(8)), change(4, Some(9))];
    let response = FetchResponse {
        version: VERSION,
        volume: VolumeId(0xb),
        first: 0,
        last: u64::MAX,
        extents,
    };
    check_json(path!("cover.json"), &response);
    let no_extents = FetchResponse {
        volume: VolumeId(u64::MAX),
        first: 0x1f,
        last: 0x2f,
        extents: Vec::new(),
        ..response
    };
    check_json(path!("cover-nothing.json"), &no_extents);
}

/// An authority may omit fields that are false or empty.
#[test]
fn poll_response_fields_are_optional_except_the_version() {
    let minimal: PollResponse =
        serde_json::from_str(r#"{"version": {"incarnation": 3, "epoch": 5}}"#).unwrap();
    let version = Version {
        incarnation: 3,
        epoch: 5,
    };
    assert_eq!(
        minimal,
        PollResponse {
            version,
            reset: false,
            full_map: false,
            changes: Vec::new()
        }
    );
}

#[test]
fn versions_keep_their_text() {
    let mut examples = GoldenFile::open(path!("versions.txt"));
    examples.add("version", VERSION);
    let golden = examples.check();
    assert_eq!(golden.text("version").parse(), Ok(VERSION));
}

fn add_volume(map: &mut Map, volume: u64, extents: &[(u64, u64, u32)]) {
    let volume = VolumeId(volume);
    map.add_pending(0, volume, 0);
    let extents = extents.iter().map(|(first, last, shard)| Change {
        volume,
        first: *first,
        last: *last,
        shard: Some(*shard),
        epoch: VERSION.epoch - u64::from(*shard),
    });
    let response = FetchResponse {
        version: VERSION,
        volume,
        first: 0,
        last: u64::MAX,
        extents: extents.collect(),
    };
    assert!(map.apply_fetch(&response).is_some());
}

#[test]
fn the_snapshot_file_keeps_its_format() {
    let mut map = Map::new(1_000, 100);
    add_volume(
        &mut map,
        0xa1a2_a3a4_a5a6_a7a8,
        &[
            (0, 99, 1),
            (100, 0x2122_2324_2526_2728, 2),
            (u64::MAX - 9, u64::MAX, 3),
        ],
    );
    add_volume(&mut map, 0xb1b2_b3b4_b5b6_b7b8, &[(7, 8, 300)]);
    add_volume(&mut map, 3, &[]);
    // Volumes that may be stale or are incomplete are not saved.
    add_volume(&mut map, 4, &[(1, 2, 3)]);
    map.mark_stale(VolumeId(4), VERSION.epoch);
    map.add_pending(0, VolumeId(5), 0);
    let mut examples = GoldenFile::open(path!("snapshots.txt"));
    examples.add_bytes("map", &snapshot::encode(VERSION, &map));
    examples.add_bytes(
        "empty",
        &snapshot::encode(Version::default(), &Map::new(10, 10)),
    );
    let golden = examples.check();

    let mut restored = Map::new(1_000, 100);
    assert_eq!(
        snapshot::decode(0, &golden.bytes("map"), &mut restored).unwrap(),
        VERSION
    );
    let mut volumes: Vec<u64> = restored.iter().map(|(id, _)| id.0).collect();
    volumes.sort_unstable();
    assert_eq!(volumes, [3, 0xa1a2_a3a4_a5a6_a7a8, 0xb1b2_b3b4_b5b6_b7b8]);
    for volume in volumes.into_iter().map(VolumeId) {
        let ranges = |map: &Map| {
            map.get(volume)
                .unwrap()
                .ranges
                .iter()
                .collect::<Vec<KeyRange>>()
        };
        assert_eq!(ranges(&restored), ranges(&map), "{volume:?}");
    }
    let mut empty = Map::new(10, 10);
    assert_eq!(
        snapshot::decode(0, &golden.bytes("empty"), &mut empty).unwrap(),
        Version::default()
    );
    assert_eq!(empty.volumes(), 0);
}

#[test]
fn counters_keep_their_names() {
    let counters = Counters {
        polls: 1,
        fetches: 2,
        failed_calls: 3,
        changes: 4,
        resets: 5,
        stale_answers: 6,
        wrong_shard_rejections: 7,
        ignored_hints: 8,
        deferred_fetches: 9,
        datagrams_sent: 10,
        datagrams_received: 11,
        malformed_datagrams: 12,
        peer_changes: 13,
        unconfirmed: 14,
        evicted_volumes: 15,
    };
    check_text(
        path!("counters.json"),
        &(serde_json::to_string_pretty(&counters).unwrap() + "\n"),
    );
}

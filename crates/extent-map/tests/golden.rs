//! Golden files of the map of extents: datagrams between fronts, the authority's JSON, the map's file, and the counters.

use lupinrack_extent_map::map::Map;
use lupinrack_extent_map::{datagram, snapshot, Change, Counters, Cover, News, Piece, Version};
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
fn datagrams_keep_their_form() {
    let all: Vec<Change> = (1..=datagram::MOST as u64)
        .map(|n| change(n, Some(0x5152_5300 + n as u32)))
        .collect();
    let cases = [
        ("one_move", vec![change(1, Some(0x5152_5354))]),
        ("no_shard", vec![change(2, None)]),
        ("as_many_as_go_at_once", all),
    ];
    let mut examples = GoldenFile::open(path!("datagrams.txt"));
    for (name, changes) in &cases {
        examples.add_bytes(*name, &datagram::encode(VERSION.incarnation, changes));
    }
    let kept = examples.check();
    for (name, changes) in cases {
        assert_eq!(
            datagram::decode(&kept.bytes(name)),
            Ok((VERSION.incarnation, changes)),
            "{name}"
        );
    }
}

/// Compares one JSON text with its file, and reads the file's back.
fn same_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap() + "\n";
    let kept = check_text(file, &text);
    assert_eq!(serde_json::from_str::<T>(&kept).unwrap(), *value, "{file}");
}

#[test]
fn the_authoritys_answers_keep_their_form() {
    let changes = vec![change(1, Some(7)), change(2, None)];
    same_json(
        path!("news.json"),
        &News {
            version: VERSION,
            reset: true,
            whole: true,
            changes: changes.clone(),
        },
    );
    same_json(
        path!("news-changes.json"),
        &News {
            version: VERSION,
            reset: false,
            whole: false,
            changes,
        },
    );
    let extents = vec![change(3, Some(8)), change(4, Some(9))];
    let cover = Cover {
        version: VERSION,
        volume: VolumeId(0xb),
        first: 0,
        last: u64::MAX,
        extents,
    };
    same_json(path!("cover.json"), &cover);
    let nothing = Cover {
        volume: VolumeId(u64::MAX),
        first: 0x1f,
        last: 0x2f,
        extents: Vec::new(),
        ..cover
    };
    same_json(path!("cover-nothing.json"), &nothing);
}

/// An authority may leave out what is false or empty.
#[test]
fn news_may_be_short() {
    let short: News =
        serde_json::from_str(r#"{"version": {"incarnation": 3, "epoch": 5}}"#).unwrap();
    let version = Version {
        incarnation: 3,
        epoch: 5,
    };
    assert_eq!(
        short,
        News {
            version,
            reset: false,
            whole: false,
            changes: Vec::new()
        }
    );
}

#[test]
fn versions_keep_their_text() {
    let mut examples = GoldenFile::open(path!("versions.txt"));
    examples.add("version", VERSION);
    let kept = examples.check();
    assert_eq!(kept.text("version").parse(), Ok(VERSION));
}

fn held(map: &mut Map, volume: u64, extents: &[(u64, u64, u32)]) {
    let volume = VolumeId(volume);
    map.expect(0, volume, 0);
    let extents = extents.iter().map(|(first, last, shard)| Change {
        volume,
        first: *first,
        last: *last,
        shard: Some(*shard),
        epoch: VERSION.epoch - u64::from(*shard),
    });
    let cover = Cover {
        version: VERSION,
        volume,
        first: 0,
        last: u64::MAX,
        extents: extents.collect(),
    };
    assert!(map.cover(&cover).is_some());
}

#[test]
fn the_maps_file_keeps_its_form() {
    let mut map = Map::new(1_000, 100);
    held(
        &mut map,
        0xa1a2_a3a4_a5a6_a7a8,
        &[
            (0, 99, 1),
            (100, 0x2122_2324_2526_2728, 2),
            (u64::MAX - 9, u64::MAX, 3),
        ],
    );
    held(&mut map, 0xb1b2_b3b4_b5b6_b7b8, &[(7, 8, 300)]);
    held(&mut map, 3, &[]);
    // Neither one in doubt nor one of which only changes are known is kept.
    held(&mut map, 4, &[(1, 2, 3)]);
    map.doubt(VolumeId(4), VERSION.epoch);
    map.expect(0, VolumeId(5), 0);
    let mut examples = GoldenFile::open(path!("snapshots.txt"));
    examples.add_bytes("map", &snapshot::encode(VERSION, &map));
    examples.add_bytes(
        "empty",
        &snapshot::encode(Version::default(), &Map::new(10, 10)),
    );
    let kept = examples.check();

    let mut read = Map::new(1_000, 100);
    assert_eq!(
        snapshot::decode(0, &kept.bytes("map"), &mut read).unwrap(),
        VERSION
    );
    let mut volumes: Vec<u64> = read.iter().map(|(id, _)| id.0).collect();
    volumes.sort_unstable();
    assert_eq!(volumes, [3, 0xa1a2_a3a4_a5a6_a7a8, 0xb1b2_b3b4_b5b6_b7b8]);
    for volume in volumes.into_iter().map(VolumeId) {
        let pieces = |map: &Map| {
            map.get(volume)
                .unwrap()
                .ranges
                .iter()
                .collect::<Vec<Piece>>()
        };
        assert_eq!(pieces(&read), pieces(&map), "{volume:?}");
    }
    let mut none = Map::new(10, 10);
    assert_eq!(
        snapshot::decode(0, &kept.bytes("empty"), &mut none).unwrap(),
        Version::default()
    );
    assert_eq!(none.volumes(), 0);
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
        wrong_turns: 7,
        unfounded_hints: 8,
        put_off: 9,
        told: 10,
        heard: 11,
        unreadable: 12,
        peer_news: 13,
        unconfirmed: 14,
        left: 15,
    };
    check_text(
        path!("counters.json"),
        &(serde_json::to_string_pretty(&counters).unwrap() + "\n"),
    );
}

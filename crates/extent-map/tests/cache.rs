//! The cache against a naive authority under random changes, losses, reorders and lies; and each hard case by itself.

use lupinrack_extent_map::config::{Section, Strategy};
use lupinrack_extent_map::*;
use lupinrack_policy::{Key, Micros, Shard, VolumeId};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;

fn section() -> Section {
    Section {
        enabled: true,
        ..Section::default()
    }
}

/// The authority, naively: every change ever made.
struct Truth {
    version: Version,
    changes: Vec<Change>,
}

impl Truth {
    fn new() -> Truth {
        Truth {
            version: Version {
                incarnation: 5,
                epoch: 0,
            },
            changes: Vec::new(),
        }
    }

    fn put(&mut self, volume: u64, first: u64, last: u64, shard: u32) -> Change {
        self.version.epoch += 1;
        let change = Change {
            volume: VolumeId(volume),
            first,
            last,
            shard: Some(shard),
            epoch: self.version.epoch,
        };
        self.changes.push(change);
        change
    }

    fn shard(&self, volume: u64, key: u64) -> Option<u32> {
        self.change_at(volume, key).and_then(|c| c.shard)
    }

    fn change_at(&self, volume: u64, key: u64) -> Option<&Change> {
        self.changes
            .iter()
            .rev()
            .find(|c| c.volume.0 == volume && (c.first..=c.last).contains(&key))
    }

    fn news(&self, from: u64) -> News {
        let changes = self
            .changes
            .iter()
            .filter(|c| c.epoch > from)
            .copied()
            .collect();
        News {
            version: self.version,
            reset: false,
            whole: false,
            changes,
        }
    }

    /// The extents of a volume, cut at every bound of every change.
    fn cover(&self, volume: u64, within: (u64, u64)) -> Cover {
        let mut cuts: Vec<u64> = vec![within.0];
        for c in self.changes.iter().filter(|c| c.volume.0 == volume) {
            cuts.push(c.first);
            cuts.extend(c.last.checked_add(1));
        }
        cuts.retain(|c| (within.0..=within.1).contains(c));
        cuts.sort_unstable();
        cuts.dedup();
        let ends = cuts.iter().skip(1).map(|c| c - 1).chain([within.1]);
        let spans = cuts.iter().zip(ends);
        let extent = |(first, last): (&u64, u64)| {
            self.change_at(volume, *first).map(|c| Change {
                first: *first,
                last,
                ..*c
            })
        };
        let extents = spans.filter_map(extent).collect();
        Cover {
            version: self.version,
            volume: VolumeId(volume),
            first: within.0,
            last: within.1,
            extents,
        }
    }

    fn whole(&self, volume: u64) -> Cover {
        self.cover(volume, (0, u64::MAX))
    }
}

/// A cache, its time, and what it asked for.
struct Front {
    cache: Cache,
    now: Micros,
    out: Vec<Action>,
}

impl Front {
    fn new(section: Section) -> Front {
        let mut front = Front {
            cache: Cache::new(section, 0),
            now: 0,
            out: Vec::new(),
        };
        front.handle(Input::Timer);
        front
    }

    /// One that has the whole truth.
    fn informed(section: Section, truth: &Truth) -> Front {
        let mut front = Front::new(section);
        let reset = News {
            reset: true,
            whole: true,
            ..truth.news(0)
        };
        front.handle(Input::Polled(Ok(reset)));
        let volumes: std::collections::BTreeSet<u64> =
            truth.changes.iter().map(|c| c.volume.0).collect();
        for volume in volumes {
            front.locate(volume, 0);
            front.fetched(volume, truth.whole(volume));
        }
        front.take();
        front
    }

    fn handle(&mut self, input: Input) {
        self.cache.handle(self.now, input, &mut self.out);
    }

    fn locate(&mut self, volume: u64, key: u64) -> Place {
        self.cache
            .locate(self.now, VolumeId(volume), Key(key), &mut self.out)
    }

    fn fetched(&mut self, volume: u64, cover: Cover) {
        self.handle(Input::Fetched {
            volume: VolumeId(volume),
            answer: Ok(cover),
        });
    }

    fn turn(&mut self, volume: u64, key: u64, asked: u32, hint: Option<Version>) -> Turn {
        self.cache.wrong_turn(
            self.now,
            (VolumeId(volume), Key(key)),
            Shard(asked),
            hint,
            &mut self.out,
        )
    }

    /// Takes what it asked for so far.
    fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            self.handle(Input::Timer);
        }
    }
}

fn fetches(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Fetch { .. }))
        .count()
}

fn polls(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Poll { .. }))
        .count()
}

fn at(shard: u32) -> Place {
    Place::At(Shard(shard))
}

#[test]
fn a_volume_is_fetched_on_need_once_however_many_ask() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::new(section());
    f.handle(Input::Polled(Ok(News {
        reset: true,
        ..truth.news(truth.version.epoch)
    })));
    f.take();
    for key in 0..50 {
        assert_eq!(f.locate(1, key), Place::Unknown);
    }
    assert_eq!(fetches(&f.take()), 1);
    f.fetched(1, truth.whole(1));
    assert!(f.out.contains(&Action::Changed {
        volume: VolumeId(1),
        first: 0,
        last: u64::MAX
    }));
    assert_eq!(
        (f.locate(1, 99), f.locate(1, 100)),
        (at(3), Place::Uncovered)
    );
}

#[test]
fn a_wrong_turn_refreshes_its_range_once_however_many_requests_meet_it() {
    let mut truth = Truth::new();
    truth.put(1, 0, u64::MAX, 3);
    let mut f = Front::informed(section(), &truth);
    // Moved, and the stream has not brought it.
    truth.put(1, 100, 199, 4);
    for key in 100..150 {
        assert_eq!(f.turn(1, key, 3, Some(truth.version)), Turn::Waiting);
    }
    let asked = f.take();
    assert_eq!(fetches(&asked), 1);
    assert!(asked.contains(&Action::Fetch {
        volume: VolumeId(1),
        key: Some(Key(100))
    }));
    f.fetched(1, truth.cover(1, (100, 199)));
    assert!(f.out.contains(&Action::Changed {
        volume: VolumeId(1),
        first: 100,
        last: 199
    }));
    assert_eq!((f.locate(1, 150), f.locate(1, 99)), (at(4), at(3)));
    // One that was out meanwhile and comes back: the map knows better by now.
    assert_eq!(f.turn(1, 160, 3, Some(truth.version)), Turn::At(Shard(4)));
}

#[test]
fn a_hint_never_overrides_what_is_newer_and_a_node_that_lies_causes_a_bounded_number_of_calls() {
    let mut truth = Truth::new();
    truth.put(1, 0, u64::MAX, 3);
    let mut f = Front::informed(section(), &truth);
    let old = Version {
        epoch: 0,
        ..truth.version
    };
    let before = Version {
        incarnation: 4,
        epoch: 1 << 40,
    };
    for hint in [None, Some(old), Some(truth.version), Some(before)] {
        assert_eq!(f.turn(1, 7, 3, hint), Turn::Stands, "{hint:?}");
    }
    let said = f.take();
    assert_eq!(fetches(&said), 0);
    let complaints = said
        .iter()
        .filter(|a| matches!(a, Action::Complain { .. }))
        .count();
    assert_eq!(complaints, 1, "once for each party and second");
    // Just after the authority has confirmed the place newer hints are followed until the volume's budget is used up,
    // and from then on no request waits in vain. What is not newer than the confirmation is not followed at all.
    for epoch in [900, 901] {
        assert_eq!(
            f.turn(
                1,
                7,
                3,
                Some(Version {
                    epoch,
                    ..truth.version
                })
            ),
            Turn::Waiting
        );
        f.fetched(
            1,
            Cover {
                version: Version {
                    epoch,
                    ..truth.version
                },
                ..truth.cover(1, (0, u64::MAX))
            },
        );
        assert_eq!(
            f.turn(
                1,
                7,
                3,
                Some(Version {
                    epoch,
                    ..truth.version
                })
            ),
            Turn::Stands
        );
    }
    assert_eq!(
        f.turn(
            1,
            7,
            3,
            Some(Version {
                epoch: 902,
                ..truth.version
            })
        ),
        Turn::Stands
    );
    f.take();
    // Ever newer versions, a thousand times a second for ten seconds; the authority says otherwise each time.
    let mut calls = 0;
    for n in 0..10_000 {
        f.now += MS;
        f.turn(
            1,
            n % 100,
            3,
            Some(Version {
                epoch: 1_000 + n,
                ..truth.version
            }),
        );
        f.handle(Input::Timer);
        for action in f.take() {
            if let Action::Fetch { key, .. } = action {
                calls += 1;
                let within = key.map_or((0, u64::MAX), |_| (0, u64::MAX));
                f.fetched(1, truth.cover(1, within));
            }
        }
    }
    assert!(
        (2..=13).contains(&calls),
        "{calls} calls in 10 s for one volume"
    );
    assert_eq!(f.locate(1, 7), at(3));
}

#[test]
fn a_move_that_is_undone_and_two_moves_in_one_batch_end_where_the_last_says() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::informed(section(), &truth);
    let from = truth.version.epoch;
    truth.put(1, 0, 99, 4);
    truth.put(1, 0, 99, 3);
    truth.put(1, 50, 99, 5);
    truth.put(1, 50, 99, 6);
    f.handle(Input::Polled(Ok(truth.news(from))));
    assert_eq!((f.locate(1, 0), f.locate(1, 50)), (at(3), at(6)));
    // The same batch in reverse order, by another front: epochs decide, not the order.
    let mut g = Front::informed(
        section(),
        &Truth {
            version: Version {
                epoch: 1,
                ..truth.version
            },
            changes: truth.changes[..1].to_vec(),
        },
    );
    let mut news = truth.news(from);
    news.changes.reverse();
    g.handle(Input::Polled(Ok(news)));
    assert_eq!((g.locate(1, 0), g.locate(1, 50)), (at(3), at(6)));
}

#[test]
fn an_answer_that_is_older_than_changes_already_applied_takes_none_of_them_back() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::informed(section(), &truth);
    let (from, old) = (truth.version.epoch, truth.whole(1));
    truth.put(1, 20, 29, 4);
    f.now += S;
    assert_eq!(f.turn(1, 50, 3, Some(truth.version)), Turn::Waiting);
    f.handle(Input::Polled(Ok(truth.news(from))));
    f.fetched(1, old);
    assert_eq!((f.locate(1, 25), f.locate(1, 50)), (at(4), at(3)));
    // A poll's answer from before is left out as a whole.
    f.handle(Input::Polled(Ok(News {
        version: Version {
            epoch: 1,
            ..truth.version
        },
        ..truth.news(99)
    })));
    assert_eq!(
        (f.cache.version(), f.cache.counters().stale_answers),
        (Some(truth.version), 1)
    );
}

#[test]
fn changes_that_came_while_a_volume_was_fetched_are_not_lost() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::new(section());
    f.handle(Input::Polled(Ok(News {
        reset: true,
        ..truth.news(9)
    })));
    assert_eq!(f.locate(1, 5), Place::Unknown);
    // The answer was made before the move, and arrives after the stream told of it.
    let answer = truth.whole(1);
    let from = truth.version.epoch;
    truth.put(1, 0, 9, 4);
    f.handle(Input::Polled(Ok(truth.news(from))));
    f.fetched(1, answer.clone());
    assert_eq!((f.locate(1, 5), f.locate(1, 50)), (at(4), at(3)));
    // One from before the volume was asked for at all may lack changes: it is asked again.
    let mut g = Front::new(section());
    g.handle(Input::Polled(Ok(News {
        reset: true,
        ..truth.news(9)
    })));
    g.locate(1, 5);
    g.fetched(1, answer);
    assert_eq!(
        (g.locate(1, 5), g.cache.counters().stale_answers),
        (Place::Unknown, 1)
    );
    g.take();
    g.pass(2 * S);
    assert_eq!(fetches(&g.out), 1);
}

#[test]
fn splits_and_merges_of_ranges() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::informed(section(), &truth);
    let from = truth.version.epoch;
    truth.put(1, 50, 99, 4);
    f.handle(Input::Polled(Ok(truth.news(from))));
    assert_eq!((f.locate(1, 49), f.locate(1, 50)), (at(3), at(4)));
    let from = truth.version.epoch;
    truth.put(1, 0, 99, 4);
    f.handle(Input::Polled(Ok(truth.news(from))));
    assert_eq!((f.locate(1, 49), f.locate(1, 50)), (at(4), at(4)));
    assert_eq!(f.cache.map().extents(), 2, "one extent and the open rest");
}

#[test]
fn an_authority_that_is_silent_for_a_minute_and_then_far_ahead() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    truth.put(2, 0, 99, 3);
    let mut f = Front::informed(section(), &truth);
    let mut polled = 0;
    // The poll that was out when it fell silent.
    f.handle(Input::Polled(Err("no answer in time".into())));
    for _ in 0..600 {
        f.pass(100 * MS);
        for action in f.take() {
            if matches!(action, Action::Poll { .. }) {
                polled += 1;
                f.handle(Input::Polled(Err("no answer in time".into())));
            }
        }
        assert_eq!(f.locate(1, 5), at(3), "it goes on with what it had");
    }
    assert!(
        (25..=60).contains(&polled),
        "{polled} polls of a silent authority in a minute"
    );
    // Its history does not reach back that far; the map is too large to be told whole.
    truth.put(1, 0, 99, 7);
    truth.version.epoch = 50_000;
    f.handle(Input::Polled(Ok(News {
        version: truth.version,
        reset: true,
        whole: false,
        changes: vec![],
    })));
    assert!(f.out.contains(&Action::ChangedAll));
    f.take();
    f.locate(1, 5);
    assert_eq!(
        fetches(&f.take()),
        1,
        "in doubt, and fetched with the first request"
    );
    f.fetched(1, truth.whole(1));
    assert_eq!(f.locate(1, 5), at(7));
    f.locate(2, 5);
    assert_eq!(fetches(&f.take()), 1);
}

#[test]
fn an_authority_that_starts_again_with_a_lower_epoch() {
    let mut truth = Truth::new();
    for n in 0..20 {
        truth.put(1, 0, 99, n);
    }
    let mut f = Front::informed(section(), &truth);
    let mut next = Truth::new();
    next.version.incarnation = 6;
    next.put(1, 0, 99, 40);
    // Its word on one volume, before the stream told of the new life: it fits nothing yet.
    f.turn(1, 5, 19, Some(next.version));
    f.fetched(1, next.whole(1));
    assert_eq!(f.locate(1, 5), at(19));
    // Changes of another life without a fresh start are no answer; the fresh start is.
    f.handle(Input::Polled(Ok(next.news(0))));
    assert_eq!(f.cache.version().unwrap().incarnation, 5);
    f.handle(Input::Polled(Ok(News {
        reset: true,
        whole: true,
        ..next.news(0)
    })));
    assert_eq!(
        (f.locate(1, 5), f.cache.version()),
        (at(40), Some(next.version))
    );
    // And the old life, come back from the dead, is not believed.
    f.handle(Input::Polled(Ok(News {
        reset: true,
        whole: true,
        ..truth.news(0)
    })));
    assert_eq!(
        (f.locate(1, 5), f.cache.version()),
        (at(40), Some(next.version))
    );
}

#[test]
fn a_snapshot_from_disk_serves_until_the_stream_has_caught_up() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    truth.put(2, 0, 99, 4);
    let file = Some("unused".into());
    let mut f = Front::informed(
        Section {
            snapshot: file,
            snapshot_every_ms: 1_000,
            ..section()
        },
        &truth,
    );
    f.pass(2 * S);
    let saved = f.take().into_iter().find_map(|a| {
        if let Action::Save(bytes) = a {
            Some(bytes)
        } else {
            None
        }
    });
    let saved = saved.expect("it is written");
    let from = truth.version;
    truth.put(1, 0, 99, 5);
    let mut g = Front {
        cache: Cache::new(section(), 0),
        now: 0,
        out: Vec::new(),
    };
    g.cache.restore(0, &saved).unwrap();
    g.handle(Input::Timer);
    assert!(g.take().contains(&Action::Poll {
        from: Some(from),
        hold: 2 * S
    }));
    assert_eq!(
        (g.locate(1, 5), g.locate(2, 5)),
        (at(3), at(4)),
        "known before any answer"
    );
    g.handle(Input::Polled(Ok(truth.news(from.epoch))));
    assert_eq!((g.locate(1, 5), g.locate(2, 5)), (at(5), at(4)));
    // Every altered byte and every shorter file shows.
    for i in 0..saved.len() {
        let mut bad = saved.clone();
        bad[i] ^= 0x10;
        assert!(
            Cache::new(section(), 0).restore(0, &bad).is_err(),
            "byte {i}"
        );
        assert!(
            Cache::new(section(), 0).restore(0, &saved[..i]).is_err(),
            "{i} bytes"
        );
    }
}

#[test]
fn a_burst_of_two_thousand_moves_costs_a_bounded_number_of_calls() {
    let mut truth = Truth::new();
    for volume in 0..50 {
        truth.put(volume, 0, u64::MAX, 0);
    }
    let mut f = Front::informed(section(), &truth);
    f.pass(10 * S);
    f.take();
    let mut dice = fastrand::Rng::with_seed(9);
    let (mut calls, mut moves) = (0, 0);
    while moves < 2_000 {
        // 400 moves a second; every request that meets one takes a wrong turn.
        f.now += 2_500;
        moves += 1;
        let (volume, key) = (dice.u64(0..50), dice.u64(..));
        let was = truth.shard(volume, key).unwrap();
        truth.put(volume, key & !0xffff, key | 0xffff, dice.u32(1..8));
        f.turn(volume, key, was, Some(truth.version));
        f.handle(Input::Timer);
        for action in f.take() {
            match action {
                Action::Poll { from, .. } => {
                    calls += 1;
                    let news = truth.news(from.unwrap().epoch);
                    f.handle(Input::Polled(Ok(news)));
                }
                Action::Fetch { volume, .. } => {
                    calls += 1;
                    let cover = truth.whole(volume.0);
                    f.fetched(volume.0, cover);
                }
                _ => {}
            }
        }
    }
    assert!(calls < 64, "{calls} calls");
    let from = f.cache.version().unwrap().epoch;
    f.handle(Input::Polled(Ok(truth.news(from))));
    for c in &truth.changes {
        assert_eq!(
            f.locate(c.volume.0, c.first),
            at(truth.shard(c.volume.0, c.first).unwrap())
        );
    }
}

#[test]
fn a_map_over_its_bound_lets_the_oldest_volumes_go_and_fetches_them_again() {
    let mut truth = Truth::new();
    for volume in 0..40 {
        for lot in 0..10 {
            truth.put(volume, lot * 10, lot * 10 + 9, lot as u32 % 4);
        }
    }
    let bounds = Section {
        most_extents: 200,
        most_volumes: 30,
        load_burst: 200,
        ..section()
    };
    let mut f = Front::new(bounds);
    f.handle(Input::Polled(Ok(News {
        reset: true,
        ..truth.news(9_999)
    })));
    for volume in 0..40 {
        f.now += 10 * MS;
        f.locate(volume, 5);
        f.fetched(volume, truth.whole(volume));
        assert!(f.cache.map().extents() <= 200 + 12 && f.cache.map().volumes() <= 31);
        assert_eq!(f.locate(volume, 15), at(1));
    }
    assert!(f.cache.counters().left > 0);
    f.take();
    assert_eq!(f.locate(39, 5), at(0), "the youngest stayed");
    assert_eq!(f.locate(0, 5), Place::Unknown, "the oldest left");
    assert_eq!(fetches(&f.take()), 1, "and is fetched again");
    f.fetched(0, truth.whole(0));
    assert_eq!(f.locate(0, 15), at(1));
}

#[test]
fn peers_news_is_provisional_until_the_stream_confirms_it() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let peers = Section {
        peer_listen: Some("127.0.0.1:1".parse().unwrap()),
        peers: vec!["127.0.0.1:2".parse().unwrap()],
        ..section()
    };
    let (mut f, mut g) = (
        Front::informed(peers.clone(), &truth),
        Front::informed(peers, &truth),
    );
    let from = truth.version.epoch;
    // The stream is down: one front takes a wrong turn and tells the other.
    let moved = truth.put(1, 0, 99, 4);
    f.turn(1, 5, 3, Some(truth.version));
    f.fetched(1, truth.whole(1));
    f.pass(60 * MS);
    let told: Vec<_> = f
        .take()
        .into_iter()
        .filter_map(|a| {
            if let Action::Tell(b) = a {
                Some(b)
            } else {
                None
            }
        })
        .collect();
    assert!(told.len() == 1 && told[0].len() <= datagram::LONGEST);
    for bytes in [&told[0], &told[0]] {
        g.handle(Input::Peer(0, bytes.clone()));
    }
    assert_eq!(
        (g.locate(1, 5), g.cache.counters().peer_news),
        (at(4), 1),
        "repeated, it is no news"
    );
    // A lie: never confirmed, and fetched anew once the stream has gone on without it.
    let lie = Change {
        shard: Some(9),
        epoch: 1_000,
        ..moved
    };
    g.handle(Input::Peer(0, datagram::encode(5, &[lie])));
    assert_eq!(g.locate(1, 5), at(9));
    g.handle(Input::Polled(Ok(truth.news(from))));
    g.take();
    g.pass(6 * S);
    assert_eq!((fetches(&g.out), g.cache.counters().unconfirmed), (1, 1));
    let later = truth.put(2, 0, 1, 1);
    truth.version.epoch = 2_000;
    let _ = later;
    g.fetched(1, truth.whole(1));
    assert_eq!(g.locate(1, 5), at(4));
    // What the stream has brought is not told again.
    let from = truth.version.epoch;
    truth.version.epoch += 1;
    f.turn(1, 5, 4, Some(truth.version));
    truth.put(1, 0, 99, 7);
    f.now += 2 * S;
    f.fetched(1, truth.whole(1));
    f.handle(Input::Polled(Ok(truth.news(from))));
    f.take();
    f.pass(S);
    assert!(!f.out.iter().any(|a| matches!(a, Action::Tell(_))));
}

#[test]
fn unreadable_datagrams_are_counted_and_change_nothing() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::informed(section(), &truth);
    let change = Change {
        volume: VolumeId(1),
        first: 0,
        last: 99,
        shard: Some(8),
        epoch: 50,
    };
    let good = datagram::encode(5, &[change; 6]);
    assert_eq!((good.len(), datagram::MOST), (232, 6));
    let mut bad: Vec<Vec<u8>> = (0..good.len()).map(|i| good[..i].to_vec()).collect();
    for i in 0..good.len() {
        let mut flipped = good.clone();
        flipped[i] ^= 1;
        bad.push(flipped);
    }
    bad.push([good.clone(), vec![0; 100]].concat());
    bad.push(datagram::encode(
        5,
        &[Change {
            first: 100,
            ..change
        }],
    ));
    let count = bad.len() as u64;
    for bytes in bad {
        f.handle(Input::Peer(3, bytes));
    }
    assert_eq!(
        (f.cache.counters().unreadable, f.locate(1, 5)),
        (count, at(3))
    );
    let complaints = f
        .take()
        .iter()
        .filter(|a| {
            matches!(
                a,
                Action::Complain {
                    who: Party::Peer(3),
                    ..
                }
            )
        })
        .count();
    assert_eq!(complaints, 1);
    // Another life of the authority's, or an epoch that the stream has passed: no news.
    f.handle(Input::Peer(3, datagram::encode(6, &[change])));
    f.handle(Input::Peer(
        3,
        datagram::encode(5, &[Change { epoch: 1, ..change }]),
    ));
    assert_eq!(f.locate(1, 5), at(3));
}

#[test]
fn wrong_answers_are_counted_and_change_nothing() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    let mut f = Front::informed(section(), &truth);
    let ahead = Change {
        volume: VolumeId(1),
        first: 0,
        last: 99,
        shard: Some(8),
        epoch: 900,
    };
    let news = |changes| News {
        version: Version {
            epoch: 5,
            ..truth.version
        },
        reset: false,
        whole: false,
        changes,
    };
    f.handle(Input::Polled(Ok(news(vec![ahead]))));
    f.handle(Input::Polled(Ok(news(vec![Change {
        first: 9,
        last: 8,
        epoch: 4,
        ..ahead
    }]))));
    assert_eq!(
        (f.cache.version(), f.cache.counters().stale_answers),
        (Some(truth.version), 2)
    );
    for wrong in [
        truth.whole(2),
        truth.cover(1, (50, 99)),
        Cover {
            extents: vec![Change {
                volume: VolumeId(2),
                epoch: 1,
                ..ahead
            }],
            ..truth.whole(1)
        },
        Cover {
            extents: vec![Change { epoch: 1, ..ahead }, Change { epoch: 1, ..ahead }],
            ..truth.whole(1)
        },
    ] {
        f.now += 3 * S;
        f.turn(
            1,
            5,
            3,
            Some(Version {
                epoch: 2_000,
                ..truth.version
            }),
        );
        f.fetched(1, wrong);
        assert_eq!(f.locate(1, 5), at(3));
    }
    assert_eq!(f.cache.counters().failed_calls, 4);
    for text in [
        "",
        "3",
        "3.",
        ".4",
        "3.x",
        "+3.4",
        "3.4.5",
        "99999999999999999999.1",
    ] {
        assert!(text.parse::<Version>().is_err(), "{text}");
    }
    assert_eq!(
        "3.4".parse(),
        Ok(Version {
            incarnation: 3,
            epoch: 4
        })
    );
    for json in [
        r#"{"version":{"incarnation":1,"epoch":2},"more":1}"#,
        r#"{"version":{"incarnation":1}}"#,
        "[]",
    ] {
        assert!(serde_json::from_str::<News>(json).is_err());
    }
    let json = serde_json::to_string(&truth.whole(1)).unwrap();
    assert_eq!(
        serde_json::from_str::<Cover>(&json).unwrap(),
        truth.whole(1)
    );
    assert!(serde_json::from_str::<Cover>(&json.replace("\"63\"", "\"xyz\"")).is_err());
}

#[test]
fn without_a_stream_a_volume_is_fetched_by_age_or_by_wrong_turns_only() {
    let mut truth = Truth::new();
    truth.put(1, 0, 99, 3);
    for (strategy, expected) in [(Strategy::None, 0), (Strategy::Ttl, 1)] {
        let mut f = Front::new(Section {
            strategy,
            ttl_ms: 5_000,
            ..section()
        });
        f.locate(1, 5);
        f.fetched(1, truth.whole(1));
        f.take();
        f.pass(6 * S);
        assert_eq!(f.locate(1, 5), at(3));
        let asked = f.take();
        assert_eq!(
            (polls(&asked), fetches(&asked)),
            (0, expected),
            "{strategy:?}"
        );
        truth.put(1, 0, 99, 3);
        f.now += 10 * S;
        assert_eq!(f.turn(1, 5, 3, Some(truth.version)), Turn::Waiting);
    }
}

/// Random play: an authority that moves things, a front that hears late, twice, out of order or not at all, peers that
/// tell it, nodes that hint. Whatever happens, once the authority is heard again the map is the truth, and until then
/// nothing is known that was never true.
#[test]
fn whatever_is_lost_late_or_repeated_the_map_ends_at_the_truth() {
    for seed in 0..300 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut truth = Truth::new();
        let mut f = Front::new(Section {
            refresh_burst: 1_000,
            volume_refreshes_per_s: 500.0,
            refreshes_per_s: 500.0,
            ..section()
        });
        let mut waiting: Vec<Input> = Vec::new();
        let mut ever: BTreeMap<(u64, u32), bool> = BTreeMap::new();
        for _ in 0..200 {
            f.now += dice.i64(0..50) * MS;
            match dice.u32(0..8) {
                0..=2 => {
                    let (a, b) = (dice.u64(0..64), dice.u64(0..64));
                    let (volume, shard) = (dice.u64(0..3), dice.u32(0..5));
                    truth.put(volume, a.min(b), a.max(b), shard);
                    ever.insert((volume, shard), true);
                }
                3 => {
                    let (volume, key) = (dice.u64(0..3), dice.u64(0..64));
                    if let Place::At(shard) = f.locate(volume, key) {
                        assert!(
                            ever.contains_key(&(volume, shard.0)),
                            "seed {seed}: a place that never was"
                        );
                        if truth.shard(volume, key) != Some(shard.0) {
                            f.turn(volume, key, shard.0, Some(truth.version));
                        }
                    }
                }
                4 if !truth.changes.is_empty() => {
                    // A peer tells of changes made at any time; the datagram may come twice.
                    let told = truth.changes[dice.usize(0..truth.changes.len())];
                    f.handle(Input::Peer(0, datagram::encode(5, &[told])));
                }
                _ => f.handle(Input::Timer),
            }
            for action in f.take() {
                match action {
                    Action::Poll { from, .. } => {
                        let known = from.map_or(0, |v| v.epoch);
                        waiting.push(Input::Polled(match dice.u32(0..5) {
                            0 => Err("lost".into()),
                            1 => Ok(News {
                                reset: true,
                                whole: false,
                                ..truth.news(truth.version.epoch)
                            }),
                            _ if from.is_none() => Ok(News {
                                reset: true,
                                whole: true,
                                ..truth.news(truth.version.epoch)
                            }),
                            _ => Ok(truth.news(known)),
                        }));
                    }
                    Action::Fetch { volume, .. } => {
                        let answer = if dice.u32(0..4) == 0 {
                            Err("lost".into())
                        } else {
                            Ok(truth.whole(volume.0))
                        };
                        waiting.push(Input::Fetched { volume, answer });
                    }
                    _ => {}
                }
            }
            // Answers arrive late and in any order.
            while !waiting.is_empty() && dice.bool() {
                let input = waiting.swap_remove(dice.usize(0..waiting.len()));
                f.handle(input);
            }
        }
        // The authority is heard again.
        for _ in 0..40 {
            f.pass(S);
            for volume in 0..3 {
                f.locate(volume, 0);
            }
            let mut inputs = std::mem::take(&mut waiting);
            for action in f.take() {
                match action {
                    Action::Poll { from, .. } => inputs.push(Input::Polled(Ok(match from {
                        Some(v) => truth.news(v.epoch),
                        None => News {
                            reset: true,
                            whole: false,
                            ..truth.news(truth.version.epoch)
                        },
                    }))),
                    Action::Fetch { volume, .. } => {
                        inputs.push(Input::Fetched {
                            volume,
                            answer: Ok(truth.whole(volume.0)),
                        });
                    }
                    _ => {}
                }
            }
            inputs.into_iter().for_each(|i| f.handle(i));
        }
        for volume in 0..3 {
            for key in 0..64 {
                let expected = truth.shard(volume, key).map_or(Place::Uncovered, at);
                assert_eq!(
                    f.locate(volume, key),
                    expected,
                    "seed {seed}: volume {volume}, key {key}"
                );
            }
        }
    }
}

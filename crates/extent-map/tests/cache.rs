//! The cache against a naive model of the authority: single cases, and random runs with lost, late, reordered and
//! repeated messages.

use lupinrack_extent_map::config::{Section, Strategy};
use lupinrack_extent_map::*;
use lupinrack_policy::{Key, Micros, Shard, VolumeId};
use std::collections::BTreeMap;

const SECOND_US: Micros = 1_000_000;
const MILLISECOND_US: Micros = 1_000;

fn section() -> Section {
    Section {
        enabled: true,
        ..Section::default()
    }
}

/// A naive model of the authority, which keeps every change.
struct ModelAuthority {
    version: Version,
    changes: Vec<Change>,
}

impl ModelAuthority {
    fn new() -> ModelAuthority {
        ModelAuthority {
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

    fn shard_of(&self, volume: u64, key: u64) -> Option<u32> {
        self.last_change_of(volume, key).and_then(|c| c.shard)
    }

    fn last_change_of(&self, volume: u64, key: u64) -> Option<&Change> {
        self.changes
            .iter()
            .rev()
            .find(|c| c.volume.0 == volume && (c.first..=c.last).contains(&key))
    }

    /// The changes after an epoch.
    fn poll_response(&self, from: u64) -> PollResponse {
        let changes = self
            .changes
            .iter()
            .filter(|c| c.epoch > from)
            .copied()
            .collect();
        PollResponse {
            version: self.version,
            reset: false,
            full_map: false,
            changes,
        }
    }

    /// The extents of a volume within a key range, split at the bounds of all changes.
    fn fetch_response(&self, volume: u64, within: (u64, u64)) -> FetchResponse {
        let mut cuts: Vec<u64> = vec![within.0];
        for c in self.changes.iter().filter(|c| c.volume.0 == volume) {
            cuts.push(c.first);
            cuts.extend(c.last.checked_add(1));
        }
        cuts.retain(|cut| (within.0..=within.1).contains(cut));
        cuts.sort_unstable();
        cuts.dedup();
        let lasts = cuts.iter().skip(1).map(|cut| cut - 1).chain([within.1]);
        let spans = cuts.iter().zip(lasts);
        let extent = |(first, last): (&u64, u64)| {
            self.last_change_of(volume, *first).map(|c| Change {
                first: *first,
                last,
                ..*c
            })
        };
        let extents = spans.filter_map(extent).collect();
        FetchResponse {
            version: self.version,
            volume: VolumeId(volume),
            first: within.0,
            last: within.1,
            extents,
        }
    }

    fn volume_response(&self, volume: u64) -> FetchResponse {
        self.fetch_response(volume, (0, u64::MAX))
    }
}

/// A cache, the simulated time, and the actions not taken yet.
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

    /// A front that has received the stream and fetched all volumes.
    fn with_all_volumes(section: Section, authority: &ModelAuthority) -> Front {
        let mut front = Front::new(section);
        let reset = PollResponse {
            reset: true,
            full_map: true,
            ..authority.poll_response(0)
        };
        front.handle(Input::Polled(Ok(reset)));
        let volumes: std::collections::BTreeSet<u64> =
            authority.changes.iter().map(|c| c.volume.0).collect();
        for volume in volumes {
            front.locate(volume, 0);
            front.answer_fetch(volume, authority.volume_response(volume));
        }
        front.take_actions();
        front
    }

    fn handle(&mut self, input: Input) {
        self.cache.handle(self.now, input, &mut self.out);
    }

    fn locate(&mut self, volume: u64, key: u64) -> Location {
        self.cache
            .locate(self.now, VolumeId(volume), Key(key), &mut self.out)
    }

    fn answer_fetch(&mut self, volume: u64, response: FetchResponse) {
        self.handle(Input::Fetched {
            volume: VolumeId(volume),
            answer: Ok(response),
        });
    }

    fn reject(&mut self, volume: u64, key: u64, sent_to: u32, hint: Option<Version>) -> Reroute {
        self.cache.on_wrong_shard(
            self.now,
            (VolumeId(volume), Key(key)),
            Shard(sent_to),
            hint,
            &mut self.out,
        )
    }

    /// Takes the actions emitted so far.
    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Passes the timer every 10 ms until the time is over.
    fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + 10 * MILLISECOND_US).min(end);
            self.handle(Input::Timer);
        }
    }
}

fn count_fetches(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Fetch { .. }))
        .count()
}

fn count_polls(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Poll { .. }))
        .count()
}

fn on_shard(shard: u32) -> Location {
    Location::OnShard(Shard(shard))
}

#[test]
fn concurrent_requests_for_a_volume_cause_one_fetch() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::new(section());
    front.handle(Input::Polled(Ok(PollResponse {
        reset: true,
        ..authority.poll_response(authority.version.epoch)
    })));
    front.take_actions();
    for key in 0..50 {
        assert_eq!(front.locate(1, key), Location::Unknown);
    }
    assert_eq!(count_fetches(&front.take_actions()), 1);
    front.answer_fetch(1, authority.volume_response(1));
    assert!(front.out.contains(&Action::Changed {
        volume: VolumeId(1),
        first: 0,
        last: u64::MAX
    }));
    assert_eq!(
        (front.locate(1, 99), front.locate(1, 100)),
        (on_shard(3), Location::Uncovered)
    );
}

#[test]
fn concurrent_rejections_in_a_range_cause_one_fetch_of_it() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, u64::MAX, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    // A move that the stream has not brought.
    authority.put(1, 100, 199, 4);
    for key in 100..150 {
        assert_eq!(
            front.reject(1, key, 3, Some(authority.version)),
            Reroute::Pending
        );
    }
    let actions = front.take_actions();
    assert_eq!(count_fetches(&actions), 1);
    assert!(actions.contains(&Action::Fetch {
        volume: VolumeId(1),
        key: Some(Key(100))
    }));
    front.answer_fetch(1, authority.fetch_response(1, (100, 199)));
    assert!(front.out.contains(&Action::Changed {
        volume: VolumeId(1),
        first: 100,
        last: 199
    }));
    assert_eq!(
        (front.locate(1, 150), front.locate(1, 99)),
        (on_shard(4), on_shard(3))
    );
    // A request rejected after the answer was applied is sent to the shard that the map has now.
    assert_eq!(
        front.reject(1, 160, 3, Some(authority.version)),
        Reroute::To(Shard(4))
    );
}

#[test]
fn older_hints_are_ignored_and_false_newer_hints_cause_a_bounded_number_of_fetches() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, u64::MAX, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let older_epoch = Version {
        epoch: 0,
        ..authority.version
    };
    let older_incarnation = Version {
        incarnation: 4,
        epoch: 1 << 40,
    };
    for hint in [
        None,
        Some(older_epoch),
        Some(authority.version),
        Some(older_incarnation),
    ] {
        assert_eq!(front.reject(1, 7, 3, hint), Reroute::Unchanged, "{hint:?}");
    }
    let actions = front.take_actions();
    assert_eq!(count_fetches(&actions), 0);
    let warnings = actions
        .iter()
        .filter(|a| matches!(a, Action::Warn { .. }))
        .count();
    assert_eq!(warnings, 1, "one per second for each source");
    // After a fetch, hints newer than it cause further fetches only until the volume's budget is empty, so that requests
    // do not wait because of false hints. Hints that are not newer cause none.
    for epoch in [900, 901] {
        assert_eq!(
            front.reject(
                1,
                7,
                3,
                Some(Version {
                    epoch,
                    ..authority.version
                })
            ),
            Reroute::Pending
        );
        front.answer_fetch(
            1,
            FetchResponse {
                version: Version {
                    epoch,
                    ..authority.version
                },
                ..authority.fetch_response(1, (0, u64::MAX))
            },
        );
        assert_eq!(
            front.reject(
                1,
                7,
                3,
                Some(Version {
                    epoch,
                    ..authority.version
                })
            ),
            Reroute::Unchanged
        );
    }
    assert_eq!(
        front.reject(
            1,
            7,
            3,
            Some(Version {
                epoch: 902,
                ..authority.version
            })
        ),
        Reroute::Unchanged
    );
    front.take_actions();
    // 1000 hints per second for 10 s, each newer than the last, while the authority has no change.
    let mut calls = 0;
    for n in 0..10_000 {
        front.now += MILLISECOND_US;
        front.reject(
            1,
            n % 100,
            3,
            Some(Version {
                epoch: 1_000 + n,
                ..authority.version
            }),
        );
        front.handle(Input::Timer);
        for action in front.take_actions() {
            if let Action::Fetch { key, .. } = action {
                calls += 1;
                let within = key.map_or((0, u64::MAX), |_| (0, u64::MAX));
                front.answer_fetch(1, authority.fetch_response(1, within));
            }
        }
    }
    assert!(
        (2..=13).contains(&calls),
        "{calls} calls in 10 s for one volume"
    );
    assert_eq!(front.locate(1, 7), on_shard(3));
}

#[test]
fn the_last_epoch_of_a_batch_decides_in_any_order() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let from = authority.version.epoch;
    authority.put(1, 0, 99, 4);
    authority.put(1, 0, 99, 3);
    authority.put(1, 50, 99, 5);
    authority.put(1, 50, 99, 6);
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    assert_eq!(
        (front.locate(1, 0), front.locate(1, 50)),
        (on_shard(3), on_shard(6))
    );
    // Another front receives the same batch in reverse order.
    let mut other_front = Front::with_all_volumes(
        section(),
        &ModelAuthority {
            version: Version {
                epoch: 1,
                ..authority.version
            },
            changes: authority.changes[..1].to_vec(),
        },
    );
    let mut reversed = authority.poll_response(from);
    reversed.changes.reverse();
    other_front.handle(Input::Polled(Ok(reversed)));
    assert_eq!(
        (other_front.locate(1, 0), other_front.locate(1, 50)),
        (on_shard(3), on_shard(6))
    );
}

#[test]
fn an_older_answer_does_not_undo_applied_changes() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let (from, old) = (authority.version.epoch, authority.volume_response(1));
    authority.put(1, 20, 29, 4);
    front.now += SECOND_US;
    assert_eq!(
        front.reject(1, 50, 3, Some(authority.version)),
        Reroute::Pending
    );
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    front.answer_fetch(1, old);
    assert_eq!(
        (front.locate(1, 25), front.locate(1, 50)),
        (on_shard(4), on_shard(3))
    );
    // A poll answer with an older version is ignored.
    front.handle(Input::Polled(Ok(PollResponse {
        version: Version {
            epoch: 1,
            ..authority.version
        },
        ..authority.poll_response(99)
    })));
    assert_eq!(
        (front.cache.version(), front.cache.counters().stale_answers),
        (Some(authority.version), 1)
    );
}

#[test]
fn changes_received_during_a_fetch_are_not_lost() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::new(section());
    front.handle(Input::Polled(Ok(PollResponse {
        reset: true,
        ..authority.poll_response(9)
    })));
    assert_eq!(front.locate(1, 5), Location::Unknown);
    // The answer was made before the move and arrives after the stream has brought the move.
    let answer = authority.volume_response(1);
    let from = authority.version.epoch;
    authority.put(1, 0, 9, 4);
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    front.answer_fetch(1, answer.clone());
    assert_eq!(
        (front.locate(1, 5), front.locate(1, 50)),
        (on_shard(4), on_shard(3))
    );
    // An answer of an earlier epoch than the volume's entry may lack changes, so the fetch is repeated.
    let mut other_front = Front::new(section());
    other_front.handle(Input::Polled(Ok(PollResponse {
        reset: true,
        ..authority.poll_response(9)
    })));
    other_front.locate(1, 5);
    other_front.answer_fetch(1, answer);
    assert_eq!(
        (
            other_front.locate(1, 5),
            other_front.cache.counters().stale_answers
        ),
        (Location::Unknown, 1)
    );
    other_front.take_actions();
    other_front.advance(2 * SECOND_US);
    assert_eq!(count_fetches(&other_front.out), 1);
}

#[test]
fn ranges_are_split_and_merged() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let from = authority.version.epoch;
    authority.put(1, 50, 99, 4);
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    assert_eq!(
        (front.locate(1, 49), front.locate(1, 50)),
        (on_shard(3), on_shard(4))
    );
    let from = authority.version.epoch;
    authority.put(1, 0, 99, 4);
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    assert_eq!(
        (front.locate(1, 49), front.locate(1, 50)),
        (on_shard(4), on_shard(4))
    );
    assert_eq!(
        front.cache.map().extents(),
        2,
        "one extent and the open rest"
    );
}

#[test]
fn the_map_serves_while_the_authority_is_silent_and_is_stale_after_a_reset() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    authority.put(2, 0, 99, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let mut polled = 0;
    // The poll that was in flight when the authority became silent.
    front.handle(Input::Polled(Err("no answer in time".into())));
    for _ in 0..600 {
        front.advance(100 * MILLISECOND_US);
        for action in front.take_actions() {
            if matches!(action, Action::Poll { .. }) {
                polled += 1;
                front.handle(Input::Polled(Err("no answer in time".into())));
            }
        }
        assert_eq!(front.locate(1, 5), on_shard(3), "the map still serves");
    }
    assert!(
        (25..=60).contains(&polled),
        "{polled} polls of a silent authority in a minute"
    );
    // The authority no longer has the changes since the polled version, and the full map is too large for one answer.
    authority.put(1, 0, 99, 7);
    authority.version.epoch = 50_000;
    front.handle(Input::Polled(Ok(PollResponse {
        version: authority.version,
        reset: true,
        full_map: false,
        changes: vec![],
    })));
    assert!(front.out.contains(&Action::ChangedAll));
    front.take_actions();
    front.locate(1, 5);
    assert_eq!(
        count_fetches(&front.take_actions()),
        1,
        "possibly stale, so the first request causes a fetch"
    );
    front.answer_fetch(1, authority.volume_response(1));
    assert_eq!(front.locate(1, 5), on_shard(7));
    front.locate(2, 5);
    assert_eq!(count_fetches(&front.take_actions()), 1);
}

#[test]
fn a_reset_to_a_later_incarnation_with_a_lower_epoch_is_accepted() {
    let mut authority = ModelAuthority::new();
    for n in 0..20 {
        authority.put(1, 0, 99, n);
    }
    let mut front = Front::with_all_volumes(section(), &authority);
    let mut restarted = ModelAuthority::new();
    restarted.version.incarnation = 6;
    restarted.put(1, 0, 99, 40);
    // A fetch answered by the new incarnation before the stream was reset is ignored.
    front.reject(1, 5, 19, Some(restarted.version));
    front.answer_fetch(1, restarted.volume_response(1));
    assert_eq!(front.locate(1, 5), on_shard(19));
    // Changes of another incarnation are accepted only with a reset.
    front.handle(Input::Polled(Ok(restarted.poll_response(0))));
    assert_eq!(front.cache.version().unwrap().incarnation, 5);
    front.handle(Input::Polled(Ok(PollResponse {
        reset: true,
        full_map: true,
        ..restarted.poll_response(0)
    })));
    assert_eq!(
        (front.locate(1, 5), front.cache.version()),
        (on_shard(40), Some(restarted.version))
    );
    // A reset to the old incarnation is ignored.
    front.handle(Input::Polled(Ok(PollResponse {
        reset: true,
        full_map: true,
        ..authority.poll_response(0)
    })));
    assert_eq!(
        (front.locate(1, 5), front.cache.version()),
        (on_shard(40), Some(restarted.version))
    );
}

#[test]
fn a_restored_snapshot_serves_until_the_stream_has_caught_up() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    authority.put(2, 0, 99, 4);
    let snapshot = Some("unused".into());
    let mut front = Front::with_all_volumes(
        Section {
            snapshot,
            snapshot_every_ms: 1_000,
            ..section()
        },
        &authority,
    );
    front.advance(2 * SECOND_US);
    let saved = front.take_actions().into_iter().find_map(|a| {
        if let Action::Save(bytes) = a {
            Some(bytes)
        } else {
            None
        }
    });
    let saved = saved.expect("a snapshot was saved");
    let from = authority.version;
    authority.put(1, 0, 99, 5);
    let mut other_front = Front {
        cache: Cache::new(section(), 0),
        now: 0,
        out: Vec::new(),
    };
    other_front.cache.restore(0, &saved).unwrap();
    other_front.handle(Input::Timer);
    assert!(other_front.take_actions().contains(&Action::Poll {
        from: Some(from),
        hold: 2 * SECOND_US
    }));
    assert_eq!(
        (other_front.locate(1, 5), other_front.locate(2, 5)),
        (on_shard(3), on_shard(4)),
        "served before any answer"
    );
    other_front.handle(Input::Polled(Ok(authority.poll_response(from.epoch))));
    assert_eq!(
        (other_front.locate(1, 5), other_front.locate(2, 5)),
        (on_shard(5), on_shard(4))
    );
    // A change of any byte and any truncation is detected.
    for i in 0..saved.len() {
        let mut corrupt = saved.clone();
        corrupt[i] ^= 0x10;
        assert!(
            Cache::new(section(), 0).restore(0, &corrupt).is_err(),
            "byte {i}"
        );
        assert!(
            Cache::new(section(), 0).restore(0, &saved[..i]).is_err(),
            "{i} bytes"
        );
    }
}

#[test]
fn a_burst_of_2000_moves_causes_a_bounded_number_of_calls() {
    let mut authority = ModelAuthority::new();
    for volume in 0..50 {
        authority.put(volume, 0, u64::MAX, 0);
    }
    let mut front = Front::with_all_volumes(section(), &authority);
    front.advance(10 * SECOND_US);
    front.take_actions();
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut calls, mut moves) = (0, 0);
    while moves < 2_000 {
        // 400 moves per second, each followed by a request that is sent to the old shard and rejected.
        front.now += 2_500;
        moves += 1;
        let (volume, key) = (rng.u64(0..50), rng.u64(..));
        let old_shard = authority.shard_of(volume, key).unwrap();
        authority.put(volume, key & !0xffff, key | 0xffff, rng.u32(1..8));
        front.reject(volume, key, old_shard, Some(authority.version));
        front.handle(Input::Timer);
        for action in front.take_actions() {
            match action {
                Action::Poll { from, .. } => {
                    calls += 1;
                    let response = authority.poll_response(from.unwrap().epoch);
                    front.handle(Input::Polled(Ok(response)));
                }
                Action::Fetch { volume, .. } => {
                    calls += 1;
                    let response = authority.volume_response(volume.0);
                    front.answer_fetch(volume.0, response);
                }
                _ => {}
            }
        }
    }
    assert!(calls < 64, "{calls} calls");
    let from = front.cache.version().unwrap().epoch;
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    for c in &authority.changes {
        assert_eq!(
            front.locate(c.volume.0, c.first),
            on_shard(authority.shard_of(c.volume.0, c.first).unwrap())
        );
    }
}

#[test]
fn a_map_over_its_limit_evicts_the_least_recently_used_volumes() {
    let mut authority = ModelAuthority::new();
    for volume in 0..40 {
        for extent in 0..10 {
            authority.put(volume, extent * 10, extent * 10 + 9, extent as u32 % 4);
        }
    }
    let limits = Section {
        most_extents: 200,
        most_volumes: 30,
        load_burst: 200,
        ..section()
    };
    let mut front = Front::new(limits);
    front.handle(Input::Polled(Ok(PollResponse {
        reset: true,
        ..authority.poll_response(9_999)
    })));
    for volume in 0..40 {
        front.now += 10 * MILLISECOND_US;
        front.locate(volume, 5);
        front.answer_fetch(volume, authority.volume_response(volume));
        assert!(front.cache.map().extents() <= 200 + 12 && front.cache.map().volumes() <= 31);
        assert_eq!(front.locate(volume, 15), on_shard(1));
    }
    assert!(front.cache.counters().evicted_volumes > 0);
    front.take_actions();
    assert_eq!(
        front.locate(39, 5),
        on_shard(0),
        "the most recently used volume is kept"
    );
    assert_eq!(
        front.locate(0, 5),
        Location::Unknown,
        "the least recently used volume was evicted"
    );
    assert_eq!(
        count_fetches(&front.take_actions()),
        1,
        "it is fetched again"
    );
    front.answer_fetch(0, authority.volume_response(0));
    assert_eq!(front.locate(0, 15), on_shard(1));
}

#[test]
fn peer_changes_expire_unless_the_stream_confirms_them() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let section = Section {
        peer_listen: Some("127.0.0.1:1".parse().unwrap()),
        peers: vec!["127.0.0.1:2".parse().unwrap()],
        ..section()
    };
    let (mut front, mut other_front) = (
        Front::with_all_volumes(section.clone(), &authority),
        Front::with_all_volumes(section, &authority),
    );
    let from = authority.version.epoch;
    // Without a stream, one front learns of a move by a rejection and sends it to the other.
    let moved = authority.put(1, 0, 99, 4);
    front.reject(1, 5, 3, Some(authority.version));
    front.answer_fetch(1, authority.volume_response(1));
    front.advance(60 * MILLISECOND_US);
    let datagrams: Vec<_> = front
        .take_actions()
        .into_iter()
        .filter_map(|a| {
            if let Action::SendToPeers(bytes) = a {
                Some(bytes)
            } else {
                None
            }
        })
        .collect();
    assert!(datagrams.len() == 1 && datagrams[0].len() <= datagram::MAX_DATAGRAM_BYTES);
    for bytes in [&datagrams[0], &datagrams[0]] {
        other_front.handle(Input::PeerUpdate(0, bytes.clone()));
    }
    assert_eq!(
        (
            other_front.locate(1, 5),
            other_front.cache.counters().peer_changes
        ),
        (on_shard(4), 1),
        "the repeated datagram changes nothing"
    );
    // A false change: it is not confirmed, and the volume is fetched once the stream has continued without it.
    let false_change = Change {
        shard: Some(9),
        epoch: 1_000,
        ..moved
    };
    other_front.handle(Input::PeerUpdate(0, datagram::encode(5, &[false_change])));
    assert_eq!(other_front.locate(1, 5), on_shard(9));
    other_front.handle(Input::Polled(Ok(authority.poll_response(from))));
    other_front.take_actions();
    other_front.advance(6 * SECOND_US);
    assert_eq!(
        (
            count_fetches(&other_front.out),
            other_front.cache.counters().unconfirmed
        ),
        (1, 1)
    );
    let later = authority.put(2, 0, 1, 1);
    authority.version.epoch = 2_000;
    let _ = later;
    other_front.answer_fetch(1, authority.volume_response(1));
    assert_eq!(other_front.locate(1, 5), on_shard(4));
    // A change that the stream has brought is not sent to the peers.
    let from = authority.version.epoch;
    authority.version.epoch += 1;
    front.reject(1, 5, 4, Some(authority.version));
    authority.put(1, 0, 99, 7);
    front.now += 2 * SECOND_US;
    front.answer_fetch(1, authority.volume_response(1));
    front.handle(Input::Polled(Ok(authority.poll_response(from))));
    front.take_actions();
    front.advance(SECOND_US);
    assert!(!front
        .out
        .iter()
        .any(|a| matches!(a, Action::SendToPeers(_))));
}

#[test]
fn malformed_datagrams_are_counted_and_change_nothing() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let change = Change {
        volume: VolumeId(1),
        first: 0,
        last: 99,
        shard: Some(8),
        epoch: 50,
    };
    let valid = datagram::encode(5, &[change; 6]);
    assert_eq!((valid.len(), datagram::MAX_CHANGES), (232, 6));
    let mut malformed: Vec<Vec<u8>> = (0..valid.len()).map(|i| valid[..i].to_vec()).collect();
    for i in 0..valid.len() {
        let mut flipped = valid.clone();
        flipped[i] ^= 1;
        malformed.push(flipped);
    }
    malformed.push([valid.clone(), vec![0; 100]].concat());
    malformed.push(datagram::encode(
        5,
        &[Change {
            first: 100,
            ..change
        }],
    ));
    let count = malformed.len() as u64;
    for bytes in malformed {
        front.handle(Input::PeerUpdate(3, bytes));
    }
    assert_eq!(
        (
            front.cache.counters().malformed_datagrams,
            front.locate(1, 5)
        ),
        (count, on_shard(3))
    );
    let warnings = front
        .take_actions()
        .iter()
        .filter(|a| {
            matches!(
                a,
                Action::Warn {
                    source: Source::Peer(3),
                    ..
                }
            )
        })
        .count();
    assert_eq!(warnings, 1);
    // Changes of another incarnation, or of an epoch that the stream has passed, are ignored.
    front.handle(Input::PeerUpdate(3, datagram::encode(6, &[change])));
    front.handle(Input::PeerUpdate(
        3,
        datagram::encode(5, &[Change { epoch: 1, ..change }]),
    ));
    assert_eq!(front.locate(1, 5), on_shard(3));
}

#[test]
fn invalid_answers_are_counted_and_change_nothing() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    let mut front = Front::with_all_volumes(section(), &authority);
    let ahead = Change {
        volume: VolumeId(1),
        first: 0,
        last: 99,
        shard: Some(8),
        epoch: 900,
    };
    let response = |changes| PollResponse {
        version: Version {
            epoch: 5,
            ..authority.version
        },
        reset: false,
        full_map: false,
        changes,
    };
    front.handle(Input::Polled(Ok(response(vec![ahead]))));
    front.handle(Input::Polled(Ok(response(vec![Change {
        first: 9,
        last: 8,
        epoch: 4,
        ..ahead
    }]))));
    assert_eq!(
        (front.cache.version(), front.cache.counters().stale_answers),
        (Some(authority.version), 2)
    );
    for invalid in [
        authority.volume_response(2),
        authority.fetch_response(1, (50, 99)),
        FetchResponse {
            extents: vec![Change {
                volume: VolumeId(2),
                epoch: 1,
                ..ahead
            }],
            ..authority.volume_response(1)
        },
        FetchResponse {
            extents: vec![Change { epoch: 1, ..ahead }, Change { epoch: 1, ..ahead }],
            ..authority.volume_response(1)
        },
    ] {
        front.now += 3 * SECOND_US;
        front.reject(
            1,
            5,
            3,
            Some(Version {
                epoch: 2_000,
                ..authority.version
            }),
        );
        front.answer_fetch(1, invalid);
        assert_eq!(front.locate(1, 5), on_shard(3));
    }
    assert_eq!(front.cache.counters().failed_calls, 4);
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
        assert!(serde_json::from_str::<PollResponse>(json).is_err());
    }
    let json = serde_json::to_string(&authority.volume_response(1)).unwrap();
    assert_eq!(
        serde_json::from_str::<FetchResponse>(&json).unwrap(),
        authority.volume_response(1)
    );
    assert!(serde_json::from_str::<FetchResponse>(&json.replace("\"63\"", "\"xyz\"")).is_err());
}

#[test]
fn without_a_stream_volumes_are_refreshed_by_age_or_after_rejections_only() {
    let mut authority = ModelAuthority::new();
    authority.put(1, 0, 99, 3);
    for (strategy, expected) in [(Strategy::None, 0), (Strategy::Ttl, 1)] {
        let mut front = Front::new(Section {
            strategy,
            ttl_ms: 5_000,
            ..section()
        });
        front.locate(1, 5);
        front.answer_fetch(1, authority.volume_response(1));
        front.take_actions();
        front.advance(6 * SECOND_US);
        assert_eq!(front.locate(1, 5), on_shard(3));
        let actions = front.take_actions();
        assert_eq!(
            (count_polls(&actions), count_fetches(&actions)),
            (0, expected),
            "{strategy:?}"
        );
        authority.put(1, 0, 99, 3);
        front.now += 10 * SECOND_US;
        assert_eq!(
            front.reject(1, 5, 3, Some(authority.version)),
            Reroute::Pending
        );
    }
}

/// Random runs: the authority moves extents, its answers are lost, late or out of order, peers send changes, possibly
/// twice, and nodes send hints. The cache never returns a shard that the volume was never on. Once all answers arrive,
/// the map equals the authority's.
#[test]
fn the_map_converges_after_lost_late_reordered_and_repeated_messages() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut authority = ModelAuthority::new();
        let mut front = Front::new(Section {
            refresh_burst: 1_000,
            volume_refreshes_per_s: 500.0,
            refreshes_per_s: 500.0,
            ..section()
        });
        let mut delayed: Vec<Input> = Vec::new();
        let mut ever_on: BTreeMap<(u64, u32), bool> = BTreeMap::new();
        for _ in 0..200 {
            front.now += rng.i64(0..50) * MILLISECOND_US;
            match rng.u32(0..8) {
                0..=2 => {
                    let (a, b) = (rng.u64(0..64), rng.u64(0..64));
                    let (volume, shard) = (rng.u64(0..3), rng.u32(0..5));
                    authority.put(volume, a.min(b), a.max(b), shard);
                    ever_on.insert((volume, shard), true);
                }
                3 => {
                    let (volume, key) = (rng.u64(0..3), rng.u64(0..64));
                    if let Location::OnShard(shard) = front.locate(volume, key) {
                        assert!(
                            ever_on.contains_key(&(volume, shard.0)),
                            "seed {seed}: a shard that the volume was never on"
                        );
                        if authority.shard_of(volume, key) != Some(shard.0) {
                            front.reject(volume, key, shard.0, Some(authority.version));
                        }
                    }
                }
                4 if !authority.changes.is_empty() => {
                    // A peer sends any change made so far, possibly one that it has sent before.
                    let change = authority.changes[rng.usize(0..authority.changes.len())];
                    front.handle(Input::PeerUpdate(0, datagram::encode(5, &[change])));
                }
                _ => front.handle(Input::Timer),
            }
            for action in front.take_actions() {
                match action {
                    Action::Poll { from, .. } => {
                        let known = from.map_or(0, |v| v.epoch);
                        delayed.push(Input::Polled(match rng.u32(0..5) {
                            0 => Err("lost".into()),
                            1 => Ok(PollResponse {
                                reset: true,
                                full_map: false,
                                ..authority.poll_response(authority.version.epoch)
                            }),
                            _ if from.is_none() => Ok(PollResponse {
                                reset: true,
                                full_map: true,
                                ..authority.poll_response(authority.version.epoch)
                            }),
                            _ => Ok(authority.poll_response(known)),
                        }));
                    }
                    Action::Fetch { volume, .. } => {
                        let answer = if rng.u32(0..4) == 0 {
                            Err("lost".into())
                        } else {
                            Ok(authority.volume_response(volume.0))
                        };
                        delayed.push(Input::Fetched { volume, answer });
                    }
                    _ => {}
                }
            }
            // Delayed answers arrive in any order.
            while !delayed.is_empty() && rng.bool() {
                let input = delayed.swap_remove(rng.usize(0..delayed.len()));
                front.handle(input);
            }
        }
        // From here on, every answer arrives.
        for _ in 0..40 {
            front.advance(SECOND_US);
            for volume in 0..3 {
                front.locate(volume, 0);
            }
            let mut inputs = std::mem::take(&mut delayed);
            for action in front.take_actions() {
                match action {
                    Action::Poll { from, .. } => inputs.push(Input::Polled(Ok(match from {
                        Some(v) => authority.poll_response(v.epoch),
                        None => PollResponse {
                            reset: true,
                            full_map: false,
                            ..authority.poll_response(authority.version.epoch)
                        },
                    }))),
                    Action::Fetch { volume, .. } => {
                        inputs.push(Input::Fetched {
                            volume,
                            answer: Ok(authority.volume_response(volume.0)),
                        });
                    }
                    _ => {}
                }
            }
            inputs.into_iter().for_each(|i| front.handle(i));
        }
        for volume in 0..3 {
            for key in 0..64 {
                let expected = authority
                    .shard_of(volume, key)
                    .map_or(Location::Uncovered, on_shard);
                assert_eq!(
                    front.locate(volume, key),
                    expected,
                    "seed {seed}: volume {volume}, key {key}"
                );
            }
        }
    }
}

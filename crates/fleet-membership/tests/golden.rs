//! Golden files of the membership: every kind of datagram, the hash of the roster that goes with each, and the words for operators.

use lupinrack_fleet_membership::agree::{Ballot, Number, Promises, Round, View, Word};
use lupinrack_fleet_membership::bits::Bits;
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::stance::Stance;
use lupinrack_fleet_membership::swim::{News, State};
use lupinrack_fleet_membership::wire::{Body, Datagram, Keys, Told, Void};
use lupinrack_fleet_membership::Counts;
use lupinrack_golden_files::{path, GoldenFile};

/// A small roster, and one whose sets of fronts are longer than the lists that a datagram has room for.
const SMALL: usize = 11;
const LARGE: usize = 500;

fn ballot(round: u32) -> Ballot {
    Ballot {
        round,
        leader: 7,
        life: 0x2122_2324_2526_2728,
    }
}

fn number(round: u32, n: u32) -> Number {
    Number {
        ballot: ballot(round),
        n,
    }
}

fn fronts(of: &[u16]) -> Bits {
    of.iter().copied().collect()
}

fn word() -> Word {
    Word {
        promised: ballot(0x3132_3334),
        number: number(0x2930_3132, 0x4142_4344),
        ..Word::default()
    }
}

fn view() -> View {
    View {
        number: word().number,
        prev: number(0x1920_2122, 0x5152_5354),
        members: fronts(&[0, 2, 10]),
    }
}

fn promises() -> Promises {
    Promises {
        by: fronts(&[1, 3, 9]),
        best: number(0x0910_1112, 0x6162_6364),
    }
}

fn round() -> Round {
    Round {
        k: 0x7172_7374,
        by: fronts(&[4, 5, 8]),
    }
}

fn news(of: u16, state: State) -> News {
    News {
        of,
        state,
        life: 0x8182_8384_8586_8700 + u64::from(of),
        inc: 0x9190 + of,
        by: 10 - of,
    }
}

/// One of each state that is told.
fn all_news() -> Vec<News> {
    [State::Alive, State::Suspect, State::Dead, State::Left]
        .into_iter()
        .zip(1..)
        .map(|(s, of)| news(of, s))
        .collect()
}

fn told(word: Word, leads: bool, news: Vec<News>) -> Told {
    Told { word, leads, news }
}

fn whole() -> Told {
    let word = Word {
        view: Some(view()),
        promises: Some(promises()),
        round: Some(round()),
        ..word()
    };
    told(word, true, all_news())
}

fn datagram(body: Body) -> Datagram {
    Datagram {
        roster: 0x0102_0304,
        from: 6,
        seq: 0x0506_0708,
        life: 0x090a_0b0c_0d0e_0f10,
        to_life: 0x1112_1314_1516_1718,
        inc: 0x191a,
        body,
    }
}

/// Bodies that are read back as they were written, each under a name.
fn bodies() -> Vec<(&'static str, Body)> {
    let only = |word: Word| Body::Push(told(word, false, Vec::new()));
    vec![
        ("hello_not_met", Body::Hello(0)),
        ("hello", Body::Hello(0xa1a2_a3a4_a5a6_a7a8)),
        ("ping", Body::Ping(0xb1b2_b3b4, whole())),
        ("ack", Body::Ack(0xc1c2_c3c4, 0x0102_0305, whole())),
        (
            "ack_without_a_lease",
            Body::Ack(0xc1c2_c3c4, 0, told(word(), false, Vec::new())),
        ),
        ("push", Body::Push(whole())),
        ("push_of_a_new_life", Body::Push(Told::default())),
        ("push_leads", Body::Push(told(word(), true, Vec::new()))),
        (
            "push_view",
            only(Word {
                view: Some(view()),
                ..word()
            }),
        ),
        (
            "push_promises",
            only(Word {
                promises: Some(promises()),
                ..word()
            }),
        ),
        (
            "push_round",
            only(Word {
                round: Some(round()),
                ..word()
            }),
        ),
        ("push_news", Body::Push(told(word(), false, all_news()))),
        ("ask", Body::Ask(9, 0xd1d2_d3d4)),
        ("reached", Body::Reached(0xe1e2_e3e4, true)),
        ("not_reached", Body::Reached(0xe1e2_e3e4, false)),
        ("serves_nothing", Body::Serves(0xf1, Vec::new())),
        (
            "serves",
            Body::Serves(0xf2, vec![0x0101_0101_0101_0102, 0x0202_0202_0202_0203]),
        ),
        (
            "heard",
            Body::Heard(
                0xf3,
                vec![0x0303_0303_0303_0304, 0x0404_0404_0404_0405],
                0x8000_0002,
            ),
        ),
        ("contested", Body::Contested),
    ]
}

#[test]
fn every_kind_of_datagram_keeps_its_form() {
    let keys = Keys::default();
    let mut examples = GoldenFile::open(path!("datagrams.txt"));
    for (name, body) in bodies() {
        examples.add_bytes(name, &datagram(body).write(SMALL, &keys));
    }
    let kept = examples.check();
    for (name, body) in bodies() {
        assert_eq!(
            Datagram::read(&kept.bytes(name), SMALL, &keys),
            Ok(datagram(body)),
            "{name}"
        );
    }
}

#[test]
fn datagrams_under_a_key_keep_their_sum() {
    let keys = Keys {
        sign: Some([0x5a; 32]),
        also: None,
    };
    let written = datagram(Body::Ping(0xb1b2_b3b4, told(word(), false, all_news())));
    let mut examples = GoldenFile::open(path!("datagrams-keyed.txt"));
    examples.add_bytes("ping", &written.write(SMALL, &keys));
    let kept = examples.check();
    assert_eq!(
        Datagram::read(&kept.bytes("ping"), SMALL, &keys),
        Ok(written)
    );
    let other = Keys {
        sign: Some([0xa5; 32]),
        also: None,
    };
    assert_eq!(
        Datagram::read(&kept.bytes("ping"), SMALL, &other),
        Err(Void::Sum)
    );
}

/// In a large roster sets are longer, and what does not fit is left out: first whole sets in their order, then news from its end.
#[test]
fn datagrams_of_a_large_roster_leave_out_what_does_not_fit() {
    let keys = Keys::default();
    let word = Word {
        view: Some(View {
            members: fronts(&[0, 255, 499]),
            ..view()
        }),
        promises: Some(Promises {
            by: fronts(&[1, 256, 498]),
            ..promises()
        }),
        round: Some(Round {
            by: fronts(&[2, 257, 497]),
            ..round()
        }),
        ..word()
    };
    let long_news: Vec<News> = all_news().into_iter().cycle().take(14).collect();
    let crowded = datagram(Body::Push(told(word, true, all_news())));
    let crowded_fits = datagram(Body::Push(told(
        Word {
            round: None,
            ..word
        },
        true,
        all_news()[..1].to_vec(),
    )));
    let newsy = datagram(Body::Push(told(
        Word {
            view: None,
            promises: None,
            round: None,
            ..word
        },
        false,
        long_news.clone(),
    )));
    let newsy_fits = datagram(Body::Push(told(
        Word {
            view: None,
            promises: None,
            round: None,
            ..word
        },
        false,
        long_news[..12].to_vec(),
    )));
    let mut examples = GoldenFile::open(path!("datagrams-large.txt"));
    examples.add_bytes("sets_that_do_not_fit", &crowded.write(LARGE, &keys));
    examples.add_bytes("news_that_does_not_fit", &newsy.write(LARGE, &keys));
    let kept = examples.check();
    for (name, fits) in [
        ("sets_that_do_not_fit", crowded_fits),
        ("news_that_does_not_fit", newsy_fits),
    ] {
        assert_eq!(
            Datagram::read(&kept.bytes(name), LARGE, &keys),
            Ok(fits),
            "{name}"
        );
    }
}

fn section(names: &[&str]) -> Section {
    let address = |i: usize| std::net::SocketAddr::from(([127, 0, 0, 1], 7001 + i as u16));
    let member = names.iter().enumerate().map(|(i, name)| Peer {
        name: (*name).into(),
        address: address(i),
    });
    Section {
        enabled: true,
        member: member.collect(),
        ..Section::default()
    }
}

/// Fronts whose hashes differ don't count on each other: what goes into the hash is a part of the protocol.
#[test]
fn the_hash_of_a_roster_follows_from_names_and_terms() {
    let plain = section(&["n0", "n1", "n2"]);
    let mut examples = GoldenFile::open(path!("roster-hashes.txt"));
    let mut add =
        |name: &str, section: &Section| examples.add_bytes(name, &section.roster().to_be_bytes());
    add("three_fronts", &plain);
    add("another_order", &section(&["n1", "n0", "n2"]));
    add(
        "another_lease",
        &Section {
            lease_ms: 2600,
            ..plain.clone()
        },
    );
    add(
        "another_drift",
        &Section {
            drift_ppm: 2001,
            ..plain.clone()
        },
    );
    add(
        "another_reserve",
        &Section {
            reserve: 0.2,
            ..plain.clone()
        },
    );
    let mut moved = plain.clone();
    moved.member[1].address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    (moved.period_ms, moved.most_volumes) = (300, 7);
    add("another_address_and_pace", &moved);
    let kept = examples.check();
    assert_eq!(
        kept.text("three_fronts"),
        kept.text("another_address_and_pace")
    );
}

/// In figures, in JSON at the door, and in lines of the log.
#[test]
fn words_for_operators_stay() {
    let mut examples = GoldenFile::open(path!("words.txt"));
    for (name, stance) in [
        ("stance_starting", Stance::Starting),
        ("stance_alone", Stance::Alone),
        ("stance_minority", Stance::Minority),
        ("stance_healing", Stance::Healing),
        ("stance_majority", Stance::Majority),
        ("stance_paused", Stance::Paused),
        ("stance_leaving", Stance::Leaving),
        ("stance_contested", Stance::Contested),
    ] {
        examples.add(name, stance.word());
    }
    for (name, state) in [
        ("state_unknown", State::Unknown),
        ("state_alive", State::Alive),
        ("state_suspect", State::Suspect),
        ("state_dead", State::Dead),
        ("state_left", State::Left),
    ] {
        examples.add(name, state.word());
    }
    examples.add("view_none", Number::default());
    examples.add(
        "view",
        Number {
            ballot: Ballot {
                round: 12,
                leader: 3,
                life: 0x0102_0304_0506_000f,
            },
            n: 45,
        },
    );
    examples.check();
}

#[test]
fn counts_keep_their_names() {
    let counts = Counts {
        sent: 1,
        bytes: 2,
        taken: 3,
        void: 4,
        stale: 5,
        held_back: 6,
        carried: 7,
        views: 8,
    };
    let text = serde_json::to_string_pretty(&counts).unwrap() + "\n";
    let kept = lupinrack_golden_files::check_text(path!("counts.json"), &text);
    assert_eq!(serde_json::from_str::<Counts>(&kept).unwrap(), counts);
    // An older front does not tell of what other machines said.
    let older = kept.replace("  \"carried\": 7,\n", "");
    assert_eq!(
        serde_json::from_str::<Counts>(&older).unwrap(),
        Counts {
            carried: 0,
            ..counts
        }
    );
}

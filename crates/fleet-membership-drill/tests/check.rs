//! Each checker finds the fault that is planted for it, and nothing where there is none.

use lupinrack_fault_injection::checks::{cold, duplicates, limits, lost, FaultTimeline};
use lupinrack_fault_injection::history::{Entry, LogRecord};
use lupinrack_fault_injection::run_record::{NodeAttempt, SentRequest};
use lupinrack_fault_injection::{Act, Script};
use lupinrack_fleet_membership_drill::check::{deaths, parts, views};
use mock_servers::load::RequestOutcome;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};

const S: u64 = 1_000_000;

fn said(front: u16, what: &str, fields: Value) -> Entry {
    Entry::Logged(LogRecord {
        front,
        twin: false,
        event: what.into(),
        fields,
    })
}

fn rights(until: u64, cold: f64, factors: &str) -> Value {
    json!({"until_unix_us": until, "reserve": 0.15, "cold": cold, "factors": factors})
}

fn ran(at: u64, node: usize, volume: u64, units: u32) -> NodeAttempt {
    // Each its own request.
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed).to_string();
    NodeAttempt {
        at,
        node,
        cold: None,
        id,
        volume,
        units,
        ran: true,
        dropped: false,
        key: None,
    }
}

#[test]
fn two_lists_under_one_number() {
    let view = |members: &str| json!({"view": "1.0-aaaa.2", "members": members});
    let mut history = vec![
        (1, said(0, "view", view("n0 n1"))),
        (2, said(1, "view", view("n0 n1"))),
    ];
    let mut broken = Vec::new();
    assert_eq!((views(&history, &mut broken), broken.len()), ((1, 0), 0));
    history.push((3, said(2, "view", view("n0 n2"))));
    assert_eq!((views(&history, &mut broken), broken.len()), ((1, 1), 1));
}

#[test]
fn parts_past_the_whole_of_cold_budgets_and_of_one_volume() {
    let mut script = Script::new("x", 1, 3, 1.0);
    (script.hosts, script.volumes) = (3, 2);
    let mut broken = Vec::new();
    let whole: Vec<_> = (0..3)
        .map(|f| (S, said(f, "rights", rights(5 * S, 1.0, ""))))
        .collect();
    assert!((parts(&script, &whole, &[], &mut broken) - 1.0).abs() < 1e-9 && broken.is_empty());
    // One takes over while the one that had it still may: until its lease ends, and while it lives.
    let mut early = whole.clone();
    early.push((4 * S, said(0, "rights", rights(9 * S, 1.425, ""))));
    assert!(parts(&script, &early, &[], &mut broken) > 1.1 && !broken.is_empty());
    let mut volume = whole.clone();
    volume.push((4 * S, said(0, "rights", rights(9 * S, 1.0, "2:1.425"))));
    assert!(
        parts(&script, &volume, &[], &mut Vec::new()) > 1.1,
        "of one volume only"
    );
    let mut late = whole;
    late.push((6 * S, said(0, "rights", rights(9 * S, 1.425, ""))));
    assert!(
        parts(&script, &late, &[], &mut Vec::new()) <= 1.0 + 1e-9,
        "the others' leases have ended"
    );
}

#[test]
fn a_newcomer_that_uses_its_even_part_beside_those_who_share_out_a_dead_ones() {
    let mut script = Script::new("x", 1, 4, 1.0);
    (script.hosts, script.volumes) = (3, 1);
    let injected_acts = [(
        2 * S,
        Act::Joins {
            volume: 0,
            front: 3,
        },
    )];
    let mut history: Vec<_> = (1..3)
        .map(|f| (3 * S, said(f, "rights", rights(9 * S, 1.0, "1:1.425"))))
        .collect();
    let mut careful = rights(9 * S, 1.0, "");
    careful["rest"] = json!(0.15);
    history.push((3 * S, said(3, "rights", careful)));
    assert!(parts(&script, &history, &injected_acts, &mut Vec::new()) <= 1.0 + 1e-9);
    history.push((4 * S, said(3, "rights", rights(9 * S, 1.0, ""))));
    assert!(parts(&script, &history, &injected_acts, &mut Vec::new()) > 1.2);
}

#[test]
fn a_limit_that_is_passed() {
    // 40 units a second after a first 46 at once.
    let mut seen: Vec<NodeAttempt> = (0..11).map(|_| ran(S, 0, 1, 4)).collect();
    seen.extend((1..100).map(|i| ran(S + i * 100_000, 0, 1, 4)));
    let mut broken = Vec::new();
    assert_eq!((limits(&seen, &mut broken), broken.len()), (0, 0));
    seen.push(ran(11 * S, 1, 1, 4));
    seen.push(ran(11 * S, 2, 1, 4));
    assert_eq!(
        (limits(&seen, &mut broken), broken.len()),
        (1, 1),
        "at whichever nodes"
    );
    // A request draws once, whatever became of its first attempt; another one draws for itself.
    let mut one: Vec<NodeAttempt> = (0..3)
        .map(|i| NodeAttempt {
            id: "one".into(),
            ..ran(S, i, 1, 16)
        })
        .collect();
    assert_eq!(limits(&one, &mut Vec::new()), 0);
    one.iter_mut()
        .zip(["one", "two", "three"])
        .for_each(|(s, id)| s.id = id.into());
    assert_eq!(limits(&one, &mut Vec::new()), 1);
}

#[test]
fn a_cold_node_that_is_pushed_over() {
    let on = |at: u64| NodeAttempt {
        cold: Some(S),
        ..ran(at, 5, 0, 4)
    };
    let mut broken = Vec::new();
    let seen: Vec<NodeAttempt> = (0..25).map(|i| on(S + i * 28_000)).collect();
    let (over, most) = cold(&seen, &mut broken);
    assert!(over == 0 && most > 0.5 && most <= 1.0, "{over} {most}");
    let seen: Vec<NodeAttempt> = (0..60).map(|i| on(S + i * 15_000)).collect();
    let (over, most) = cold(&seen, &mut broken);
    assert!(
        over > 0 && most > 1.0 && !broken.is_empty(),
        "{over} {most}"
    );
}

#[test]
fn a_write_that_runs_twice_and_a_request_without_an_answer() {
    let write = |node: usize| NodeAttempt {
        key: Some("k".into()),
        ..ran(S, node, 10_000, 1)
    };
    let mut broken = Vec::new();
    let dropped = NodeAttempt {
        dropped: true,
        ..write(1)
    };
    assert_eq!(
        duplicates(&[write(1), dropped], &mut broken),
        0,
        "the node dropped the repeat"
    );
    assert_eq!(duplicates(&[write(1), write(2)], &mut broken), 1);
    let late = NodeAttempt {
        at: 9 * S,
        ..write(1)
    };
    assert_eq!(
        duplicates(&[write(1), late], &mut broken),
        1,
        "past the window, at the same node"
    );
    let script = Script::new("x", 1, 3, 20.0);
    let injected_acts = [(10 * S, Act::Kill { front: 1 })];
    let well = FaultTimeline::new(&script, &injected_acts);
    let ask = |front: u16, at: u64| SentRequest {
        at,
        front,
        volume: 1,
        units: 4,
        limited: true,
        writes: false,
    };
    let done = |front, at| (ask(front, at), RequestOutcome::Lost);
    assert_eq!(
        lost(&[done(1, 9 * S)], &well, &mut broken),
        0,
        "it was killed under it"
    );
    assert_eq!(
        lost(&[done(0, 9 * S), done(1, 2 * S)], &well, &mut broken),
        2
    );
}

#[test]
fn a_front_held_for_dead_while_it_is_well() {
    let script = Script::new("x", 1, 5, 30.0);
    let injected_acts = [(10 * S, Act::Mute { front: 1 }), (20 * S, Act::Heal)];
    let well = FaultTimeline::new(&script, &injected_acts);
    let dead = |at: u64, by: u16, of: u16| {
        (
            at,
            said(
                by,
                "member",
                json!({"to": "dead", "front": format!("n{of}")}),
            ),
        )
    };
    assert_eq!(
        deaths(&[dead(12 * S, 0, 1)], &well).len(),
        0,
        "it was not heard"
    );
    assert_eq!(deaths(&[dead(8 * S, 0, 1)], &well).len(), 1);
    assert_eq!(
        deaths(
            &[dead(8 * S, 0, 1), dead(9 * S, 2, 1), dead(16 * S, 0, 2)],
            &well
        )
        .len(),
        2
    );
}

//! Each checker reports the violation in a history made for it, and nothing in a history without one.

use lupinrack_fault_injection::checks::{cold, duplicates, limits, lost, FaultTimeline};
use lupinrack_fault_injection::history::{Entry, LogRecord};
use lupinrack_fault_injection::run_record::{NodeAttempt, SentRequest};
use lupinrack_fault_injection::{Act, Script};
use lupinrack_fleet_membership_drill::check::{count_views, false_deaths, max_share_sum};
use mock_servers::load::RequestOutcome;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};

const SECOND_US: u64 = 1_000_000;

fn said(front: u16, what: &str, fields: Value) -> Entry {
    Entry::Logged(LogRecord {
        front,
        twin: false,
        event: what.into(),
        fields,
    })
}

fn shares(valid_until: u64, slow_start: f64, factors: &str) -> Value {
    json!({"until_unix_us": valid_until, "reserve": 0.15, "cold": slow_start, "factors": factors})
}

fn ran(at: u64, node: usize, volume: u64, units: u32) -> NodeAttempt {
    // Each call is a request of its own.
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).to_string();
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
fn view_number_with_two_member_lists_is_reported() {
    let view = |members: &str| json!({"view": "1.0-aaaa.2", "members": members});
    let mut history = vec![
        (1, said(0, "view", view("n0 n1"))),
        (2, said(1, "view", view("n0 n1"))),
    ];
    let mut violations = Vec::new();
    assert_eq!(
        (count_views(&history, &mut violations), violations.len()),
        ((1, 0), 0)
    );
    history.push((3, said(2, "view", view("n0 n2"))));
    assert_eq!(
        (count_views(&history, &mut violations), violations.len()),
        ((1, 1), 1)
    );
}

#[test]
fn shares_that_exceed_slow_start_budgets_or_a_volume_limit_are_reported() {
    let mut script = Script::new("x", 1, 3, 1.0);
    (script.hosts, script.volumes) = (3, 2);
    let mut violations = Vec::new();
    let even_shares: Vec<_> = (0..3)
        .map(|front| {
            (
                SECOND_US,
                said(front, "rights", shares(5 * SECOND_US, 1.0, "")),
            )
        })
        .collect();
    assert!(
        (max_share_sum(&script, &even_shares, &[], &mut violations) - 1.0).abs() < 1e-9
            && violations.is_empty()
    );
    // A front takes a share over while the lease of the previous owner is still valid.
    let mut too_early = even_shares.clone();
    too_early.push((
        4 * SECOND_US,
        said(0, "rights", shares(9 * SECOND_US, 1.425, "")),
    ));
    assert!(
        max_share_sum(&script, &too_early, &[], &mut violations) > 1.1 && !violations.is_empty()
    );
    let mut volume = even_shares.clone();
    volume.push((
        4 * SECOND_US,
        said(0, "rights", shares(9 * SECOND_US, 1.0, "2:1.425")),
    ));
    assert!(
        max_share_sum(&script, &volume, &[], &mut Vec::new()) > 1.1,
        "the limit of one volume"
    );
    let mut after_leases = even_shares;
    after_leases.push((
        6 * SECOND_US,
        said(0, "rights", shares(9 * SECOND_US, 1.425, "")),
    ));
    assert!(
        max_share_sum(&script, &after_leases, &[], &mut Vec::new()) <= 1.0 + 1e-9,
        "the leases of the others have ended"
    );
}

#[test]
fn even_share_of_a_new_front_beside_a_taken_over_share_is_reported() {
    let mut script = Script::new("x", 1, 4, 1.0);
    (script.hosts, script.volumes) = (3, 1);
    let injected_acts = [(
        2 * SECOND_US,
        Act::Joins {
            volume: 0,
            front: 3,
        },
    )];
    let mut history: Vec<_> = (1..3)
        .map(|front| {
            (
                3 * SECOND_US,
                said(front, "rights", shares(9 * SECOND_US, 1.0, "1:1.425")),
            )
        })
        .collect();
    let mut reserve_only = shares(9 * SECOND_US, 1.0, "");
    reserve_only["rest"] = json!(0.15);
    history.push((3 * SECOND_US, said(3, "rights", reserve_only)));
    assert!(max_share_sum(&script, &history, &injected_acts, &mut Vec::new()) <= 1.0 + 1e-9);
    history.push((
        4 * SECOND_US,
        said(3, "rights", shares(9 * SECOND_US, 1.0, "")),
    ));
    assert!(max_share_sum(&script, &history, &injected_acts, &mut Vec::new()) > 1.2);
}

#[test]
fn exceeded_limit_is_reported() {
    // A burst of 46 units at once, then 40 units per second.
    let mut seen: Vec<NodeAttempt> = (0..11).map(|_| ran(SECOND_US, 0, 1, 4)).collect();
    seen.extend((1..100).map(|i| ran(SECOND_US + i * 100_000, 0, 1, 4)));
    let mut violations = Vec::new();
    assert_eq!((limits(&seen, &mut violations), violations.len()), (0, 0));
    seen.push(ran(11 * SECOND_US, 1, 1, 4));
    seen.push(ran(11 * SECOND_US, 2, 1, 4));
    assert_eq!(
        (limits(&seen, &mut violations), violations.len()),
        (1, 1),
        "the units of all nodes count"
    );
    // All attempts of one request count once; each request counts by itself.
    let mut attempts: Vec<NodeAttempt> = (0..3)
        .map(|i| NodeAttempt {
            id: "one".into(),
            ..ran(SECOND_US, i, 1, 16)
        })
        .collect();
    assert_eq!(limits(&attempts, &mut Vec::new()), 0);
    attempts
        .iter_mut()
        .zip(["one", "two", "three"])
        .for_each(|(s, id)| s.id = id.into());
    assert_eq!(limits(&attempts, &mut Vec::new()), 1);
}

#[test]
fn overload_of_a_node_in_slow_start_is_reported() {
    let request = |at: u64| NodeAttempt {
        cold: Some(SECOND_US),
        ..ran(at, 5, 0, 4)
    };
    let mut violations = Vec::new();
    let seen: Vec<NodeAttempt> = (0..25).map(|i| request(SECOND_US + i * 28_000)).collect();
    let (seconds_over, max_load) = cold(&seen, &mut violations);
    assert!(
        seconds_over == 0 && max_load > 0.5 && max_load <= 1.0,
        "{seconds_over} {max_load}"
    );
    let seen: Vec<NodeAttempt> = (0..60).map(|i| request(SECOND_US + i * 15_000)).collect();
    let (seconds_over, max_load) = cold(&seen, &mut violations);
    assert!(
        seconds_over > 0 && max_load > 1.0 && !violations.is_empty(),
        "{seconds_over} {max_load}"
    );
}

#[test]
fn duplicate_writes_and_unanswered_requests_are_reported() {
    let write = |node: usize| NodeAttempt {
        key: Some("k".into()),
        ..ran(SECOND_US, node, 10_000, 1)
    };
    let mut violations = Vec::new();
    let dropped = NodeAttempt {
        dropped: true,
        ..write(1)
    };
    assert_eq!(
        duplicates(&[write(1), dropped], &mut violations),
        0,
        "the node dropped the repeat"
    );
    assert_eq!(duplicates(&[write(1), write(2)], &mut violations), 1);
    let later = NodeAttempt {
        at: 9 * SECOND_US,
        ..write(1)
    };
    assert_eq!(
        duplicates(&[write(1), later], &mut violations),
        1,
        "at the same node, after its deduplication window"
    );
    let script = Script::new("x", 1, 3, 20.0);
    let injected_acts = [(10 * SECOND_US, Act::Kill { front: 1 })];
    let well = FaultTimeline::new(&script, &injected_acts);
    let request = |front: u16, at: u64| SentRequest {
        at,
        front,
        volume: 1,
        units: 4,
        limited: true,
        writes: false,
    };
    let unanswered = |front, at| (request(front, at), RequestOutcome::Lost);
    assert_eq!(
        lost(&[unanswered(1, 9 * SECOND_US)], &well, &mut violations),
        0,
        "the front was killed during the request"
    );
    assert_eq!(
        lost(
            &[unanswered(0, 9 * SECOND_US), unanswered(1, 2 * SECOND_US)],
            &well,
            &mut violations
        ),
        2
    );
}

#[test]
fn false_deaths_are_reported() {
    let script = Script::new("x", 1, 5, 30.0);
    let injected_acts = [
        (10 * SECOND_US, Act::Mute { front: 1 }),
        (20 * SECOND_US, Act::Heal),
    ];
    let well = FaultTimeline::new(&script, &injected_acts);
    let declared_dead = |at: u64, by: u16, front: u16| {
        (
            at,
            said(
                by,
                "member",
                json!({"to": "dead", "front": format!("n{front}")}),
            ),
        )
    };
    assert_eq!(
        false_deaths(&[declared_dead(12 * SECOND_US, 0, 1)], &well).len(),
        0,
        "the front was muted"
    );
    assert_eq!(
        false_deaths(&[declared_dead(8 * SECOND_US, 0, 1)], &well).len(),
        1
    );
    assert_eq!(
        false_deaths(
            &[
                declared_dead(8 * SECOND_US, 0, 1),
                declared_dead(9 * SECOND_US, 2, 1),
                declared_dead(16 * SECOND_US, 0, 2)
            ],
            &well
        )
        .len(),
        2
    );
}

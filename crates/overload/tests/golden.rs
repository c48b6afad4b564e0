//! Golden files of the announcements of recovered nodes.

use lupinrack_fleet::FleetState;
use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::share::Share;
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_overload::{Action, Prober, Section};
use lupinrack_policy::Micros;

const START: Micros = 10_000_000;
/// The time from the first round of announcements to the second one.
const SECOND_ROUND_AFTER: Micros = 61_000;
/// The front that announces; the only other one is 1.
const ANNOUNCER: u16 = 0;

fn fleet_state(me: u16) -> FleetState {
    FleetState {
        me,
        front_count: 2,
        process_incarnation: 1,
        participation: Participation::Majority,
        view_number: ViewNumber::default(),
        members: FrontSet::first_n(2),
        present: FrontSet::first_n(2),
        share: Share::default(),
        leads: false,
    }
}

fn nodes(count: u64) -> Vec<u64> {
    (0..count)
        .map(|i| 0x0102_0304_0506_0708 + i * 0x0101_0101_0101_0101)
        .collect()
}

fn sent(out: &[Action]) -> Vec<Vec<u8>> {
    let bytes = |action: &Action| match action {
        Action::Send(1, bytes) => Some(bytes.clone()),
        _ => None,
    };
    out.iter().filter_map(bytes).collect()
}

/// The announcements of recovered nodes, in the first and in the second round.
fn announcements(nodes: &[u64]) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
    let mut prober = Prober::new(&Section::default());
    prober.step(
        START - 1,
        nodes,
        &[],
        &fleet_state(ANNOUNCER),
        &mut Vec::new(),
    );
    let mut first_round = Vec::new();
    prober.step(START, &[], nodes, &fleet_state(ANNOUNCER), &mut first_round);
    let mut second_round = Vec::new();
    prober.step(
        START + SECOND_ROUND_AFTER,
        &[],
        &[],
        &fleet_state(ANNOUNCER),
        &mut second_round,
    );
    (sent(&first_round), sent(&second_round))
}

/// The recoveries that a front accepts to which all nodes are unresponsive since `since`.
fn accepted(bytes: &[u8], nodes: &[u64], since: Micros, now: Micros) -> Vec<u64> {
    let mut prober = Prober::new(&Section::default());
    prober.step(since, nodes, &[], &fleet_state(1), &mut Vec::new());
    let mut out = Vec::new();
    prober.receive(now, ANNOUNCER, bytes, &mut out);
    let recovered = out.into_iter().filter_map(|action| match action {
        Action::Recovered(node) => Some(node),
        _ => None,
    });
    recovered.collect()
}

#[test]
fn announcements_match_golden_file() {
    let (one, many) = (nodes(1), nodes(17));
    let (first_round, second_round) = announcements(&one);
    let (of_many, _) = announcements(&many);
    assert_eq!(
        (first_round.len(), second_round.len(), of_many.len()),
        (1, 1, 2)
    );
    let mut examples = GoldenFile::open(path!("answers.txt"));
    examples.add_bytes("one_node", &first_round[0]);
    examples.add_bytes("one_node_later", &second_round[0]);
    examples.add_bytes("as_many_as_go_at_once", &of_many[0]);
    examples.add_bytes("the_rest", &of_many[1]);
    let golden = examples.check();

    let decoded =
        |name: &str, nodes: &[u64]| accepted(&golden.bytes(name), nodes, START - 1, START);
    assert_eq!(decoded("one_node", &one), one);
    assert_eq!(decoded("as_many_as_go_at_once", &many), many[..16]);
    assert_eq!(decoded("the_rest", &many), many[16..]);
    // The announcement contains the age of the recovery, 61 ms: it is not accepted for a node that became unresponsive later.
    let second_round = golden.bytes("one_node_later");
    let now = START + SECOND_ROUND_AFTER;
    assert_eq!(
        accepted(&second_round, &one, now - SECOND_ROUND_AFTER, now),
        one
    );
    assert!(accepted(&second_round, &one, now - SECOND_ROUND_AFTER + 1, now).is_empty());
}

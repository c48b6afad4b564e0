//! Golden files of what fronts tell each other of nodes that answer again.

use lupinrack_fleet::Standing;
use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::share::Share;
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_overload::{Act, Section, Trials};
use lupinrack_policy::Micros;

const START: Micros = 10_000_000;
/// Between the first telling and the second one.
const LATER: Micros = 61_000;
/// The front that tells; its only other front is 1.
const TELLER: u16 = 0;

fn standing(me: u16) -> Standing {
    Standing {
        me,
        fronts: 2,
        life: 1,
        stance: Participation::Majority,
        view: ViewNumber::default(),
        members: FrontSet::first_n(2),
        there: FrontSet::first_n(2),
        share: Share::default(),
        leads: false,
    }
}

fn nodes(count: u64) -> Vec<u64> {
    (0..count)
        .map(|i| 0x0102_0304_0506_0708 + i * 0x0101_0101_0101_0101)
        .collect()
}

fn said(out: &[Act]) -> Vec<Vec<u8>> {
    let bytes = |act: &Act| match act {
        Act::Say(1, bytes) => Some(bytes.clone()),
        _ => None,
    };
    out.iter().filter_map(bytes).collect()
}

/// What is told of nodes that answer again, at once and a round later.
fn told(nodes: &[u64]) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
    let mut trials = Trials::new(&Section::default());
    trials.step(START - 1, nodes, &[], &standing(TELLER), &mut Vec::new());
    let mut at_once = Vec::new();
    trials.step(START, &[], nodes, &standing(TELLER), &mut at_once);
    let mut later = Vec::new();
    trials.step(START + LATER, &[], &[], &standing(TELLER), &mut later);
    (said(&at_once), said(&later))
}

/// The nodes of which a front that holds all for silent since `since` believes that they answer.
fn believed(bytes: &[u8], nodes: &[u64], since: Micros, now: Micros) -> Vec<u64> {
    let mut trials = Trials::new(&Section::default());
    trials.step(since, nodes, &[], &standing(1), &mut Vec::new());
    let mut out = Vec::new();
    trials.hear(now, TELLER, bytes, &mut out);
    let back = out.into_iter().filter_map(|act| match act {
        Act::Back(node) => Some(node),
        _ => None,
    });
    back.collect()
}

#[test]
fn nodes_that_answer_are_told_in_the_same_form() {
    let (one, many) = (nodes(1), nodes(17));
    let (at_once, later) = told(&one);
    let (of_many, _) = told(&many);
    assert_eq!((at_once.len(), later.len(), of_many.len()), (1, 1, 2));
    let mut examples = GoldenFile::open(path!("answers.txt"));
    examples.add_bytes("one_node", &at_once[0]);
    examples.add_bytes("one_node_later", &later[0]);
    examples.add_bytes("as_many_as_go_at_once", &of_many[0]);
    examples.add_bytes("the_rest", &of_many[1]);
    let kept = examples.check();

    let heard = |name: &str, nodes: &[u64]| believed(&kept.bytes(name), nodes, START - 1, START);
    assert_eq!(heard("one_node", &one), one);
    assert_eq!(heard("as_many_as_go_at_once", &many), many[..16]);
    assert_eq!(heard("the_rest", &many), many[16..]);
    // The age that is told counts: 61 ms before it was told the node was seen to answer, and not after that.
    let later = kept.bytes("one_node_later");
    let now = START + LATER;
    assert_eq!(believed(&later, &one, now - LATER, now), one);
    assert!(believed(&later, &one, now - LATER + 1, now).is_empty());
}

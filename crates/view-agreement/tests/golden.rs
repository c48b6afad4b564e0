//! Encoded forms that must not change: the vote on the disk, and the messages that an agreement sends.

mod common;

use borsh::{BorshDeserialize, BorshSerialize};
use common::{address, disk, view, voter};
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_view_agreement::{Agreement, Effect, VoteState};
use std::collections::{BTreeSet, VecDeque};
use std::fmt::Debug;
use std::path::Path;

const NOW: Millis = Millis(1000);
/// The machines that found the system.
const FOUNDERS: [u8; 3] = [1, 2, 3];

/// A message in flight: its sender, its receiver and its contents.
type Envelope = (PeerAddress, PeerAddress, AgreementMessage);

/// Checks that the file holds exactly the encoded forms of these values, and that they decode to the values.
fn assert_kept<T>(file: &str, examples: &[(String, T)])
where
    T: BorshSerialize + BorshDeserialize + PartialEq + Debug,
{
    let mut golden = GoldenFile::open(Path::new(path!()).join(file));
    for (name, value) in examples {
        golden.add_borsh(name, value);
    }
    golden.check();
}

#[test]
fn the_vote_on_the_disk() {
    let prepared = ProposalNumber {
        term: 0x0102_0304,
        incarnation: 0x1112_1314_1516_1718,
    };
    let accepted_proposal = ProposalNumber {
        term: 0x0201,
        incarnation: 0x2122_2324_2526_2728,
    };
    let founding = VoteState {
        prepared,
        founders: vec![address(1), address(2), address(3)],
        ..VoteState::default()
    };
    let first_accepted = VoteState {
        accepted_proposal,
        accepted: view(1, &[1, 2, 3], &[3, 1]),
        ..founding.clone()
    };
    let whole = VoteState {
        agreed: view(1, &[1, 2, 3], &[3, 1]),
        accepted: view(2, &[4, 2, 1, 3, 5], &[1]),
        ..first_accepted.clone()
    };
    let new_disk = VoteState {
        agreed: view(0x0901, &[7, 8], &[8, 7]),
        ..VoteState::default()
    };
    let examples = [
        ("nothing", VoteState::default()),
        ("founding", founding),
        ("view 1 accepted", first_accepted),
        ("view 2 accepted", whole),
        ("newcomer", new_disk),
    ];
    assert_kept(
        "vote.hex",
        &examples.map(|(name, vote)| (name.to_owned(), vote)),
    );
}

#[test]
fn the_messages_of_an_agreement() {
    let mut messages = founding();
    messages.extend(overtaken_ballot());
    let kinds: BTreeSet<&str> = messages
        .iter()
        .map(|(_, _, message)| kind(message))
        .collect();
    assert_eq!(kinds.len(), 6, "{kinds:?}");
    let named = messages
        .into_iter()
        .enumerate()
        .map(|(number, (from, to, message))| {
            (
                format!(
                    "{number:02} {} {} to {}",
                    kind(&message),
                    from.0.ip(),
                    to.0.ip()
                ),
                message,
            )
        });
    assert_kept("messages.hex", &named.collect::<Vec<_>>());
}

/// All messages from the proposal of view 1 until every founder knows it.
fn founding() -> Vec<Envelope> {
    let mut founders: Vec<Agreement> = FOUNDERS.into_iter().map(founder).collect();
    let proposed = founders[0].propose(view(1, &FOUNDERS, &[2, 3, 1]), NOW);
    let mut queue = VecDeque::from(messages(address(FOUNDERS[0]), proposed));
    let mut seen = Vec::new();
    while let Some((from, to, message)) = queue.pop_front() {
        seen.push((from, to, message.clone()));
        let index = FOUNDERS
            .iter()
            .position(|index| address(*index) == to)
            .unwrap();
        queue.extend(messages(to, founders[index].receive(from, message, NOW)));
    }
    assert!(founders.iter().all(|founder| founder.current().number == 1));
    seen
}

/// The messages of a proposer whose proposal number is lower than the promised one.
fn overtaken_ballot() -> Vec<Envelope> {
    let (proposer, acceptor) = (address(9), address(2));
    let prepared = ProposalNumber {
        term: 0x0706,
        incarnation: 0x3132_3334_3536_3738,
    };
    let agreed = view(5, &[2, 9, 4], &[4, 2]);
    let vote = VoteState {
        prepared,
        agreed,
        ..VoteState::default()
    };
    let mut agreement = Agreement::new(voter(2), incarnation(2), vote, Vec::new());
    let lower = ProposalNumber {
        term: 0x0605,
        incarnation: 0x4142_4344_4546_4748,
    };
    let effects = agreement.receive(
        proposer,
        AgreementMessage::Prepare {
            proposal_number: lower,
        },
        NOW,
    );
    messages(acceptor, effects)
}

fn founder(index: u8) -> Agreement {
    let founders = FOUNDERS.map(address).to_vec();
    Agreement::new(
        voter(index),
        incarnation(index),
        VoteState::default(),
        founders,
    )
}

/// The incarnation of the process on the machine with this index.
fn incarnation(index: u8) -> u64 {
    0x5152_5354_5556_5700 + disk(index).0
}

/// The messages among the effects of a process, both those sent at once and those that wait for its disk.
fn messages(from: PeerAddress, effects: Vec<Effect>) -> Vec<Envelope> {
    let of = |effect| match effect {
        Effect::Persist { then, .. } => then,
        Effect::Send(to, message) => vec![(to, message)],
        Effect::Agreed(_) => Vec::new(),
    };
    effects
        .into_iter()
        .flat_map(of)
        .map(|(to, message)| (from, to, message))
        .collect()
}

fn kind(message: &AgreementMessage) -> &'static str {
    match message {
        AgreementMessage::Prepare { .. } => "prepare",
        AgreementMessage::Prepared { .. } => "prepared",
        AgreementMessage::Accept { .. } => "accept",
        AgreementMessage::Accepted { .. } => "accepted",
        AgreementMessage::Rejected { .. } => "rejected",
        AgreementMessage::Agreed { .. } => "agreed",
    }
}

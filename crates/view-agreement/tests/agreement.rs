//! Tests of single rules of acceptors, proposers and learners.

mod common;

use common::{address, disk, view, voter};
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_view_agreement::{Agreement, Effect, VoteState};

const START: Millis = Millis(1000);
const ATTEMPT_TIMEOUT_MS: u64 = 800;
/// Longer than every delay between two attempts.
const LONG_MS: u64 = 2000;

fn proposal_number(term: u64) -> ProposalNumber {
    ProposalNumber {
        term,
        incarnation: 99,
    }
}

fn knowing(index: u8, agreed: View) -> Agreement {
    let vote = VoteState {
        agreed,
        ..VoteState::default()
    };
    Agreement::new(voter(index), u64::from(index), vote, Vec::new())
}

fn founder(index: u8) -> Agreement {
    Agreement::new(
        voter(index),
        u64::from(index),
        VoteState::default(),
        [0, 1, 2].map(address).to_vec(),
    )
}

fn sent(effects: &[Effect]) -> Vec<(PeerAddress, AgreementMessage)> {
    let one = |effect: &Effect| match effect {
        Effect::Send(to, message) => vec![(*to, message.clone())],
        Effect::Persist { .. } | Effect::Agreed(_) => Vec::new(),
    };
    effects.iter().flat_map(one).collect()
}

/// The messages that may be sent only after a sync.
fn held_back(effects: &[Effect]) -> Vec<AgreementMessage> {
    let one = |effect: &Effect| match effect {
        Effect::Persist { then, .. } => then.iter().map(|(_, message)| message.clone()).collect(),
        Effect::Send(..) | Effect::Agreed(_) => Vec::new(),
    };
    effects.iter().flat_map(one).collect()
}

fn agreed(effects: &[Effect]) -> Vec<u64> {
    let one = |effect: &Effect| match effect {
        Effect::Agreed(view) => Some(view.number),
        Effect::Send(..) | Effect::Persist { .. } => None,
    };
    effects.iter().filter_map(one).collect()
}

fn prepare(to: &mut Agreement, term: u64) -> Vec<Effect> {
    to.receive(
        address(9),
        AgreementMessage::Prepare {
            proposal_number: proposal_number(term),
        },
        START,
    )
}

fn accept(to: &mut Agreement, term: u64, view: &View) -> Vec<Effect> {
    let message = AgreementMessage::Accept {
        proposal_number: proposal_number(term),
        view: view.clone(),
    };
    to.receive(address(9), message, START)
}

fn send_prepared(
    to: &mut Agreement,
    from: u8,
    proposal_number: ProposalNumber,
    accepted: Option<(ProposalNumber, View)>,
) -> Vec<Effect> {
    let (accepted_proposal, accepted) = accepted.unwrap_or_default();
    let message = AgreementMessage::Prepared {
        proposal_number,
        disk: disk(from),
        accepted_proposal,
        accepted,
    };
    to.receive(address(from), message, START)
}

fn accepted(to: &mut Agreement, from: u8, proposal_number: ProposalNumber) -> Vec<Effect> {
    to.receive(
        address(from),
        AgreementMessage::Accepted {
            proposal_number,
            disk: disk(from),
        },
        START,
    )
}

/// The proposal number of the prepare requests among the effects.
fn attempted_proposal(effects: &[Effect]) -> Option<ProposalNumber> {
    sent(effects)
        .into_iter()
        .find_map(|(_, message)| match message {
            AgreementMessage::Prepare { proposal_number } => Some(proposal_number),
            _ => None,
        })
}

/// The view in the accept requests among the effects, and the receivers.
fn asked_to_accept(effects: &[Effect]) -> Option<(View, Vec<PeerAddress>)> {
    let mut found: Option<(View, Vec<PeerAddress>)> = None;
    for (to, message) in sent(effects) {
        if let AgreementMessage::Accept { view, .. } = message {
            found.get_or_insert((view, Vec::new())).1.push(to);
        }
    }
    found
}

/// Proposes a view and returns the proposal number of the attempt.
fn propose(by: &mut Agreement, view: View) -> ProposalNumber {
    attempted_proposal(&by.propose(view, START)).expect("an attempt starts")
}

#[test]
fn a_promise_is_sent_only_after_it_is_synced() {
    let mut acceptor = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    let effects = prepare(&mut acceptor, 5);
    assert!(matches!(
        held_back(&effects)[..],
        [AgreementMessage::Prepared { .. }]
    ));
    assert!(effects
        .iter()
        .any(|e| matches!(e, Effect::Persist { vote, .. } if vote.prepared == proposal_number(5))));
}

#[test]
fn lower_proposals_are_rejected() {
    let mut acceptor = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    prepare(&mut acceptor, 5);
    let rejected = AgreementMessage::Rejected {
        proposal_number: proposal_number(4),
        prepared: proposal_number(5),
    };
    let next = view(2, &[0, 1, 2], &[1]);
    assert!(sent(&prepare(&mut acceptor, 4)).contains(&(address(9), rejected.clone())));
    assert!(sent(&accept(&mut acceptor, 4, &next)).contains(&(address(9), rejected)));
    assert_eq!(acceptor.vote().accepted, View::default());
    assert!(!held_back(&accept(&mut acceptor, 5, &next)).is_empty());
    assert_eq!(acceptor.vote().accepted, next);
}

#[test]
fn a_disk_that_is_not_a_voter_answers_only_with_the_newest_view() {
    let current = view(1, &[0, 1, 2], &[0, 1]);
    let new_disk = Voter {
        disk: DiskId(77),
        ..voter(0)
    };
    let vote = VoteState {
        agreed: current.clone(),
        ..VoteState::default()
    };
    let mut acceptor = Agreement::new(new_disk, 5, vote, Vec::new());
    let news = vec![Effect::Send(
        address(9),
        AgreementMessage::Agreed { view: current },
    )];
    assert_eq!(prepare(&mut acceptor, 5), news);
    assert_eq!(accept(&mut acceptor, 5, &view(2, &[0, 1, 2], &[1])), news);
}

#[test]
fn an_empty_disk_that_is_not_a_founder_does_not_answer() {
    let mut acceptor = knowing(0, View::default());
    assert_eq!(prepare(&mut acceptor, 5), Vec::new());
    assert_eq!(
        accept(&mut acceptor, 5, &view(1, &[0, 1, 2], &[0, 1])),
        Vec::new()
    );
    assert_eq!(
        acceptor.propose(view(1, &[0, 1, 2], &[0, 1]), START),
        Vec::new()
    );
}

#[test]
fn founders_are_stored_only_on_an_empty_disk() {
    let vote = VoteState {
        prepared: proposal_number(3),
        ..VoteState::default()
    };
    let mut acceptor = Agreement::new(voter(0), 1, vote, [0, 1, 2].map(address).to_vec());
    assert_eq!(prepare(&mut acceptor, 5), Vec::new());
}

#[test]
fn a_founder_stores_the_founders_on_its_disk() {
    let mut first = founder(0);
    let effects = first.tick(START);
    let [Effect::Persist { vote, .. }] = &effects[..] else {
        panic!("{effects:?}")
    };
    let mut second = Agreement::new(voter(0), 2, vote.clone(), Vec::new());
    assert_eq!(second.founders(), [0, 1, 2].map(address));
    assert_eq!(held_back(&prepare(&mut second, 1)).len(), 1);
}

#[test]
fn view_one_needs_a_majority_of_the_founders_and_of_its_voters() {
    let mut proposer = founder(0);
    let first = view(1, &[0, 1, 2], &[0, 1]);
    let proposal_number = propose(&mut proposer, first.clone());
    send_prepared(&mut proposer, 0, proposal_number, None);
    send_prepared(&mut proposer, 7, proposal_number, None);
    let (asked, _) = asked_to_accept(&send_prepared(&mut proposer, 2, proposal_number, None))
        .expect("two founders promised");
    assert_eq!(asked, first);
    assert_eq!(agreed(&accepted(&mut proposer, 0, proposal_number)), vec![]);
    assert_eq!(agreed(&accepted(&mut proposer, 0, proposal_number)), vec![]);
    assert_eq!(
        agreed(&accepted(&mut proposer, 1, proposal_number)),
        vec![1]
    );
    assert_eq!(proposer.current(), &first);
}

#[test]
fn a_disk_that_joined_later_does_not_count_as_a_founder_that_accepted_nothing() {
    let replaced = Voter {
        disk: DiskId(77),
        ..voter(1)
    };
    let mut voters = common::voters(&[0, 2]);
    voters.push(replaced.clone());
    let newer = View {
        number: 2,
        voters,
        chain: vec![disk(0)],
    };
    let vote = VoteState {
        agreed: newer,
        ..VoteState::default()
    };
    let mut acceptor = Agreement::new(replaced, 8, vote, Vec::new());

    let mut stale = founder(2);
    let proposal_number = propose(&mut stale, view(1, &[0, 1, 2], &[2]));
    send_prepared(&mut stale, 2, proposal_number, None);
    let answer = acceptor.receive(
        address(2),
        AgreementMessage::Prepare { proposal_number },
        START,
    );
    let [answer] = &held_back(&answer)[..] else {
        panic!("{answer:?}")
    };
    assert_eq!(
        asked_to_accept(&stale.receive(address(1), answer.clone(), START)),
        None
    );
}

#[test]
fn a_view_that_may_have_been_chosen_is_completed_and_announced_to_all() {
    let newer = view(2, &[1, 2, 3], &[1]);
    let mut proposer = knowing(0, view(1, &[0, 1, 2, 4, 5], &[0, 1, 2]));
    let running = propose(&mut proposer, view(2, &[0, 1, 2], &[2]));
    send_prepared(
        &mut proposer,
        1,
        running,
        Some((proposal_number(1), view(2, &[0, 1, 2], &[0]))),
    );
    send_prepared(&mut proposer, 0, running, None);
    let effects = send_prepared(
        &mut proposer,
        2,
        running,
        Some((proposal_number(2), newer.clone())),
    );
    let (asked, audience) = asked_to_accept(&effects).expect("three of five promised");
    assert_eq!(asked, newer);
    assert_eq!(audience, [0, 1, 2, 3, 4, 5].map(address));

    for from in [0, 1] {
        assert_eq!(agreed(&accepted(&mut proposer, from, running)), vec![]);
    }
    let effects = accepted(&mut proposer, 2, running);
    assert_eq!(agreed(&effects), vec![2]);
    let told: Vec<PeerAddress> = sent(&effects).into_iter().map(|(to, _)| to).collect();
    assert_eq!(told, [1, 2, 3, 4, 5].map(address));
}

#[test]
fn an_accepted_view_of_an_earlier_number_does_not_bind() {
    let mut proposer = knowing(0, view(4, &[0, 1, 2], &[0, 1]));
    let wanted = view(5, &[0, 1, 2], &[1]);
    let running = propose(&mut proposer, wanted.clone());
    send_prepared(
        &mut proposer,
        0,
        running,
        Some((proposal_number(9), view(4, &[0, 1, 2], &[0, 1]))),
    );
    let effects = send_prepared(
        &mut proposer,
        1,
        running,
        Some((proposal_number(9), view(3, &[0, 1, 2], &[2]))),
    );
    assert_eq!(
        asked_to_accept(&effects).expect("two of three promised").0,
        wanted
    );
}

#[test]
fn prepare_responses_of_unknown_senders_of_the_same_disk_and_of_later_instances_do_not_count() {
    let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    let running = propose(&mut proposer, view(2, &[0, 1, 2], &[1]));
    let beyond = Some((proposal_number(9), view(3, &[0, 1, 2], &[2])));
    for (from, accepted) in [(0, None), (0, None), (5, None), (1, beyond)] {
        assert_eq!(
            asked_to_accept(&send_prepared(&mut proposer, from, running, accepted)),
            None
        );
    }
    assert_eq!(
        asked_to_accept(&send_prepared(&mut proposer, 1, proposal_number(1), None)),
        None
    );
    assert!(asked_to_accept(&send_prepared(&mut proposer, 1, running, None)).is_some());
}

#[test]
fn a_disk_votes_only_from_its_own_address() {
    let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    let running = propose(&mut proposer, view(2, &[0, 1, 3], &[0]));
    send_prepared(&mut proposer, 0, running, None);
    let (accepted_proposal, nothing) = Default::default();
    let copy = AgreementMessage::Prepared {
        proposal_number: running,
        disk: disk(1),
        accepted_proposal,
        accepted: nothing,
    };
    assert_eq!(
        asked_to_accept(&proposer.receive(address(7), copy, START)),
        None
    );
    assert!(asked_to_accept(&send_prepared(&mut proposer, 1, running, None)).is_some());
    accepted(&mut proposer, 0, running);
    for (claimed, from) in [(1, 7), (2, 7), (3, 7), (1, 0)] {
        let copy = AgreementMessage::Accepted {
            proposal_number: running,
            disk: disk(claimed),
        };
        assert_eq!(
            agreed(&proposer.receive(address(from), copy, START)),
            vec![]
        );
    }
    assert_eq!(agreed(&accepted(&mut proposer, 1, running)), vec![2]);
}

#[test]
fn majorities_of_the_old_and_the_new_voters_are_both_needed() {
    for (first, last) in [([0, 1], [3, 4]), ([3, 4], [0, 1])] {
        let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
        let running = propose(&mut proposer, view(2, &[2, 3, 4], &[2]));
        send_prepared(&mut proposer, 0, running, None);
        send_prepared(&mut proposer, 1, running, None);
        for from in first.into_iter().chain([last[0]]) {
            assert_eq!(agreed(&accepted(&mut proposer, from, running)), vec![]);
        }
        assert_eq!(agreed(&accepted(&mut proposer, last[1], running)), vec![2]);
    }
}

#[test]
fn a_new_voter_accepts_its_view_and_promises_nothing_before() {
    let mut entering = knowing(3, view(1, &[0, 1, 2], &[0, 1]));
    assert_eq!(held_back(&prepare(&mut entering, 5)), Vec::new());
    assert_eq!(
        held_back(&accept(&mut entering, 5, &view(2, &[0, 1, 2, 3], &[0, 1]))).len(),
        1
    );
}

#[test]
fn only_the_view_after_the_agreed_one_is_accepted() {
    let current = view(3, &[0, 1, 2], &[0, 1]);
    let mut acceptor = knowing(0, current.clone());
    let news = vec![Effect::Send(
        address(9),
        AgreementMessage::Agreed { view: current },
    )];
    for number in [1, 2, 3, 5] {
        assert_eq!(
            accept(&mut acceptor, 5, &view(number, &[0, 1, 2], &[0])),
            news
        );
    }
}

#[test]
fn a_removed_voter_learns_of_its_removal_from_the_acceptors() {
    let newest = view(3, &[1, 2, 3], &[1, 2]);
    let mut removed = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    let running = propose(&mut removed, view(2, &[0, 1, 2], &[0]));
    let mut voter = knowing(1, newest.clone());
    let answers = voter.receive(
        address(0),
        AgreementMessage::Prepare {
            proposal_number: running,
        },
        START,
    );
    let (_, news) = sent(&answers).remove(0);
    assert_eq!(agreed(&removed.receive(address(1), news, START)), vec![3]);
    assert_eq!(
        removed.propose(view(4, &[0, 1, 2], &[0]), START),
        Vec::new()
    );
    assert_eq!(removed.tick(START.plus(LONG_MS)), Vec::new());
}

#[test]
fn older_views_and_proposals_change_nothing() {
    let newest = view(3, &[0, 1, 2], &[0, 1]);
    let mut learner = knowing(0, newest.clone());
    for number in [1, 2, 3] {
        assert_eq!(learner.learn(view(number, &[5], &[5])), Vec::new());
    }
    assert_eq!(learner.current(), &newest);
    assert_eq!(agreed(&learner.learn(view(9, &[0, 1], &[0]))), vec![9]);
}

#[test]
fn views_that_do_not_follow_or_are_malformed_are_not_proposed() {
    let mut proposer = knowing(0, view(3, &[0, 1, 2], &[0, 1]));
    let malformed = [
        view(4, &[], &[]),
        view(4, &[0, 1], &[]),
        view(4, &[0, 0, 1], &[0]),
        view(4, &[0, 1], &[0, 0]),
    ];
    let not_following = [
        view(3, &[0, 1, 2], &[0]),
        view(5, &[0, 1, 2], &[0]),
        view(4, &[0, 1, 2], &[3]),
    ];
    for next in malformed.into_iter().chain(not_following) {
        assert_eq!(
            proposer.propose(next.clone(), START),
            Vec::new(),
            "{next:?}"
        );
    }
}

#[test]
fn a_timeout_repeats_the_request_and_then_starts_a_higher_proposal() {
    let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    let running = propose(&mut proposer, view(2, &[0, 1, 2], &[1]));
    send_prepared(&mut proposer, 2, running, None);
    let again = proposer.tick(START.plus(ATTEMPT_TIMEOUT_MS / 2));
    assert_eq!(attempted_proposal(&again), Some(running));
    assert!(
        !sent(&again).iter().any(|(to, _)| *to == address(2)),
        "this acceptor has answered"
    );
    assert_eq!(proposer.tick(START.plus(ATTEMPT_TIMEOUT_MS)), Vec::new());
    let next = attempted_proposal(&proposer.tick(START.plus(LONG_MS))).expect("another proposal");
    assert!(next > running);
}

/// Guards against attempts that end before the votes of slow disks arrive.
#[test]
fn an_attempt_lasts_for_as_long_as_votes_take_on_slow_disks() {
    let vote_ms = 600;
    let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    proposer.set_vote_ms(vote_ms);
    let running = propose(&mut proposer, view(2, &[0, 1, 2], &[1]));
    for passed_ms in (0..2 * vote_ms).step_by(25) {
        let repeated = proposer.tick(START.plus(passed_ms));
        let attempted = attempted_proposal(&repeated);
        assert!(attempted.is_none_or(|number| number == running));
    }
    assert_eq!(proposer.tick(START.plus(4 * vote_ms)), Vec::new());
    let next = attempted_proposal(&proposer.tick(START.plus(4 * vote_ms + LONG_MS)));
    assert!(next.is_some_and(|next| next > running));
}

/// When a process with this time of a vote starts its own proposal, in milliseconds after another process began one whose
/// requests it repeats.
fn own_proposal_after(vote_ms: u64, requests: impl Fn(u64) -> AgreementMessage) -> u64 {
    let mut process = knowing(1, view(1, &[0, 1, 2], &[0, 1]));
    process.set_vote_ms(vote_ms);
    (0..10_000)
        .step_by(100)
        .find(|passed_ms| {
            let now = START.plus(*passed_ms);
            process.receive(address(0), requests(*passed_ms), now);
            let own = process.propose(view(2, &[0, 1, 2], &[1]), now);
            attempted_proposal(&own).is_some()
        })
        .expect("it does not wait forever")
}

/// Guards against proposers that interrupt each other's proposals while votes are being synced.
#[test]
fn a_proposal_in_progress_is_left_to_complete_on_slow_disks() {
    let prepare = |_: u64| AgreementMessage::Prepare {
        proposal_number: proposal_number(1),
    };
    assert_eq!(own_proposal_after(0, prepare), 0);
    assert_eq!(own_proposal_after(300, prepare), 900);
    let accept_after_prepare = |passed_ms: u64| match passed_ms {
        0..600 => prepare(passed_ms),
        _ => AgreementMessage::Accept {
            proposal_number: proposal_number(1),
            view: view(2, &[0, 1, 2], &[0]),
        },
    };
    assert_eq!(own_proposal_after(300, accept_after_prepare), 1_500);
}

#[test]
fn a_proposal_whose_proposer_is_gone_is_not_waited_for() {
    let mut process = knowing(1, view(1, &[0, 1, 2], &[0, 1]));
    process.set_vote_ms(600);
    prepare(&mut process, 1);
    let wanted = view(2, &[0, 1, 2], &[1]);
    let waits = process.propose(wanted.clone(), START.plus(200));
    assert_eq!(attempted_proposal(&waits), None);
    let own = process.propose(wanted, START.plus(300));
    assert!(attempted_proposal(&own).is_some());
}

#[test]
fn a_rejection_leads_to_a_proposal_above_the_prepared_one() {
    let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    let running = propose(&mut proposer, view(2, &[0, 1, 2], &[1]));
    let rejection = AgreementMessage::Rejected {
        proposal_number: running,
        prepared: proposal_number(40),
    };
    assert_eq!(proposer.receive(address(1), rejection, START), Vec::new());
    let next = attempted_proposal(&proposer.tick(START.plus(LONG_MS))).expect("another proposal");
    assert!(next > proposal_number(40));
}

/// Counts the attempts that start within a minute in which no message arrives.
fn count_attempts(proposer: &mut Agreement, wanted: Option<&View>) -> usize {
    let mut attempts = std::collections::BTreeSet::new();
    for step in 0..2400 {
        let now = START.plus(step * 25);
        let proposed = wanted
            .map(|view| proposer.propose(view.clone(), now))
            .unwrap_or_default();
        attempts.extend(attempted_proposal(&proposed));
        attempts.extend(attempted_proposal(&proposer.tick(now)));
    }
    attempts.len()
}

#[test]
fn a_proposal_lasts_only_while_it_is_wanted() {
    let wanted = view(2, &[0, 1, 2], &[1]);
    let mut proposer = knowing(0, view(1, &[0, 1, 2], &[0, 1]));
    proposer.propose(wanted.clone(), START);
    assert_eq!(count_attempts(&mut proposer, None), 5);
    assert!(count_attempts(&mut proposer, Some(&wanted)) > 50);
}

#[test]
fn every_request_is_preceded_by_the_view_before_it() {
    let current = view(1, &[0, 1, 2], &[0, 1]);
    let mut proposer = knowing(0, current.clone());
    let effects = proposer.propose(view(2, &[0, 1, 2], &[1]), START);
    let to_one: Vec<_> = sent(&effects)
        .into_iter()
        .filter(|(to, _)| *to == address(1))
        .collect();
    assert_eq!(to_one[0].1, AgreementMessage::Agreed { view: current });
    assert!(matches!(to_one[1].1, AgreementMessage::Prepare { .. }));
}

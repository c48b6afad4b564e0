//! Properties of a process that receives arbitrary messages in any order.

mod common;

use common::{address, disk, view, voter};
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_view_agreement::{Agreement, Effect, VoteState};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct Received {
    from: u8,
    message: AgreementMessage,
    after_ms: u64,
}

fn small(g: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(g) % below
}

fn arbitrary_view(g: &mut Gen) -> View {
    let first = small(g, 3) as u8;
    let members: Vec<u8> = (first..first + 3).collect();
    view(small(g, 5), &members, &members[..1 + small(g, 2) as usize])
}

fn arbitrary_ballot(g: &mut Gen) -> ProposalNumber {
    ProposalNumber {
        term: small(g, 6),
        incarnation: small(g, 3),
    }
}

impl Arbitrary for Received {
    fn arbitrary(g: &mut Gen) -> Received {
        let (from, proposal_number, view) =
            (small(g, 5) as u8, arbitrary_ballot(g), arbitrary_view(g));
        let disk = disk(small(g, 5) as u8);
        let message = match small(g, 6) {
            0 => AgreementMessage::Prepare { proposal_number },
            1 => {
                let accepted_proposal = arbitrary_ballot(g);
                AgreementMessage::Prepared {
                    proposal_number,
                    disk,
                    accepted_proposal,
                    accepted: view,
                }
            }
            2 => AgreementMessage::Accept {
                proposal_number,
                view,
            },
            3 => AgreementMessage::Accepted {
                proposal_number,
                disk,
            },
            4 => AgreementMessage::Rejected {
                proposal_number,
                prepared: arbitrary_ballot(g),
            },
            _ => AgreementMessage::Agreed { view },
        };
        Received {
            from,
            message,
            after_ms: small(g, 300),
        }
    }
}

fn is_consistent(before: &VoteState, after: &VoteState) -> bool {
    let rises = before.prepared <= after.prepared && before.agreed.number <= after.agreed.number;
    let bounded = after.accepted_proposal <= after.prepared
        && after.accepted.number <= after.agreed.number + 1;
    rises && bounded && before.accepted_proposal <= after.accepted_proposal
}

/// Whether votes are only among the messages that wait for a sync, together with the state that they report.
fn votes_wait_for_syncs(effects: &[Effect], vote: &VoteState) -> bool {
    let is_vote = |message: &AgreementMessage| {
        matches!(
            message,
            AgreementMessage::Prepared { .. } | AgreementMessage::Accepted { .. }
        )
    };
    effects.iter().all(|effect| match effect {
        Effect::Send(_, message) => !is_vote(message),
        Effect::Persist { vote: kept, .. } => kept == vote,
        Effect::Agreed(_) => true,
    })
}

#[test]
fn votes_only_increase_and_wait_for_the_disk() {
    fn holds(founds: bool, me: u8, received: Vec<Received>) -> bool {
        let founders = if founds {
            (0..3).map(address).collect()
        } else {
            Vec::new()
        };
        let mut process = Agreement::new(voter(me % 4), 1, VoteState::default(), founders);
        let mut now = Millis(0);
        received.into_iter().all(
            |Received {
                 from,
                 message,
                 after_ms,
             }| {
                now = now.plus(after_ms);
                let before = process.vote().clone();
                let mut effects = process.receive(address(from), message, now);
                let next = view(process.current().number + 1, &[0, 1, 2], &[0]);
                effects.extend(process.propose(next, now));
                let after = process.vote().clone();
                let ticked = process.tick(now);
                is_consistent(&before, &after)
                    && votes_wait_for_syncs(&effects, &after)
                    && votes_wait_for_syncs(&ticked, process.vote())
            },
        )
    }
    QuickCheck::new()
        .tests(3000)
        .quickcheck(holds as fn(bool, u8, Vec<Received>) -> bool);
}

#[test]
fn a_vote_survives_its_encoding() {
    fn holds(received: Vec<Received>) -> bool {
        let mut process = Agreement::new(
            voter(0),
            1,
            VoteState::default(),
            (0..3).map(address).collect(),
        );
        for Received { from, message, .. } in received {
            process.receive(address(from), message, Millis(0));
        }
        let bytes = borsh::to_vec(process.vote()).expect("a vote can be encoded");
        borsh::from_slice::<VoteState>(&bytes).is_ok_and(|vote| vote == *process.vote())
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<Received>) -> bool);
}

//! Which votes are written to the disk.

use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_node::core::vote_writer::{VoteMessages, VoteWrite, VoteWriter};
use lupinrack_view_agreement::VoteState;
use std::net::{Ipv4Addr, SocketAddrV4};

fn number(term: u64) -> ProposalNumber {
    ProposalNumber {
        term,
        incarnation: 1,
    }
}

fn vote(term: u64) -> VoteState {
    VoteState {
        prepared: number(term),
        ..VoteState::default()
    }
}

fn response(term: u64) -> VoteMessages {
    let to = PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000));
    let message = AgreementMessage::Accepted {
        proposal_number: number(term),
        disk: DiskId(1),
    };
    vec![(to, message)]
}

/// Guards against a sync for each repetition of a request, which delays the response to it.
#[test]
fn a_repeated_request_costs_no_second_sync() {
    let mut votes = VoteWriter::default();
    let first = votes.persist(vote(1), response(1));
    assert_eq!(first, VoteWrite::Write(vote(1), response(1)));
    for _ in 0..3 {
        assert_eq!(votes.persist(vote(1), response(1)), VoteWrite::InProgress);
    }
    votes.synced();
    let answered = votes.persist(vote(1), response(1));
    assert_eq!(answered, VoteWrite::Send(response(1)));
}

#[test]
fn each_other_vote_is_written() {
    let mut votes = VoteWriter::default();
    for term in 1..=3 {
        let write = votes.persist(vote(term), response(term));
        assert_eq!(write, VoteWrite::Write(vote(term), response(term)));
    }
    votes.synced();
    votes.synced();
    assert_eq!(
        votes.persist(vote(3), response(3)),
        VoteWrite::InProgress,
        "its own write is not synced yet"
    );
    let earlier = votes.persist(vote(2), response(2));
    assert_eq!(earlier, VoteWrite::Write(vote(2), response(2)));
}

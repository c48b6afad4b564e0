//! Calls to the head: retried, expired, with an unknown outcome, or not taken.

mod common;

use common::{core, view};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_node::head_client::{HeadClient, OutgoingFrame};
use quickcheck::quickcheck;
use tokio::sync::oneshot::{channel, Receiver};

/// The incarnation of the calling process.
const INCARNATION: u64 = 7;
const START: Millis = Millis(1_000);
/// The deadline of the calls in these tests.
const UNTIL: Millis = Millis(4_000);
/// The limit on pending calls per client.
const MAX_PENDING_CALLS: usize = 2_000;

/// A client that knows a view whose head is core process 1.
fn client() -> HeadClient {
    let mut client = HeadClient::new(INCARNATION);
    assert!(client.learn_view(&head(1, 1), START).is_empty());
    client
}

/// A view with this core process at the head of its chain.
fn head(number: u64, at: u8) -> View {
    view(number, &[1, 2, 3], &[at])
}

fn begin(client: &mut HeadClient, now: Millis) -> (Vec<Sent>, Receiver<Reply>) {
    let (reply_to, answer) = channel();
    (
        sent(client.call(Request::ReadConfiguration, reply_to, UNTIL, now)),
        answer,
    )
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    to: PeerAddress,
    id: u64,
    remaining_ms: u64,
}

/// Delivers a reply to the call with this number in the client's incarnation.
fn receive_reply(
    client: &mut HeadClient,
    from: u8,
    number: u64,
    reply: Reply,
    now: Millis,
) -> Vec<OutgoingFrame> {
    client.receive_reply(
        core(from),
        CallId {
            incarnation: INCARNATION,
            number,
        },
        reply,
        now,
    )
}

fn sent(outgoing: Vec<OutgoingFrame>) -> Vec<Sent> {
    let one = |outgoing: OutgoingFrame| match outgoing.frame {
        Frame::Request {
            id:
                CallId {
                    incarnation: INCARNATION,
                    number,
                },
            remaining_ms,
            ..
        } => Sent {
            to: outgoing.to,
            id: number,
            remaining_ms,
        },
        other => panic!("{other:?} is no call"),
    };
    outgoing.into_iter().map(one).collect()
}

/// The messages sent while the clock advances in ticks of 10 ms, with their times.
fn ticks(client: &mut HeadClient, from: Millis, until: Millis) -> Vec<(Millis, Sent)> {
    let mut all = Vec::new();
    for now in (from.0..until.0).step_by(10).map(Millis) {
        all.extend(sent(client.tick(now)).into_iter().map(|sent| (now, sent)));
    }
    all
}

#[test]
fn a_call_goes_to_the_head_and_its_answer_to_the_caller() {
    let mut client = client();
    let (sent, mut answer) = begin(&mut client, START);
    assert_eq!(
        sent,
        [Sent {
            to: core(1),
            id: 1,
            remaining_ms: 3_000
        }]
    );
    assert!(!client.is_idle());
    receive_reply(&mut client, 1, 1, Reply::Done, START.plus(5));
    assert_eq!(answer.try_recv(), Ok(Reply::Done));
    assert!(client.is_idle());
}

#[test]
fn an_answer_to_no_open_call_changes_nothing() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    receive_reply(&mut client, 1, 99, Reply::Done, START);
    assert!(answer.try_recv().is_err());
    receive_reply(&mut client, 1, 1, Reply::Done, START);
    receive_reply(&mut client, 1, 1, Reply::Pending(1), START);
    assert_eq!(answer.try_recv(), Ok(Reply::Done));
}

#[test]
fn an_answer_to_a_call_of_another_incarnation_changes_nothing() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    let of_former_incarnation = CallId {
        incarnation: INCARNATION - 1,
        number: 1,
    };
    client.receive_reply(core(1), of_former_incarnation, Reply::Pending(5), START);
    assert!(answer.try_recv().is_err());
    assert_eq!(client.unmatched_replies(), 1);
    receive_reply(&mut client, 1, 1, Reply::Done, START);
    assert_eq!(answer.try_recv(), Ok(Reply::Done));
}

#[test]
fn an_answer_of_a_process_that_was_not_asked_changes_nothing() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    for reply in [
        Reply::Done,
        Reply::Error(ErrorKind::UnknownJob),
        Reply::NotHead(head(2, 2)),
    ] {
        assert!(receive_reply(&mut client, 2, 1, reply, START).is_empty());
        assert!(answer.try_recv().is_err());
    }
    assert_eq!((client.unmatched_replies(), client.view().number), (3, 1));
}

#[test]
fn an_answer_of_the_head_before_is_still_the_answer() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    assert_eq!(
        sent(client.learn_view(&head(2, 2), START.plus(100))).len(),
        1
    );
    receive_reply(&mut client, 1, 1, Reply::Pending(3), START.plus(110));
    assert_eq!(answer.try_recv(), Ok(Reply::Pending(3)));
    receive_reply(&mut client, 2, 1, Reply::Pending(4), START.plus(120));
    assert_eq!(
        client.unmatched_replies(),
        1,
        "each further one belongs to nobody"
    );
}

#[test]
fn a_refusal_of_the_head_before_does_not_hurry_the_call() {
    let mut client = client();
    let _answer = begin(&mut client, START);
    client.learn_view(&head(2, 2), START.plus(100));
    receive_reply(
        &mut client,
        1,
        1,
        Reply::NotHead(head(1, 1)),
        START.plus(110),
    );
    let again = ticks(&mut client, START.plus(120), START.plus(1_100));
    assert_eq!(
        again
            .iter()
            .map(|(now, _)| now.since(START))
            .collect::<Vec<_>>(),
        [1_000]
    );
}

#[test]
fn a_new_head_gets_what_is_open() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    let again = sent(client.learn_view(&head(2, 2), START.plus(100)));
    assert_eq!(
        again,
        [Sent {
            to: core(2),
            id: 1,
            remaining_ms: 2_900
        }]
    );
    receive_reply(&mut client, 2, 1, Reply::Done, START.plus(110));
    assert_eq!(answer.try_recv(), Ok(Reply::Done));
}

#[test]
fn an_older_view_or_the_same_head_sends_nothing_again() {
    let mut client = client();
    let _answer = begin(&mut client, START);
    assert!(client.learn_view(&head(1, 2), START).is_empty());
    assert!(client.learn_view(&head(2, 1), START).is_empty());
    assert_eq!(client.view().number, 2);
}

#[test]
fn an_unanswered_call_is_retried() {
    let mut client = client();
    let _answer = begin(&mut client, START);
    let again = ticks(&mut client, START.plus(10), UNTIL);
    let moments: Vec<u64> = again.iter().map(|(now, _)| now.since(START)).collect();
    assert_eq!(moments, [900, 1_800, 2_700]);
}

#[test]
fn a_closed_connection_sends_again_at_once_what_went_there() {
    let mut client = client();
    let _answer = begin(&mut client, START);
    assert!(client.disconnected(core(2), START.plus(5)).is_empty());
    let again = sent(client.disconnected(core(1), START.plus(5)));
    assert_eq!(
        again,
        [Sent {
            to: core(1),
            id: 1,
            remaining_ms: 2_995
        }]
    );
}

#[test]
fn a_call_that_was_never_sent_is_not_taken() {
    let mut client = HeadClient::new(INCARNATION);
    let (nothing, mut answer) = begin(&mut client, START);
    assert!(nothing.is_empty());
    client.tick(START.plus(799));
    assert!(answer.try_recv().is_err());
    client.tick(START.plus(800));
    assert_eq!(answer.try_recv(), Ok(Reply::Error(ErrorKind::NotTaken)));
}

#[test]
fn a_call_that_waits_for_a_head_goes_out_once_there_is_one() {
    let mut client = HeadClient::new(INCARNATION);
    let _answer = begin(&mut client, START);
    assert_eq!(
        sent(client.learn_view(&head(1, 3), START.plus(500))).len(),
        1
    );
}

#[test]
fn an_expired_call_that_was_sent_has_an_unknown_outcome() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    ticks(&mut client, START.plus(10), UNTIL);
    assert!(answer.try_recv().is_err());
    client.tick(UNTIL);
    assert_eq!(answer.try_recv(), Ok(Reply::Error(ErrorKind::InDoubt)));
    assert!(client.is_idle());
}

#[test]
fn a_call_whose_caller_has_gone_is_dropped() {
    let mut client = client();
    let (_, answer) = begin(&mut client, START);
    drop(answer);
    assert!(client.tick(START.plus(10)).is_empty());
    assert!(client.is_idle());
}

#[test]
fn a_process_that_is_not_the_head_makes_the_call_back_off_and_retry() {
    let mut client = client();
    let (_, mut answer) = begin(&mut client, START);
    let same = Reply::NotHead(head(1, 1));
    assert!(receive_reply(&mut client, 1, 1, same, START.plus(20)).is_empty());
    let again = ticks(&mut client, START.plus(30), START.plus(200));
    assert_eq!(
        again
            .iter()
            .map(|(now, _)| now.since(START))
            .collect::<Vec<_>>(),
        [120]
    );
    assert!(answer.try_recv().is_err());
}

#[test]
fn a_process_that_is_not_the_head_and_knows_a_newer_view_redirects_the_call() {
    let mut client = client();
    let _answer = begin(&mut client, START);
    let again = sent(receive_reply(
        &mut client,
        1,
        1,
        Reply::NotHead(head(2, 3)),
        START.plus(20),
    ));
    assert_eq!(
        again.iter().map(|sent| sent.to).collect::<Vec<_>>(),
        [core(3)]
    );
}

#[test]
fn a_refusal_of_the_only_attempt_stands() {
    for kind in [
        ErrorKind::NotTaken,
        ErrorKind::Overloaded,
        ErrorKind::ShuttingDown,
    ] {
        let mut client = client();
        let (_, mut answer) = begin(&mut client, START);
        receive_reply(&mut client, 1, 1, Reply::Error(kind), START.plus(5));
        assert_eq!(answer.try_recv(), Ok(Reply::Error(kind)));
    }
}

#[test]
fn a_refusal_after_other_attempts_leaves_the_call_in_doubt() {
    for kind in [
        ErrorKind::NotTaken,
        ErrorKind::Overloaded,
        ErrorKind::ShuttingDown,
    ] {
        let mut client = client();
        let (_, mut answer) = begin(&mut client, START);
        client.learn_view(&head(2, 2), START.plus(10));
        receive_reply(&mut client, 2, 1, Reply::Error(kind), START.plus(20));
        assert_eq!(
            answer.try_recv(),
            Ok(Reply::Error(ErrorKind::InDoubt)),
            "{kind}"
        );
    }
}

#[test]
fn a_decision_stands_however_often_the_call_was_sent() {
    for kind in [
        ErrorKind::VersionConflict,
        ErrorKind::UnknownJob,
        ErrorKind::InvalidConfiguration,
    ] {
        let mut client = client();
        let (_, mut answer) = begin(&mut client, START);
        client.learn_view(&head(2, 2), START.plus(10));
        receive_reply(&mut client, 2, 1, Reply::Error(kind), START.plus(20));
        assert_eq!(answer.try_recv(), Ok(Reply::Error(kind)));
    }
}

#[test]
fn more_calls_than_it_keeps_are_refused_as_overload() {
    let mut client = client();
    let open: Vec<Receiver<Reply>> = (0..MAX_PENDING_CALLS)
        .map(|_| begin(&mut client, START).1)
        .collect();
    let (nothing, mut refused) = begin(&mut client, START);
    assert!(nothing.is_empty());
    assert_eq!(refused.try_recv(), Ok(Reply::Error(ErrorKind::Overloaded)));
    receive_reply(&mut client, 1, 1, Reply::Done, START);
    let (sent, mut taken) = begin(&mut client, START);
    assert_eq!(sent.len(), 1);
    assert!(taken.try_recv().is_err());
    drop(open);
}

/// An event at the client in the property below.
#[derive(Clone, Copy, Debug)]
enum ClientEvent {
    Pass(u64),
    NewHead(u8),
    NoHead,
    Close(u8),
    NotHead,
    Overloaded,
    Done,
}

fn client_event(draw: u16) -> ClientEvent {
    let detail = draw / 7;
    match draw % 7 {
        0 => ClientEvent::Pass(u64::from(detail % 1_000)),
        1 => ClientEvent::NewHead((detail % 3) as u8 + 1),
        2 => ClientEvent::NoHead,
        3 => ClientEvent::Close((detail % 3) as u8 + 1),
        4 => ClientEvent::NotHead,
        5 => ClientEvent::Overloaded,
        _ => ClientEvent::Done,
    }
}

quickcheck! {
    /// Every call is answered by its deadline. `NotTaken` occurs only for a call that was never sent; a refusal occurs
    /// only for a call that was sent once.
    fn every_call_is_answered_by_its_deadline_with_a_correct_outcome(draws: Vec<u16>) -> bool {
        let mut client = HeadClient::new(INCARNATION);
        let (first, mut answer) = begin(&mut client, START);
        let mut sends = first.len();
        let mut asked = first.last().map(|sent| sent.to);
        let mut now = START;
        let mut view_number = 0;
        for draw in draws {
            let outgoing = match client_event(draw) {
                ClientEvent::Pass(ms) => {
                    now = now.plus(ms);
                    client.tick(now)
                }
                ClientEvent::NewHead(at) => {
                    view_number += 1;
                    client.learn_view(&head(view_number, at), now)
                }
                ClientEvent::NoHead => {
                    view_number += 1;
                    client.learn_view(&view(view_number, &[1, 2, 3], &[]), now)
                }
                ClientEvent::Close(at) => client.disconnected(core(at), now),
                // Replies arrive only for calls that were sent.
                other => match asked {
                    Some(from) => client.receive_reply(from, CallId { incarnation: INCARNATION, number: 1 }, reply(other), now),
                    None => Vec::new(),
                },
            };
            let again = sent(outgoing);
            sends += again.len();
            asked = again.last().map(|sent| sent.to).or(asked);
            if let Ok(reply) = answer.try_recv() {
                return is_true(&reply, sends);
            }
        }
        client.tick(UNTIL);
        answer.try_recv().is_ok_and(|reply| is_true(&reply, sends))
    }
}

fn reply(client_event: ClientEvent) -> Reply {
    match client_event {
        ClientEvent::NotHead => Reply::NotHead(View::default()),
        ClientEvent::Overloaded => Reply::Error(ErrorKind::Overloaded),
        _ => Reply::Done,
    }
}

fn is_true(reply: &Reply, sends: usize) -> bool {
    match reply {
        Reply::Error(ErrorKind::NotTaken) => sends == 0,
        Reply::Error(ErrorKind::Overloaded) => sends == 1,
        Reply::Error(ErrorKind::InDoubt) => sends > 0,
        Reply::Done => sends > 0,
        _ => false,
    }
}

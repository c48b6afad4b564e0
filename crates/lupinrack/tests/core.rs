//! The states of a request in the core, against a small model and random steps.

mod common;

use common::front::{told, unreached};
use lupinrack::engine::{Clock, EngineParts, Order, RequestHandle};
use lupinrack::*;
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::BTreeSet;
use std::time::Duration;

/// One step; the numbers pick a request and a way for an attempt to end.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open { write: bool, patience_ms: u8 },
    End { request: u8, outcome: u8 },
    Leave(u8),
    Drop(u8),
    Drain(bool),
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Open {
                write: n % 2 == 0,
                patience_ms: u8::arbitrary(g),
            },
            3..=6 => Step::End {
                request: n,
                outcome: u8::arbitrary(g),
            },
            7 => {
                if n % 2 == 0 {
                    Step::Leave(n / 2)
                } else {
                    Step::Drop(n / 2)
                }
            }
            8 => Step::Drain(n % 4 == 0),
            _ => Step::Pass(n),
        }
    }
}

/// What a request's owner may have seen: which attempts are out, and whether all is said.
struct Owner {
    ticket: RequestHandle,
    out: BTreeSet<u16>,
    sent: u16,
    over: bool,
    finals: u32,
}

impl Owner {
    /// Takes the orders that are there. None may come after the end, and no attempt number twice.
    async fn look(&mut self) -> bool {
        loop {
            match tokio::time::timeout(Duration::from_millis(1), self.ticket.next_order()).await {
                Err(_) => return true,
                Ok(None) => {
                    assert!(
                        self.over && self.out.is_empty(),
                        "let go while something is owed or out"
                    );
                    return false;
                }
                Ok(Some(Order::Send(a))) => {
                    assert!(!self.over, "a send after the end");
                    assert_eq!(a.number, self.sent, "attempts are numbered in turn");
                    self.sent += 1;
                    self.out.insert(a.number);
                }
                Ok(Some(Order::Reject(_) | Order::Fail)) => {
                    self.finals += 1;
                    self.over = true;
                    assert_eq!(self.finals, 1, "one final answer");
                }
                Ok(Some(Order::Cancel(_) | Order::Grant)) => {}
            }
        }
    }
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

async fn play(steps: Vec<Step>) {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(told().policy, 3, clock);
    tokio::spawn(engine.run());
    handle
        .update_nodes(NodeListKind::Cached, vec![unreached(NodeState::Ready)])
        .await;
    let mut owners: Vec<Owner> = Vec::new();
    for step in steps {
        let count = owners.len().max(1);
        match step {
            Step::Open { write, patience_ms } => {
                let (client_deadline, class) = (
                    clock.now() + 1_000 * (50 + i64::from(patience_ms) * 8),
                    u16::from(write),
                );
                let request = Request {
                    class,
                    plan: 2,
                    units: 1.0,
                    hosts: 1.0,
                    shard: Some(Shard(0)),
                    client_deadline,
                    ..Request::default()
                };
                let ticket = handle.open(request).await;
                owners.push(Owner {
                    ticket,
                    out: BTreeSet::new(),
                    sent: 0,
                    over: false,
                    finals: 0,
                });
            }
            Step::End { request, outcome } => {
                if let Some(o) = owners.get_mut(usize::from(request) % count) {
                    o.look().await;
                    if let Some(number) = o.out.pop_first() {
                        let outcome = OUTCOMES[usize::from(outcome) % OUTCOMES.len()];
                        o.over |= outcome == Outcome::Ok;
                        o.ticket
                            .reporter()
                            .attempt_ended(number, outcome, None)
                            .await;
                        // A second report of the same end must change nothing.
                        o.ticket
                            .reporter()
                            .attempt_ended(number, Outcome::Ok, None)
                            .await;
                    }
                }
            }
            Step::Leave(n) => {
                if let Some(o) = owners.get_mut(usize::from(n) % count) {
                    o.look().await;
                    o.over = true;
                    o.ticket.reporter().client_gone().await;
                }
            }
            Step::Drop(n) if !owners.is_empty() => drop(owners.swap_remove(usize::from(n) % count)),
            Step::Drop(_) => {}
            Step::Drain(drain) => {
                let state = if drain {
                    NodeState::Draining
                } else {
                    NodeState::Ready
                };
                handle
                    .update_nodes(NodeListKind::Changes, vec![unreached(state)])
                    .await;
            }
            Step::Pass(ms) => tokio::time::sleep(Duration::from_millis(u64::from(ms))).await,
        }
        let mut kept = Vec::new();
        for mut o in owners {
            if o.look().await {
                kept.push(o);
            }
        }
        owners = kept;
    }
    // Once every client's patience is over each is answered; with nothing out each is let go.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for mut o in owners {
        o.look().await;
        assert!(o.over, "no final answer in time");
        while let Some(number) = o.out.pop_first() {
            o.ticket
                .reporter()
                .attempt_ended(number, Outcome::Timeout, None)
                .await;
        }
        assert!(!o.look().await, "kept though it is over");
    }
}

fn paused(future: impl std::future::Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(future);
}

quickcheck! {
    fn requests_keep_to_their_states(steps: Vec<Step>) -> bool {
        paused(play(steps));
        true
    }
}

#[test]
fn a_send_still_unwritten_is_stopped_within_the_grace_of_a_drain() {
    paused(async {
        let clock = Clock::start();
        let EngineParts {
            engine,
            handle,
            health_checks: _health_checks,
        } = EngineParts::new(told().policy, 3, clock);
        tokio::spawn(engine.run());
        handle
            .update_nodes(NodeListKind::Cached, vec![unreached(NodeState::Ready)])
            .await;
        let client_deadline = clock.now() + 60_000_000;
        let request = Request {
            plan: 2,
            units: 1.0,
            hosts: 1.0,
            client_deadline,
            ..Request::default()
        };
        let mut ticket = handle.open(request).await;
        let Some(Order::Send(attempt)) = ticket.next_order().await else {
            panic!("not sent")
        };
        let began = tokio::time::Instant::now();
        let stopped = attempt.target.stopped(clock);
        tokio::pin!(stopped);
        assert!(
            tokio::time::timeout(Duration::from_secs(30), &mut stopped)
                .await
                .is_err(),
            "it serves"
        );
        handle
            .update_nodes(NodeListKind::Changes, vec![unreached(NodeState::Draining)])
            .await;
        stopped.await;
        let waited = began.elapsed() - Duration::from_secs(30);
        assert!(
            waited >= Duration::from_millis(500) && waited < Duration::from_secs(1),
            "{waited:?}"
        );
        ticket
            .reporter()
            .attempt_ended(0, Outcome::ConnectFailed, None)
            .await;
    });
}

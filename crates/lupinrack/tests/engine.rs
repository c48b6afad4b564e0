//! The states of a request in the engine, compared with a small model under random steps.

mod common;

use common::front::{front_settings, unreachable_node};
use lupinrack::engine::{Clock, EngineParts, Order, RequestHandle};
use lupinrack::*;
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::BTreeSet;
use std::time::Duration;

/// One step. The numbers select a request and the outcome of an attempt.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open { write: bool, deadline_selector: u8 },
    EndAttempt { request: u8, outcome: u8 },
    Disconnect(u8),
    Drop(u8),
    Drain(bool),
    AdvanceTime(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Open {
                write: n % 2 == 0,
                deadline_selector: u8::arbitrary(g),
            },
            3..=6 => Step::EndAttempt {
                request: n,
                outcome: u8::arbitrary(g),
            },
            7 => {
                if n % 2 == 0 {
                    Step::Disconnect(n / 2)
                } else {
                    Step::Drop(n / 2)
                }
            }
            8 => Step::Drain(n % 4 == 0),
            _ => Step::AdvanceTime(n),
        }
    }
}

/// The model of one request: its running attempts, and whether its final result is known.
struct OpenRequest {
    request_handle: RequestHandle,
    running: BTreeSet<u16>,
    attempts_sent: u16,
    finished: bool,
    final_results: u32,
}

impl OpenRequest {
    /// Takes the orders that are ready. No send may come after the final result, and no attempt number twice. Returns whether
    /// the request is still open.
    async fn take_orders(&mut self) -> bool {
        loop {
            match tokio::time::timeout(Duration::from_millis(1), self.request_handle.next_order())
                .await
            {
                Err(_) => return true,
                Ok(None) => {
                    assert!(
                        self.finished && self.running.is_empty(),
                        "closed without a final result or with a running attempt"
                    );
                    return false;
                }
                Ok(Some(Order::Send(attempt))) => {
                    assert!(!self.finished, "a send after the final result");
                    assert_eq!(
                        attempt.number, self.attempts_sent,
                        "attempts are numbered consecutively"
                    );
                    self.attempts_sent += 1;
                    self.running.insert(attempt.number);
                }
                Ok(Some(Order::Reject(_) | Order::Fail)) => {
                    self.final_results += 1;
                    self.finished = true;
                    assert_eq!(self.final_results, 1, "one final result");
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

async fn run_steps(steps: Vec<Step>) {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(front_settings().policy, 3, clock);
    tokio::spawn(engine.run());
    handle
        .update_nodes(
            NodeListKind::Cached,
            vec![unreachable_node(NodeState::Ready)],
        )
        .await;
    let mut requests: Vec<OpenRequest> = Vec::new();
    for step in steps {
        let count = requests.len().max(1);
        match step {
            Step::Open {
                write,
                deadline_selector,
            } => {
                let (client_deadline, class) = (
                    clock.now() + 1_000 * (50 + i64::from(deadline_selector) * 8),
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
                let request_handle = handle.open(request).await;
                requests.push(OpenRequest {
                    request_handle,
                    running: BTreeSet::new(),
                    attempts_sent: 0,
                    finished: false,
                    final_results: 0,
                });
            }
            Step::EndAttempt { request, outcome } => {
                if let Some(request_model) = requests.get_mut(usize::from(request) % count) {
                    request_model.take_orders().await;
                    if let Some(number) = request_model.running.pop_first() {
                        let outcome = OUTCOMES[usize::from(outcome) % OUTCOMES.len()];
                        request_model.finished |= outcome == Outcome::Ok;
                        request_model
                            .request_handle
                            .reporter()
                            .attempt_ended(number, outcome, None)
                            .await;
                        // A second report for the same attempt must have no effect.
                        request_model
                            .request_handle
                            .reporter()
                            .attempt_ended(number, Outcome::Ok, None)
                            .await;
                    }
                }
            }
            Step::Disconnect(n) => {
                if let Some(request_model) = requests.get_mut(usize::from(n) % count) {
                    request_model.take_orders().await;
                    request_model.finished = true;
                    request_model.request_handle.reporter().client_gone().await;
                }
            }
            Step::Drop(n) if !requests.is_empty() => {
                drop(requests.swap_remove(usize::from(n) % count))
            }
            Step::Drop(_) => {}
            Step::Drain(drain) => {
                let state = if drain {
                    NodeState::Draining
                } else {
                    NodeState::Ready
                };
                handle
                    .update_nodes(NodeListKind::Changes, vec![unreachable_node(state)])
                    .await;
            }
            Step::AdvanceTime(ms) => tokio::time::sleep(Duration::from_millis(u64::from(ms))).await,
        }
        let mut still_open = Vec::new();
        for mut request_model in requests {
            if request_model.take_orders().await {
                still_open.push(request_model);
            }
        }
        requests = still_open;
    }
    // After all client deadlines each request has a final result, and is closed once no attempt is running.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for mut request_model in requests {
        request_model.take_orders().await;
        assert!(request_model.finished, "no final result in time");
        while let Some(number) = request_model.running.pop_first() {
            request_model
                .request_handle
                .reporter()
                .attempt_ended(number, Outcome::Timeout, None)
                .await;
        }
        assert!(
            !request_model.take_orders().await,
            "still open after its final result"
        );
    }
}

fn run_with_paused_time(future: impl std::future::Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(future);
}

quickcheck! {
    fn requests_follow_the_model(steps: Vec<Step>) -> bool {
        run_with_paused_time(run_steps(steps));
        true
    }
}

#[test]
fn an_unsent_attempt_is_stopped_within_the_grace_of_a_drain() {
    run_with_paused_time(async {
        let clock = Clock::start();
        let EngineParts {
            engine,
            handle,
            health_checks: _health_checks,
        } = EngineParts::new(front_settings().policy, 3, clock);
        tokio::spawn(engine.run());
        handle
            .update_nodes(
                NodeListKind::Cached,
                vec![unreachable_node(NodeState::Ready)],
            )
            .await;
        let client_deadline = clock.now() + 60_000_000;
        let request = Request {
            plan: 2,
            units: 1.0,
            hosts: 1.0,
            client_deadline,
            ..Request::default()
        };
        let mut request_handle = handle.open(request).await;
        let Some(Order::Send(attempt)) = request_handle.next_order().await else {
            panic!("not sent")
        };
        let started = tokio::time::Instant::now();
        let stopped = attempt.target.stopped(clock);
        tokio::pin!(stopped);
        assert!(
            tokio::time::timeout(Duration::from_secs(30), &mut stopped)
                .await
                .is_err(),
            "a ready node is not stopped"
        );
        handle
            .update_nodes(
                NodeListKind::Changes,
                vec![unreachable_node(NodeState::Draining)],
            )
            .await;
        stopped.await;
        let waited = started.elapsed() - Duration::from_secs(30);
        assert!(
            waited >= Duration::from_millis(500) && waited < Duration::from_secs(1),
            "{waited:?}"
        );
        request_handle
            .reporter()
            .attempt_ended(0, Outcome::ConnectFailed, None)
            .await;
    });
}

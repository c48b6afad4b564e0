//! Upstream connections: what each end of an exchange proves about the request, and whether the connection is reused,
//! compared with a small model under random steps.

mod common;

use bytes::Bytes;
use common::front::{front_settings, unreachable_node};
use futures_util::FutureExt;
use lupinrack::engine::{Attempt, Clock, EngineHandle, EngineParts, Order};
use lupinrack::net::client_stream::ClientStream;
use lupinrack::net::intake::ForwardedRequest;
use lupinrack::net::request::ClientWait;
use lupinrack::net::shutdown::Phase;
use lupinrack::net::upstream::Upstream;
use lupinrack::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// What the mock node does with a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends a complete response with this status; with `true` it says that the request did not run.
    Complete(u16, bool),
    /// Truncates its response.
    Truncated,
    /// Closes the connection after reading the request.
    Closes,
    /// Sends nothing; the front cancels the attempt.
    Silent,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let responses = [
            (200, false),
            (200, false),
            (500, false),
            (503, true),
            (503, false),
            (504, true),
            (404, false),
        ];
        match u8::arbitrary(g) % 10 {
            0..=5 => g
                .choose(&responses)
                .map_or(Step::Closes, |(status, did_not_run)| {
                    Step::Complete(*status, *did_not_run)
                }),
            6 => Step::Truncated,
            7 => Step::Closes,
            _ => Step::Silent,
        }
    }
}

/// The model: the outcome of a step, and whether its connection may be reused.
fn expected(step: Step) -> (Outcome, bool) {
    match step {
        Step::Complete(200, _) => (Outcome::Ok, true),
        Step::Complete(503 | 504, true) => (Outcome::Rejected, true),
        Step::Complete(..) => (Outcome::Error, true),
        Step::Truncated | Step::Closes => (Outcome::Reset, false),
        Step::Silent => (Outcome::Cancelled, false),
    }
}

/// A mock node that performs the steps in order. The receiver yields the connection number of each request.
async fn scripted_node(steps: Vec<Step>) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (connection_sender, connections)) =
        (listener.local_addr().unwrap(), mpsc::unbounded_channel());
    let steps = std::sync::Arc::new(std::sync::Mutex::new(steps.into_iter()));
    tokio::spawn(async move {
        for connection in 0.. {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let (connection_sender, steps) = (connection_sender.clone(), steps.clone());
            tokio::spawn(async move {
                let mut head = Vec::new();
                while let Ok(b) = stream.read_u8().await {
                    head.push(b);
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    head.clear();
                    let _ = connection_sender.send(connection);
                    let step = steps.lock().unwrap().next();
                    let answer = match step {
                        Some(Step::Complete(status, did_not_run)) => {
                            let not_run_header = if did_not_run { "X-Not-Run: 1\r\n" } else { "" };
                            format!("HTTP/1.1 {status} Said\r\n{not_run_header}Content-Length: 4\r\n\r\nbody")
                        }
                        Some(Step::Truncated) => {
                            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody".into()
                        }
                        Some(Step::Closes) | None => return,
                        // The front closes the connection of a cancelled attempt, which ends the loop.
                        Some(Step::Silent) => continue,
                    };
                    let _ = stream.write_all(answer.as_bytes()).await;
                    if matches!(step, Some(Step::Truncated)) {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// An attempt ordered by the engine, redirected to this address.
async fn attempt(engine: &EngineHandle, address: SocketAddr) -> Attempt {
    let client_deadline = engine.clock.now() + 60_000_000;
    let request = Request {
        plan: 2,
        units: 1.0,
        hosts: 1.0,
        client_deadline,
        ..Request::default()
    };
    let mut request_handle = engine.open(request).await;
    let Some(Order::Send(mut attempt)) = request_handle.next_order().await else {
        panic!("not sent")
    };
    attempt.target.address = address;
    request_handle
        .reporter()
        .attempt_ended(0, Outcome::Ok, None)
        .await;
    attempt
}

/// A sender for started responses whose receiver is closed: no test here expects a long response.
fn response_sender() -> tokio::sync::mpsc::Sender<lupinrack::net::upstream::StartedResponse> {
    tokio::sync::mpsc::channel(1).0
}

/// A client that waits for as long as the test runs.
fn connected_client() -> ClientWait {
    let (client_wait, client_gone) = watch::channel(());
    Box::leak(Box::new(client_wait));
    ClientWait::new(client_gone, None)
}

fn forwarded_request() -> ForwardedRequest {
    let target = "/read/7f3a9c21e0b4d655".parse().unwrap();
    let id = http::HeaderValue::from_static("1");
    ForwardedRequest {
        method: http::Method::GET,
        target,
        id,
        idempotency_key: None,
        body: Bytes::new(),
        reservation: Default::default(),
    }
}

async fn run_steps(steps: Vec<Step>) {
    let (address, mut request_connections) = scripted_node(steps.clone()).await;
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
    let upstream = Upstream::new(
        &front_settings(),
        clock,
        64,
        common::front::memory_pool(),
        Default::default(),
    );
    let mut unusable = BTreeSet::new();
    for step in steps {
        let exchange = upstream.attempt(
            forwarded_request(),
            attempt(&handle, address).await,
            response_sender(),
            connected_client(),
        );
        tokio::pin!(exchange);
        let (outcome, reusable) = expected(step);
        let (actual, connection) = match step {
            // Cancelled once the node has the request: the attempt's future is dropped.
            Step::Silent => tokio::select! {
                result = &mut exchange => panic!("{result:?}"),
                connection = request_connections.recv() => (Outcome::Cancelled, connection),
            },
            _ => {
                let result = exchange.await;
                assert_eq!(
                    result.body.is_empty(),
                    !matches!(step, Step::Complete(..)),
                    "a complete body or none"
                );
                (result.outcome, request_connections.recv().await)
            }
        };
        assert_eq!(actual, outcome, "{step:?}");
        let connection = connection.expect("the node got the request");
        assert!(
            !unusable.contains(&connection),
            "a failed or cancelled connection is not reused"
        );
        if !reusable {
            unusable.insert(connection);
        }
        assert!(
            request_connections.try_recv().is_err(),
            "one attempt is one request at the node"
        );
    }
}

#[test]
fn outcomes_and_connection_reuse_follow_the_model() {
    fn holds(steps: Vec<Step>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(run_steps(steps));
        true
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[tokio::test]
async fn an_attempt_without_a_descriptor_is_not_sent() {
    let (address, mut request_connections) = scripted_node(vec![Step::Silent, Step::Silent]).await;
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
    let upstream = Upstream::new(
        &front_settings(),
        clock,
        2,
        common::front::memory_pool(),
        Default::default(),
    );
    let mut attempts = Vec::new();
    for _ in 0..2 {
        let (upstream, attempt) = (upstream.clone(), attempt(&handle, address).await);
        attempts.push(tokio::spawn(async move {
            upstream
                .attempt(
                    forwarded_request(),
                    attempt,
                    response_sender(),
                    connected_client(),
                )
                .await
        }));
        request_connections
            .recv()
            .await
            .expect("the node got the request");
    }
    let third = upstream
        .attempt(
            forwarded_request(),
            attempt(&handle, address).await,
            response_sender(),
            connected_client(),
        )
        .await;
    assert_eq!(
        third.outcome,
        Outcome::NotSent,
        "the outcome says nothing about the node"
    );
    // A cancelled attempt frees its descriptor.
    attempts.remove(0).abort();
    let fourth = upstream
        .attempt(
            forwarded_request(),
            attempt(&handle, address).await,
            response_sender(),
            connected_client(),
        )
        .await;
    assert_eq!(fourth.outcome, Outcome::Reset);
}

/// A process that was suspended between decision and send may resume with an attempt whose quota others use by now.
#[tokio::test]
async fn an_attempt_whose_quota_has_expired_is_never_sent() {
    let (address, mut request_connections) = scripted_node(vec![Step::Complete(200, false)]).await;
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
    let upstream = Upstream::new(
        &front_settings(),
        clock,
        64,
        common::front::memory_pool(),
        Default::default(),
    );
    let valid_until = clock.now() + 60_000_000;
    handle
        .set_quota_shares(QuotaShares {
            valid_until,
            reserve: 0.1,
            slow_start: 1.0,
            default_volume_factor: 1.0,
            ..QuotaShares::default()
        })
        .await;
    let mut late = attempt(&handle, address).await;
    assert_eq!(late.begin_by, valid_until);
    late.begin_by = clock.now();
    assert_eq!(
        upstream
            .attempt(
                forwarded_request(),
                late,
                response_sender(),
                connected_client()
            )
            .await
            .outcome,
        Outcome::Expired
    );
    assert!(
        request_connections.try_recv().is_err(),
        "no request reached the node"
    );
    let valid_attempt = attempt(&handle, address).await;
    assert_eq!(
        upstream
            .attempt(
                forwarded_request(),
                valid_attempt,
                response_sender(),
                connected_client()
            )
            .await
            .outcome,
        Outcome::Ok
    );
    // An attempt that draws on the reserve does not expire.
    handle
        .set_quota_shares(QuotaShares {
            reserve: 0.1,
            slow_start: 0.1,
            ..QuotaShares::default()
        })
        .await;
    assert_eq!(attempt(&handle, address).await.begin_by, Micros::MAX);
}

/// An engine with one listed node, and an upstream with this connect timeout.
async fn engine_and_upstream(connect_timeout: Micros) -> (EngineHandle, Upstream) {
    let mut settings = front_settings();
    settings.connect_timeout = connect_timeout;
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(settings.policy.clone(), 3, clock);
    tokio::spawn(engine.run());
    handle
        .update_nodes(
            NodeListKind::Cached,
            vec![unreachable_node(NodeState::Ready)],
        )
        .await;
    (
        handle,
        Upstream::new(
            &settings,
            clock,
            64,
            common::front::memory_pool(),
            Default::default(),
        ),
    )
}

/// A node whose accept queue is full: further connections are established once the queue is drained.
fn node_with_full_accept_queue() -> (std::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener: std::net::TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) =
        std::net::TcpStream::connect_timeout(&address, std::time::Duration::from_millis(200))
    {
        queued.push(stream);
    }
    (listener, queued)
}

#[tokio::test]
async fn nothing_is_sent_for_a_client_that_left_during_the_connect() {
    let (engine, upstream) = engine_and_upstream(60_000_000).await;
    let (node, queued) = node_with_full_accept_queue();
    let attempt_order = attempt(&engine, node.local_addr().unwrap()).await;
    let (client, client_gone) = watch::channel(());
    let exchange = upstream.attempt(
        forwarded_request(),
        attempt_order,
        response_sender(),
        ClientWait::new(client_gone, None),
    );
    tokio::pin!(exchange);
    assert!(
        (&mut exchange).now_or_never().is_none(),
        "the connection is being established"
    );
    drop(client);
    let result = tokio::time::timeout(std::time::Duration::from_secs(10), exchange).await;
    assert_eq!(
        result
            .expect("at once, before the connection is established")
            .outcome,
        Outcome::NotSent,
        "the outcome says nothing about the node"
    );
    // A connection that is still established carries no byte.
    drop(queued);
    node.set_nonblocking(true).unwrap();
    while let Ok((mut stream, _)) = node.accept() {
        use std::io::Read;
        stream.set_nonblocking(false).unwrap();
        stream
            .set_read_timeout(Some(std::time::Duration::from_millis(100)))
            .unwrap();
        assert!(!matches!(stream.read(&mut [0; 64]), Ok(1..)));
    }
}

#[tokio::test]
async fn a_disconnect_of_the_client_is_checked_right_before_the_send() {
    let (address, mut request_connections) =
        scripted_node(vec![Step::Complete(200, false); 2]).await;
    let (engine, upstream) = engine_and_upstream(250_000).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    // The task of the client's connection never runs here: only a check of the socket shows the disconnect.
    let (_client_stream, connection) = ClientStream::new(
        listener.accept().await.unwrap().0,
        watch::channel(Phase::Ready).1,
    );
    let (_client_waits, client_gone) = watch::channel(());
    let client_wait = ClientWait::new(client_gone, Some(connection.clone()));
    let first = upstream
        .attempt(
            forwarded_request(),
            attempt(&engine, address).await,
            response_sender(),
            client_wait.clone(),
        )
        .await;
    assert_eq!(
        (first.outcome, request_connections.recv().await),
        (Outcome::Ok, Some(0))
    );
    drop(client);
    common::rsync::wait_until(|| connection.client_left()).await;
    let second = upstream
        .attempt(
            forwarded_request(),
            attempt(&engine, address).await,
            response_sender(),
            client_wait,
        )
        .await;
    assert_eq!(second.outcome, Outcome::NotSent);
    assert!(
        request_connections.try_recv().is_err(),
        "no request reached the node"
    );
}

/// A keyed write may be retried while nodes remember its key. A retry whose connection is established too late is not sent.
#[tokio::test]
async fn a_retry_is_not_sent_once_nodes_may_have_forgotten_the_first_attempt() {
    let mut settings = front_settings();
    let window = 400_000;
    settings.policy.classes[1].idempotence = Idempotence::Deduplicated {
        scope: DeduplicationScope::Shard,
        window,
    };
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(settings.policy.clone(), 3, clock);
    tokio::spawn(engine.run());
    handle
        .update_nodes(
            NodeListKind::Cached,
            vec![unreachable_node(NodeState::Ready)],
        )
        .await;
    let (class, client_deadline) = (1, clock.now() + 60_000_000);
    let request = Request {
        class,
        plan: 2,
        units: 1.0,
        hosts: 1.0,
        client_deadline,
        shard: Some(Shard(0)),
        ..Request::default()
    };
    let before = clock.now();
    let mut request_handle = handle.open(request).await;
    let Some(Order::Send(first)) = request_handle.next_order().await else {
        panic!("not sent")
    };
    assert_eq!(
        first.begin_by,
        Micros::MAX,
        "the first attempt does not expire"
    );
    request_handle
        .reporter()
        .attempt_ended(0, Outcome::Reset, None)
        .await;
    let Some(Order::Send(second)) = request_handle.next_order().await else {
        panic!("not retried")
    };
    let sent_between = before..=clock.now();
    assert!(
        sent_between.contains(&(second.begin_by - window * 9 / 10)),
        "the window starts at the first attempt that may have run"
    );
    // An order that expired before its send is the last one, and the request fails.
    request_handle
        .reporter()
        .attempt_ended(1, Outcome::Expired, None)
        .await;
    tokio::time::sleep_until(clock.instant(second.begin_by)).await;
    loop {
        match request_handle.next_order().await {
            // Still within the window: the policy may order another attempt.
            Some(Order::Send(attempt)) => {
                assert!(attempt.begin_by == second.begin_by);
                request_handle
                    .reporter()
                    .attempt_ended(attempt.number, Outcome::Expired, None)
                    .await;
            }
            Some(Order::Fail) => break,
            other => panic!("{other:?}"),
        }
    }
}

/// The node starts to drain while a connection is being established, or before one is used: nothing is written once the drain
/// grace is over.
#[tokio::test]
async fn nothing_is_sent_to_a_node_whose_drain_grace_ends_during_the_connect() {
    let (engine, upstream) = engine_and_upstream(60_000_000).await;
    let (node, queued) = node_with_full_accept_queue();
    let attempt_order = attempt(&engine, node.local_addr().unwrap()).await;
    let stop_at = attempt_order.target.stop_at.clone();
    // An attempt that was ordered before the drain and whose connection is established at once.
    let (address, mut request_connections) = scripted_node(vec![Step::Complete(200, false)]).await;
    let late = attempt(&engine, address).await;
    let exchange = upstream.attempt(
        forwarded_request(),
        attempt_order,
        response_sender(),
        connected_client(),
    );
    tokio::pin!(exchange);
    assert!(
        (&mut exchange).now_or_never().is_none(),
        "the connection is being established"
    );
    engine
        .update_nodes(
            NodeListKind::Changes,
            vec![unreachable_node(NodeState::Draining)],
        )
        .await;
    common::rsync::wait_until(|| *stop_at.borrow() != Micros::MAX).await;
    let result = tokio::time::timeout(std::time::Duration::from_secs(10), exchange).await;
    assert_eq!(
        result.expect("when the grace is over").outcome,
        Outcome::ConnectFailed,
        "the request never ran"
    );
    assert!(
        engine.clock.now() < *stop_at.borrow() + 1_000_000,
        "before the connection is established"
    );
    drop(queued);
    // The other attempt is too late as well.
    assert_eq!(
        upstream
            .attempt(
                forwarded_request(),
                late,
                response_sender(),
                connected_client()
            )
            .await
            .outcome,
        Outcome::ConnectFailed
    );
    assert!(
        request_connections.try_recv().is_err(),
        "no request reached the node"
    );
}

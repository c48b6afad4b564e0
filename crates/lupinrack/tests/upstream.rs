//! A node's connection: what each way for an exchange to end proves, and whether the connection is used again,
//! against a small model under random steps.

mod common;

use bytes::Bytes;
use common::front::{told, unreached};
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

/// What the node does with a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Answers whole with this status; true: and says that it never ran.
    Whole(u16, bool),
    /// Breaks off its answer.
    Partial,
    /// Closes the connection once it has the request.
    Breaks,
    /// Says nothing; the front gives the attempt up.
    Silent,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let whole = [
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
                .choose(&whole)
                .map_or(Step::Breaks, |(status, unrun)| Step::Whole(*status, *unrun)),
            6 => Step::Partial,
            7 => Step::Breaks,
            _ => Step::Silent,
        }
    }
}

/// The model: what the step proves, and whether its connection may serve again.
fn expected(step: Step) -> (Outcome, bool) {
    match step {
        Step::Whole(200, _) => (Outcome::Ok, true),
        Step::Whole(503 | 504, true) => (Outcome::Rejected, true),
        Step::Whole(..) => (Outcome::Error, true),
        Step::Partial | Step::Breaks => (Outcome::Reset, false),
        Step::Silent => (Outcome::Cancelled, false),
    }
}

/// A node that goes through the steps, and tells of each request which connection it came on.
async fn scripted(steps: Vec<Step>) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (tell, told)) = (listener.local_addr().unwrap(), mpsc::unbounded_channel());
    let steps = std::sync::Arc::new(std::sync::Mutex::new(steps.into_iter()));
    tokio::spawn(async move {
        for connection in 0.. {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let (tell, steps) = (tell.clone(), steps.clone());
            tokio::spawn(async move {
                let mut head = Vec::new();
                while let Ok(b) = stream.read_u8().await {
                    head.push(b);
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    head.clear();
                    let _ = tell.send(connection);
                    let step = steps.lock().unwrap().next();
                    let answer = match step {
                        Some(Step::Whole(status, unrun)) => {
                            let mark = if unrun { "X-Not-Run: 1\r\n" } else { "" };
                            format!("HTTP/1.1 {status} Said\r\n{mark}Content-Length: 4\r\n\r\nbody")
                        }
                        Some(Step::Partial) => {
                            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody".into()
                        }
                        Some(Step::Breaks) | None => return,
                        // The front closes the connection of what it gave up: the loop ends with it.
                        Some(Step::Silent) => continue,
                    };
                    let _ = stream.write_all(answer.as_bytes()).await;
                    if matches!(step, Some(Step::Partial)) {
                        return;
                    }
                }
            });
        }
    });
    (address, told)
}

/// An attempt as the core orders it, at this address.
async fn attempt(core: &EngineHandle, address: SocketAddr) -> Attempt {
    let client_deadline = core.clock.now() + 60_000_000;
    let request = Request {
        plan: 2,
        units: 1.0,
        hosts: 1.0,
        client_deadline,
        ..Request::default()
    };
    let mut ticket = core.open(request).await;
    let Some(Order::Send(mut attempt)) = ticket.next_order().await else {
        panic!("not sent")
    };
    attempt.target.address = address;
    ticket.reporter().attempt_ended(0, Outcome::Ok, None).await;
    attempt
}

/// Nobody waits for a long answer here.
fn begins() -> tokio::sync::mpsc::Sender<lupinrack::net::upstream::StartedResponse> {
    tokio::sync::mpsc::channel(1).0
}

/// A client that waits for as long as the test runs.
fn waits() -> ClientWait {
    let (waiting, over) = watch::channel(());
    Box::leak(Box::new(waiting));
    ClientWait::new(over, None)
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

async fn play(steps: Vec<Step>) {
    let (address, mut came) = scripted(steps.clone()).await;
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
    let upstream = Upstream::new(
        &told(),
        clock,
        64,
        common::front::room(),
        Default::default(),
    );
    let mut closed = BTreeSet::new();
    for step in steps {
        let exchange = upstream.attempt(
            forwarded_request(),
            attempt(&handle, address).await,
            begins(),
            waits(),
        );
        tokio::pin!(exchange);
        let (outcome, reuse) = expected(step);
        let (seen, connection) = match step {
            // Given up once the node has it: the attempt is dropped, as a cancel does.
            Step::Silent => tokio::select! {
                ended = &mut exchange => panic!("{ended:?}"),
                connection = came.recv() => (Outcome::Cancelled, connection),
            },
            _ => {
                let ended = exchange.await;
                assert_eq!(
                    ended.body.is_empty(),
                    !matches!(step, Step::Whole(..)),
                    "whole or nothing"
                );
                (ended.outcome, came.recv().await)
            }
        };
        assert_eq!(seen, outcome, "{step:?}");
        let connection = connection.expect("the node is there");
        assert!(
            !closed.contains(&connection),
            "a connection that had failed or was given up is not used again"
        );
        if !reuse {
            closed.insert(connection);
        }
        assert!(
            came.try_recv().is_err(),
            "one attempt is one request at the node"
        );
    }
}

#[test]
fn an_attempt_proves_what_the_protocol_says_and_leaves_no_doubtful_connection() {
    fn holds(steps: Vec<Step>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(play(steps));
        true
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[tokio::test]
async fn where_no_descriptor_is_left_an_attempt_was_never_sent() {
    let (address, mut came) = scripted(vec![Step::Silent, Step::Silent]).await;
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
    let upstream = Upstream::new(&told(), clock, 2, common::front::room(), Default::default());
    let mut out = Vec::new();
    for _ in 0..2 {
        let (upstream, attempt) = (upstream.clone(), attempt(&handle, address).await);
        out.push(tokio::spawn(async move {
            upstream
                .attempt(forwarded_request(), attempt, begins(), waits())
                .await
        }));
        came.recv().await.expect("the node has it");
    }
    let third = upstream
        .attempt(
            forwarded_request(),
            attempt(&handle, address).await,
            begins(),
            waits(),
        )
        .await;
    assert_eq!(
        third.outcome,
        Outcome::NotSent,
        "it tells nothing of the node"
    );
    // Given up, an attempt leaves its descriptor to others.
    out.remove(0).abort();
    let fourth = upstream
        .attempt(
            forwarded_request(),
            attempt(&handle, address).await,
            begins(),
            waits(),
        )
        .await;
    assert_eq!(fourth.outcome, Outcome::Reset);
}

/// A process that was stopped between the decision and the send wakes with an attempt that others may have paid for by now.
#[tokio::test]
async fn an_attempt_whose_right_has_ended_is_never_begun() {
    let (address, mut came) = scripted(vec![Step::Whole(200, false)]).await;
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
    let upstream = Upstream::new(
        &told(),
        clock,
        64,
        common::front::room(),
        Default::default(),
    );
    let until = clock.now() + 60_000_000;
    handle
        .set_quota_shares(QuotaShares {
            valid_until: until,
            reserve: 0.1,
            slow_start: 1.0,
            default_volume_factor: 1.0,
            ..QuotaShares::default()
        })
        .await;
    let mut late = attempt(&handle, address).await;
    assert_eq!(late.begin_by, until);
    late.begin_by = clock.now();
    assert_eq!(
        upstream
            .attempt(forwarded_request(), late, begins(), waits())
            .await
            .outcome,
        Outcome::Expired
    );
    assert!(came.try_recv().is_err(), "nothing of it reached the node");
    let right = attempt(&handle, address).await;
    assert_eq!(
        upstream
            .attempt(forwarded_request(), right, begins(), waits())
            .await
            .outcome,
        Outcome::Ok
    );
    // What draws on the reserve has no end.
    handle
        .set_quota_shares(QuotaShares {
            reserve: 0.1,
            slow_start: 0.1,
            ..QuotaShares::default()
        })
        .await;
    assert_eq!(attempt(&handle, address).await.begin_by, Micros::MAX);
}

/// A front's end of the core with one node on the list, and the way to the nodes, with this long for a connection to come up.
async fn way(connect: Micros) -> (EngineHandle, Upstream) {
    let mut told = told();
    told.connect_timeout = connect;
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(told.policy.clone(), 3, clock);
    tokio::spawn(engine.run());
    handle
        .update_nodes(NodeListKind::Cached, vec![unreached(NodeState::Ready)])
        .await;
    (
        handle,
        Upstream::new(&told, clock, 64, common::front::room(), Default::default()),
    )
}

/// A node whose connections come up once it takes those that wait: its queue is full.
fn late_node() -> (std::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener: std::net::TcpListener = socket.into();
    let at = listener.local_addr().unwrap();
    let mut fill = Vec::new();
    while let Ok(stream) =
        std::net::TcpStream::connect_timeout(&at, std::time::Duration::from_millis(200))
    {
        fill.push(stream);
    }
    (listener, fill)
}

#[tokio::test]
async fn nothing_begins_for_a_client_that_left_while_the_connection_came_up() {
    let (core, upstream) = way(60_000_000).await;
    let (node, fill) = late_node();
    let order = attempt(&core, node.local_addr().unwrap()).await;
    let (client, over) = watch::channel(());
    let exchange = upstream.attempt(
        forwarded_request(),
        order,
        begins(),
        ClientWait::new(over, None),
    );
    tokio::pin!(exchange);
    assert!(
        (&mut exchange).now_or_never().is_none(),
        "its connection is coming up"
    );
    drop(client);
    let ended = tokio::time::timeout(std::time::Duration::from_secs(10), exchange).await;
    assert_eq!(
        ended.expect("at once, not when it is up").outcome,
        Outcome::NotSent,
        "and tells nothing of the node"
    );
    // Whatever still comes up brings no byte.
    drop(fill);
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
async fn a_client_is_looked_at_once_more_in_the_moment_of_the_send() {
    let (address, mut came) = scripted(vec![Step::Whole(200, false); 2]).await;
    let (core, upstream) = way(250_000).await;
    let door = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(door.local_addr().unwrap())
        .await
        .unwrap();
    // Its connection's own task never runs here: only a look at the socket can tell.
    let (_gate, visit) = ClientStream::new(
        door.accept().await.unwrap().0,
        watch::channel(Phase::Ready).1,
    );
    let (_open, over) = watch::channel(());
    let waiting = ClientWait::new(over, Some(visit.clone()));
    let first = upstream
        .attempt(
            forwarded_request(),
            attempt(&core, address).await,
            begins(),
            waiting.clone(),
        )
        .await;
    assert_eq!((first.outcome, came.recv().await), (Outcome::Ok, Some(0)));
    drop(client);
    common::rsync::wait_until(|| visit.client_left()).await;
    let second = upstream
        .attempt(
            forwarded_request(),
            attempt(&core, address).await,
            begins(),
            waiting,
        )
        .await;
    assert_eq!(second.outcome, Outcome::NotSent);
    assert!(came.try_recv().is_err(), "nothing of it reached the node");
}

/// A keyed write may be repeated while nodes remember it: one whose connection came up too late is not sent.
#[tokio::test]
async fn a_repeat_is_not_begun_once_the_nodes_may_have_forgotten_the_first() {
    let mut told = told();
    let window = 400_000;
    told.policy.classes[1].idempotence = Idempotence::Deduplicated {
        scope: DeduplicationScope::Shard,
        window,
    };
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(told.policy.clone(), 3, clock);
    tokio::spawn(engine.run());
    handle
        .update_nodes(NodeListKind::Cached, vec![unreached(NodeState::Ready)])
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
    let mut ticket = handle.open(request).await;
    let Some(Order::Send(first)) = ticket.next_order().await else {
        panic!("not sent")
    };
    assert_eq!(
        first.begin_by,
        Micros::MAX,
        "the first one has all its time"
    );
    ticket
        .reporter()
        .attempt_ended(0, Outcome::Reset, None)
        .await;
    let Some(Order::Send(second)) = ticket.next_order().await else {
        panic!("not repeated")
    };
    let sent = before..=clock.now();
    assert!(
        sent.contains(&(second.begin_by - window * 9 / 10)),
        "from the first that may have run"
    );
    // The order that was not carried out in time is the last, and the client hears that it failed.
    ticket
        .reporter()
        .attempt_ended(1, Outcome::Expired, None)
        .await;
    tokio::time::sleep_until(clock.instant(second.begin_by)).await;
    loop {
        match ticket.next_order().await {
            // Still in time: the module's choice.
            Some(Order::Send(again)) => {
                assert!(again.begin_by == second.begin_by);
                ticket
                    .reporter()
                    .attempt_ended(again.number, Outcome::Expired, None)
                    .await;
            }
            Some(Order::Fail) => break,
            other => panic!("{other:?}"),
        }
    }
}

/// News of a drain while the connection is coming up, and as it came up: nothing new is written once the grace is used.
#[tokio::test]
async fn nothing_begins_at_a_node_that_stops_while_the_connection_came_up() {
    let (core, upstream) = way(60_000_000).await;
    let (node, fill) = late_node();
    let order = attempt(&core, node.local_addr().unwrap()).await;
    let stops = order.target.stop_at.clone();
    // One that was ordered before and whose connection is there at once.
    let (address, mut came) = scripted(vec![Step::Whole(200, false)]).await;
    let late = attempt(&core, address).await;
    let exchange = upstream.attempt(forwarded_request(), order, begins(), waits());
    tokio::pin!(exchange);
    assert!(
        (&mut exchange).now_or_never().is_none(),
        "its connection is coming up"
    );
    core.update_nodes(NodeListKind::Changes, vec![unreached(NodeState::Draining)])
        .await;
    common::rsync::wait_until(|| *stops.borrow() != Micros::MAX).await;
    let ended = tokio::time::timeout(std::time::Duration::from_secs(10), exchange).await;
    assert_eq!(
        ended.expect("when the grace is used").outcome,
        Outcome::ConnectFailed,
        "it never ran"
    );
    assert!(
        core.clock.now() < *stops.borrow() + 1_000_000,
        "and not when the connection is up"
    );
    drop(fill);
    // The other one is too late as well.
    assert_eq!(
        upstream
            .attempt(forwarded_request(), late, begins(), waits())
            .await
            .outcome,
        Outcome::ConnectFailed
    );
    assert!(came.try_recv().is_err(), "nothing reached the node");
}

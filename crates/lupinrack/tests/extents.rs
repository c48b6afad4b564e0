//! Requests and the extent map: in the engine on paused time, and through complete fronts on loopback.

mod common;

use common::front::{front_settings, unreachable_node};
use lupinrack::engine::{Clock, EngineHandle, EngineParts, NodeListing, Order, RequestHandle};
use lupinrack::net::config::Config;
use lupinrack::net::shutdown::Phase;
use lupinrack::serve::{self, Plan};
use lupinrack_extent_map::config::Section;
use lupinrack_extent_map::{Action, Cache, Change, FetchResponse, Input, PollResponse, Version};
use lupinrack_operator_config::OperatorConfig;
use lupinrack_policy::{Key, NodeListKind, NodeState, Outcome, Request, Shard, VolumeId};
use mock_servers::authority::{Authority, GroundTruth};
use mock_servers::discovery::{Discovery, Entry};
use mock_servers::load::{ClientRequest, Clients, RequestOutcome};
use mock_servers::node::{lock, AttemptOutcome, KeyedWrites, Node, NodeConfig, PlacementLookup};
use mock_servers::rsync::wait_until;
use mock_servers::settings::configuration;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const VOLUME: VolumeId = VolumeId(7);
/// Timeout on paused time for an order that never comes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

fn version(epoch: u64) -> Version {
    Version {
        incarnation: 1,
        epoch,
    }
}

fn change(shard: u32, epoch: u64) -> Change {
    Change {
        volume: VOLUME,
        first: 0,
        last: u64::MAX,
        shard: Some(shard),
        epoch,
    }
}

fn fetch_response(shard: u32, epoch: u64) -> FetchResponse {
    FetchResponse {
        version: version(epoch),
        volume: VOLUME,
        first: 0,
        last: u64::MAX,
        extents: vec![change(shard, epoch)],
    }
}

fn poll_input(epoch: u64, changes: Vec<Change>) -> Input {
    Input::Polled(Ok(PollResponse {
        version: version(epoch),
        reset: epoch == 1,
        full_map: false,
        changes,
    }))
}

/// An engine with nodes `n0` to `n2` on shards 0 to 2, and the actions of its extent map.
async fn start_engine() -> (EngineHandle, mpsc::Receiver<Action>) {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(front_settings().policy, 3, clock);
    let (engine, channels) = engine.with_extent_map(Cache::new(Section::default(), clock.now()));
    tokio::spawn(engine.run());
    handle
        .update_nodes(
            NodeListKind::Cached,
            (0..3).map(|n| node(n, NodeState::Ready)).collect(),
        )
        .await;
    handle.extent_map_input(poll_input(1, Vec::new())).await;
    (handle, channels.actions)
}

fn node(shard: u32, state: NodeState) -> NodeListing {
    NodeListing {
        name: format!("n{shard}"),
        shard: Shard(shard),
        ..unreachable_node(state)
    }
}

/// Opens a read or a new write whose client assumes shard 0.
async fn open(engine: &EngineHandle, write: bool) -> RequestHandle {
    let request = Request {
        class: u16::from(write),
        plan: 2,
        units: 1.0,
        hosts: 1.0,
        volume: VOLUME,
        key: Some(Key(5)),
        shard: Some(Shard(0)),
        client_deadline: engine.clock.now() + 4_000_000,
        ..Request::default()
    };
    engine.open(request).await
}

/// Waits for the next fetch that the map requests.
async fn wait_for_fetch(actions: &mut mpsc::Receiver<Action>) {
    let fetched = async { while !matches!(actions.recv().await, Some(Action::Fetch { .. })) {} };
    tokio::time::timeout(ORDER_TIMEOUT, fetched)
        .await
        .expect("the map requests a fetch");
}

async fn answer_fetch(engine: &EngineHandle, fetch_response: FetchResponse) {
    engine
        .extent_map_input(Input::Fetched {
            volume: VOLUME,
            answer: Ok(fetch_response),
        })
        .await;
}

/// Expects a send as the next order. Returns its node and the attempt's number.
async fn next_send(request: &mut RequestHandle) -> (String, u16) {
    match tokio::time::timeout(ORDER_TIMEOUT, request.next_order())
        .await
        .expect("an order in time")
    {
        Some(Order::Send(attempt)) => (attempt.target.name.to_string(), attempt.number),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_fetch_and_goes_to_the_shard_of_the_map() {
    let (engine, mut actions) = start_engine().await;
    let (mut first, mut second) = (open(&engine, false).await, open(&engine, false).await);
    wait_for_fetch(&mut actions).await;
    answer_fetch(&engine, fetch_response(1, 1)).await;
    assert_eq!(
        next_send(&mut first).await.0,
        "n1",
        "not the shard that the client assumed"
    );
    assert_eq!(next_send(&mut second).await.0, "n1");
}

#[tokio::test(start_paused = true)]
async fn a_misdirected_request_is_retried_on_the_new_shard_once_the_map_has_it() {
    let (engine, mut actions) = start_engine().await;
    let mut request = open(&engine, true).await;
    wait_for_fetch(&mut actions).await;
    answer_fetch(&engine, fetch_response(1, 1)).await;
    let (_, number) = next_send(&mut request).await;
    request
        .reporter()
        .wrong_shard(number, Some(version(2)))
        .await;
    wait_for_fetch(&mut actions).await;
    answer_fetch(&engine, fetch_response(2, 2)).await;
    assert_eq!(
        next_send(&mut request).await,
        ("n2".to_string(), 1),
        "it never ran, so even a write is retried"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_denies_its_shard_counts_as_full_and_the_request_is_rejected() {
    let (engine, mut actions) = start_engine().await;
    let mut request = open(&engine, false).await;
    wait_for_fetch(&mut actions).await;
    answer_fetch(&engine, fetch_response(1, 1)).await;
    let mut attempts = 0;
    loop {
        match request.next_order().await {
            Some(Order::Send(attempt)) => {
                attempts += 1;
                request
                    .reporter()
                    .wrong_shard(attempt.number, Some(version(1)))
                    .await;
            }
            Some(Order::Reject(after)) => {
                break assert!(after.is_some(), "a rejection has a retry time")
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((1..=3).contains(&attempts), "{attempts} attempts");
}

#[tokio::test(start_paused = true)]
async fn a_write_that_may_have_run_is_not_retried_outside_its_deduplication_scope() {
    let (engine, mut actions) = start_engine().await;
    let mut request = open(&engine, true).await;
    wait_for_fetch(&mut actions).await;
    answer_fetch(&engine, fetch_response(1, 1)).await;
    let (_, number) = next_send(&mut request).await;
    engine
        .extent_map_input(poll_input(2, vec![change(2, 2)]))
        .await;
    request
        .reporter()
        .attempt_ended(number, Outcome::Reset, None)
        .await;
    assert!(
        matches!(request.next_order().await, Some(Order::Fail)),
        "it fails at once"
    );
}

#[tokio::test(start_paused = true)]
async fn a_move_during_a_drain_redirects_waiting_requests_to_the_new_shard() {
    let (engine, mut actions) = start_engine().await;
    let mut first = open(&engine, false).await;
    wait_for_fetch(&mut actions).await;
    answer_fetch(&engine, fetch_response(1, 1)).await;
    next_send(&mut first).await;
    // More requests than the node gets at once. Then it drains, and the extent moves shortly after.
    let mut waiting = Vec::new();
    for _ in 0..30 {
        waiting.push(open(&engine, false).await);
    }
    engine
        .update_nodes(NodeListKind::Changes, vec![node(1, NodeState::Draining)])
        .await;
    let before = sent_nodes(&mut waiting).await;
    assert!(
        before.len() < 30 && before.iter().all(|node| node == "n1"),
        "within its drain grace: {before:?}"
    );
    engine
        .extent_map_input(poll_input(2, vec![change(2, 2)]))
        .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let after = sent_nodes(&mut waiting).await;
    assert!(
        !after.is_empty() && after.iter().all(|node| node == "n2"),
        "none to the old shard: {after:?}"
    );
}

/// The nodes of the sends that have been ordered so far.
async fn sent_nodes(requests: &mut [RequestHandle]) -> Vec<String> {
    let mut nodes = Vec::new();
    for request in requests {
        let order = tokio::time::timeout(Duration::from_millis(1), request.next_order()).await;
        if let Ok(Some(Order::Send(attempt))) = order {
            nodes.push(attempt.target.name.to_string());
        }
    }
    nodes
}

#[tokio::test(start_paused = true)]
async fn a_key_without_an_extent_goes_to_the_shard_of_its_client() {
    let (engine, mut actions) = start_engine().await;
    let mut request = open(&engine, false).await;
    wait_for_fetch(&mut actions).await;
    answer_fetch(
        &engine,
        FetchResponse {
            extents: Vec::new(),
            ..fetch_response(1, 1)
        },
    )
    .await;
    assert_eq!(next_send(&mut request).await.0, "n0");
}

/// A front, two nodes on shards 0 and 1, and an authority, all on loopback.
struct Cluster {
    authority: Arc<Authority>,
    nodes: Vec<Node>,
    front: serve::Front,
    phase: watch::Sender<Phase>,
    clients: Clients,
    _keep_alive: (Discovery, watch::Sender<std::net::SocketAddr>),
}

impl Cluster {
    async fn new() -> Cluster {
        let mut truth = GroundTruth::new(3);
        truth.put(7, 0, u64::MAX, 0);
        let authority = Arc::new(Authority::start(truth).await.unwrap());
        let mut nodes = Vec::new();
        for shard in 0..2 {
            let truth = authority.ground_truth.clone();
            let placement_lookup: PlacementLookup =
                Arc::new(move |volume, key| lock(&truth).placement(volume, key));
            let node_config = NodeConfig {
                shard,
                placement_lookup: Some(placement_lookup),
                ..NodeConfig::default()
            };
            nodes.push(
                Node::start(node_config, KeyedWrites::default())
                    .await
                    .unwrap(),
            );
        }
        let entry = |(i, n): (usize, &Node)| Entry {
            name: format!("s-{i}"),
            address: n.address,
            shard: i as u32,
            lifecycle: "SERVING",
            started: 0,
        };
        let discovery = Discovery::start(nodes.iter().enumerate().map(entry).collect())
            .await
            .unwrap();
        let config = configuration("n1", discovery.address, 5, 1);
        let section = Section {
            enabled: true,
            authority: authority.address,
            hold_ms: 200,
            ..Section::default()
        };
        let operator = OperatorConfig {
            extents: Some(section),
            ..OperatorConfig::default()
        };
        let plan = Plan::new(Config::parse(&config.to_string()).unwrap(), operator).unwrap();
        let (phase, phase_receiver) = watch::channel(Phase::Ready);
        let (address_sender, address) = watch::channel(discovery.address);
        let front = serve::start(plan, phase_receiver, address).await.unwrap();
        Cluster {
            authority,
            nodes,
            front,
            phase,
            clients: Clients::default(),
            _keep_alive: (discovery, address_sender),
        }
    }

    async fn ask(&self, id: u32) -> RequestOutcome {
        let ask = ClientRequest {
            id: format!("{id:016x}"),
            class: "read",
            writes: false,
            plan: "priority",
            volume: 7,
            key: 9,
            units: 1,
            shard: 1,
            hosts: 1,
            deadline: Duration::from_secs(2),
        };
        self.clients.send(self.front.listen, &ask).await.0
    }

    fn fates(&self, shard: usize) -> Vec<AttemptOutcome> {
        lock(&self.nodes[shard].attempts)
            .iter()
            .map(|s| s.outcome)
            .collect()
    }
}

#[tokio::test]
async fn a_silent_authority_affects_only_moved_extents() {
    let cluster = Cluster::new().await;
    assert_eq!(cluster.ask(1).await, RequestOutcome::Served);
    cluster.authority.silence(true);
    assert_eq!(
        cluster.ask(2).await,
        RequestOutcome::Served,
        "the front keeps using its map"
    );
    // The extent moves while the authority is silent: the node rejects the request, its new shard is unknown, and the client
    // gets a rejection in time.
    cluster.authority.change(|t| t.put(7, 0, u64::MAX, 1));
    assert_eq!(cluster.ask(3).await, RequestOutcome::Refused);
    assert!(cluster.fates(1).is_empty());
    cluster.authority.silence(false);
    wait_until(|| cluster.front.extent_counters.borrow().changes > 0).await;
    assert_eq!(cluster.ask(4).await, RequestOutcome::Served);
    assert_eq!(cluster.fates(1), [AttemptOutcome::Ran]);
    cluster.phase.send_replace(Phase::Draining);
    cluster.front.task.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_restarted_authority_with_lower_epochs_is_followed() {
    let cluster = Cluster::new().await;
    for n in 0..10 {
        cluster.authority.change(|t| t.put(7, 0, u64::MAX, n % 2));
    }
    assert_eq!(cluster.ask(1).await, RequestOutcome::Served);
    cluster.authority.change(|t| {
        t.restart(4);
        t.put(7, 0, u64::MAX, 0);
    });
    wait_until(|| cluster.front.extent_counters.borrow().resets > 1).await;
    assert_eq!(cluster.ask(2).await, RequestOutcome::Served);
    assert_eq!(
        (cluster.fates(0), cluster.fates(1)),
        (vec![AttemptOutcome::Ran], vec![AttemptOutcome::Ran])
    );
}

#[test]
fn the_drill_passes_its_checks() {
    let drill = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lupinrack"));
        let output = command
            .args(["extents", "drill", "--json"])
            .args(args)
            .output()
            .unwrap();
        let figures: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        (output.status.code(), figures)
    };
    let small_drill = [
        "--fronts",
        "3",
        "--nodes",
        "4",
        "--volumes",
        "20",
        "--rate",
        "40",
        "--seconds",
        "5",
    ];
    let (code, figures) = drill(
        &[
            &small_drill[..],
            &[
                "--moves-per-s",
                "20",
                "--seed",
                "11",
                "--strategy",
                "versioned",
                "--resets",
                "20",
            ],
        ]
        .concat(),
    );
    assert_eq!(code, Some(0), "{figures}");
    let count = |name: &str| figures[name].as_u64().unwrap();
    assert_eq!(
        count("served") + count("refused") + count("failed"),
        count("requests"),
        "{figures}"
    );
    assert!(
        count("requests") == 600 && count("served") > 400 && count("drains") > 0,
        "{figures}"
    );
    assert!(
        count("moves") > 90 && count("refresh_calls") > 0,
        "{figures}"
    );
    // A burst of moves: the number of calls is bounded at any speed of the machine.
    let (code, figures) = drill(
        &[
            &small_drill[..],
            &["--burst", "2000", "--seed", "12", "--strategy", "versioned"],
        ]
        .concat(),
    );
    assert_eq!(code, Some(0), "{figures}");
    assert!(figures["moves"].as_u64() >= Some(2_000), "{figures}");
    assert!(
        figures["burst_calls_per_front"].as_u64().unwrap() < 64,
        "{figures}"
    );
    // Invalid arguments.
    assert_eq!(drill(&["--nodes", "1"]).0, Some(2));
    assert_eq!(drill(&["--moves-per-s", "-1"]).0, Some(2));
}

#[test]
fn the_simulation_is_deterministic_for_a_seed() {
    let sim = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lupinrack"));
        let args = [
            "extents",
            "sim",
            "--json",
            "--fronts",
            "8",
            "--volumes",
            "50",
            "--seconds",
            "20",
            "--silence",
        ];
        let output = command
            .args(args)
            .args(["--moves-per-s", "20"])
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0));
        let mut figures: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        figures["took_s"] = 0.into();
        figures
    };
    let figures = sim();
    assert_eq!(figures, sim());
    assert!(figures["requests"].as_u64() > Some(10_000), "{figures}");
    assert!(
        figures["misdirected"].as_u64() > Some(0),
        "the silence misdirects requests: {figures}"
    );
    assert!(
        figures["peer_bytes_per_request"].as_f64() > Some(0.0),
        "peers send updates: {figures}"
    );
}

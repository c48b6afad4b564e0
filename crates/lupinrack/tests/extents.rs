//! Requests and the map of extents: in the core on paused time, and through whole fronts on loopback.

mod common;

use common::front::{told, unreached};
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
/// On paused time: ends a test that would never end.
const PATIENCE: Duration = Duration::from_secs(60);

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

fn cover(shard: u32, epoch: u64) -> FetchResponse {
    FetchResponse {
        version: version(epoch),
        volume: VOLUME,
        first: 0,
        last: u64::MAX,
        extents: vec![change(shard, epoch)],
    }
}

fn news(epoch: u64, changes: Vec<Change>) -> Input {
    Input::Polled(Ok(PollResponse {
        version: version(epoch),
        reset: epoch == 1,
        full_map: false,
        changes,
    }))
}

/// A core with nodes `n0` to `n2` on shards 0 to 2, and the actions of its map.
async fn core() -> (EngineHandle, mpsc::Receiver<Action>) {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(told().policy, 3, clock);
    let (engine, channels) = engine.with_extent_map(Cache::new(Section::default(), clock.now()));
    tokio::spawn(engine.run());
    handle
        .update_nodes(
            NodeListKind::Cached,
            (0..3).map(|n| node(n, NodeState::Ready)).collect(),
        )
        .await;
    handle.extent_map_input(news(1, Vec::new())).await;
    (handle, channels.actions)
}

fn node(shard: u32, state: NodeState) -> NodeListing {
    NodeListing {
        name: format!("n{shard}"),
        shard: Shard(shard),
        ..unreached(state)
    }
}

/// Opens a read or a new write whose client believes in shard 0.
async fn open(core: &EngineHandle, write: bool) -> RequestHandle {
    let request = Request {
        class: u16::from(write),
        plan: 2,
        units: 1.0,
        hosts: 1.0,
        volume: VOLUME,
        key: Some(Key(5)),
        shard: Some(Shard(0)),
        client_deadline: core.clock.now() + 4_000_000,
        ..Request::default()
    };
    core.open(request).await
}

/// Waits for the next fetch that the map asks for.
async fn fetch(actions: &mut mpsc::Receiver<Action>) {
    let fetched = async { while !matches!(actions.recv().await, Some(Action::Fetch { .. })) {} };
    tokio::time::timeout(PATIENCE, fetched)
        .await
        .expect("it is fetched");
}

async fn answer(core: &EngineHandle, cover: FetchResponse) {
    core.extent_map_input(Input::Fetched {
        volume: VOLUME,
        answer: Ok(cover),
    })
    .await;
}

/// The next order must be a Send; tells where to, and the attempt's number.
async fn sent(ticket: &mut RequestHandle) -> (String, u16) {
    match tokio::time::timeout(PATIENCE, ticket.next_order())
        .await
        .expect("it is sent")
    {
        Some(Order::Send(attempt)) => (attempt.target.name.to_string(), attempt.number),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_its_volume_and_goes_where_the_map_says() {
    let (core, mut actions) = core().await;
    let (mut first, mut second) = (open(&core, false).await, open(&core, false).await);
    fetch(&mut actions).await;
    answer(&core, cover(1, 1)).await;
    assert_eq!(
        sent(&mut first).await.0,
        "n1",
        "not where the client believed"
    );
    assert_eq!(sent(&mut second).await.0, "n1");
}

#[tokio::test(start_paused = true)]
async fn one_that_is_turned_away_as_moved_goes_to_the_new_shard_once_the_map_has_it() {
    let (core, mut actions) = core().await;
    let mut ticket = open(&core, true).await;
    fetch(&mut actions).await;
    answer(&core, cover(1, 1)).await;
    let (_, number) = sent(&mut ticket).await;
    ticket
        .reporter()
        .wrong_shard(number, Some(version(2)))
        .await;
    fetch(&mut actions).await;
    answer(&core, cover(2, 2)).await;
    assert_eq!(
        sent(&mut ticket).await,
        ("n2".to_string(), 1),
        "never ran, so even a write goes on"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_lies_is_like_one_without_room_and_the_request_ends_in_a_refusal() {
    let (core, mut actions) = core().await;
    let mut ticket = open(&core, false).await;
    fetch(&mut actions).await;
    answer(&core, cover(1, 1)).await;
    let mut tries = 0;
    loop {
        match ticket.next_order().await {
            Some(Order::Send(attempt)) => {
                tries += 1;
                ticket
                    .reporter()
                    .wrong_shard(attempt.number, Some(version(1)))
                    .await;
            }
            Some(Order::Reject(after)) => {
                break assert!(after.is_some(), "it says when to come back")
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((1..=3).contains(&tries), "{tries} attempts");
}

#[tokio::test(start_paused = true)]
async fn a_write_that_may_have_run_does_not_follow_its_data_out_of_its_group() {
    let (core, mut actions) = core().await;
    let mut ticket = open(&core, true).await;
    fetch(&mut actions).await;
    answer(&core, cover(1, 1)).await;
    let (_, number) = sent(&mut ticket).await;
    core.extent_map_input(news(2, vec![change(2, 2)])).await;
    ticket
        .reporter()
        .attempt_ended(number, Outcome::Reset, None)
        .await;
    assert!(
        matches!(ticket.next_order().await, Some(Order::Fail)),
        "it fails plainly, and at once"
    );
}

#[tokio::test(start_paused = true)]
async fn a_move_during_a_drain_leaves_the_node_free_and_brings_what_waits_to_the_new_place() {
    let (core, mut actions) = core().await;
    let mut first = open(&core, false).await;
    fetch(&mut actions).await;
    answer(&core, cover(1, 1)).await;
    sent(&mut first).await;
    // Far more than the node is given at once, then it drains, and the extent moves away a little later.
    let mut waiting = Vec::new();
    for _ in 0..30 {
        waiting.push(open(&core, false).await);
    }
    core.update_nodes(NodeListKind::Changes, vec![node(1, NodeState::Draining)])
        .await;
    let before = sends(&mut waiting).await;
    assert!(
        before.len() < 30 && before.iter().all(|to| to == "n1"),
        "within its grace: {before:?}"
    );
    core.extent_map_input(news(2, vec![change(2, 2)])).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let after = sends(&mut waiting).await;
    assert!(
        !after.is_empty() && after.iter().all(|to| to == "n2"),
        "none to the old place: {after:?}"
    );
}

/// Where what was sent by now went.
async fn sends(tickets: &mut [RequestHandle]) -> Vec<String> {
    let mut to = Vec::new();
    for ticket in tickets {
        let order = tokio::time::timeout(Duration::from_millis(1), ticket.next_order()).await;
        if let Ok(Some(Order::Send(attempt))) = order {
            to.push(attempt.target.name.to_string());
        }
    }
    to
}

#[tokio::test(start_paused = true)]
async fn what_no_extent_covers_lies_where_its_client_says() {
    let (core, mut actions) = core().await;
    let mut ticket = open(&core, false).await;
    fetch(&mut actions).await;
    answer(
        &core,
        FetchResponse {
            extents: Vec::new(),
            ..cover(1, 1)
        },
    )
    .await;
    assert_eq!(sent(&mut ticket).await.0, "n0");
}

/// A front, two nodes on shards 0 and 1, an authority, all on loopback.
struct Room {
    authority: Arc<Authority>,
    nodes: Vec<Node>,
    front: serve::Front,
    phase: watch::Sender<Phase>,
    clients: Clients,
    _kept: (Discovery, watch::Sender<std::net::SocketAddr>),
}

impl Room {
    async fn new() -> Room {
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
        let (phase, seen) = watch::channel(Phase::Ready);
        let (at, address) = watch::channel(discovery.address);
        let front = serve::start(plan, seen, address).await.unwrap();
        Room {
            authority,
            nodes,
            front,
            phase,
            clients: Clients::default(),
            _kept: (discovery, at),
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
async fn a_silent_authority_costs_what_moved_and_nothing_else() {
    let room = Room::new().await;
    assert_eq!(room.ask(1).await, RequestOutcome::Served);
    room.authority.silence(true);
    assert_eq!(
        room.ask(2).await,
        RequestOutcome::Served,
        "it goes on with what it had"
    );
    // Moved unheard: the node turns it away, nobody says where to, and the client hears that in time.
    room.authority.change(|t| t.put(7, 0, u64::MAX, 1));
    assert_eq!(room.ask(3).await, RequestOutcome::Refused);
    assert!(room.fates(1).is_empty());
    room.authority.silence(false);
    wait_until(|| room.front.extents.borrow().changes > 0).await;
    assert_eq!(room.ask(4).await, RequestOutcome::Served);
    assert_eq!(room.fates(1), [AttemptOutcome::Ran]);
    room.phase.send_replace(Phase::Closing);
    room.front.ended.await.unwrap().unwrap();
}

#[tokio::test]
async fn an_authority_that_starts_anew_with_lower_epochs_is_followed() {
    let room = Room::new().await;
    for n in 0..10 {
        room.authority.change(|t| t.put(7, 0, u64::MAX, n % 2));
    }
    assert_eq!(room.ask(1).await, RequestOutcome::Served);
    room.authority.change(|t| {
        t.restart(4);
        t.put(7, 0, u64::MAX, 0);
    });
    wait_until(|| room.front.extents.borrow().resets > 1).await;
    assert_eq!(room.ask(2).await, RequestOutcome::Served);
    assert_eq!(
        (room.fates(0), room.fates(1)),
        (vec![AttemptOutcome::Ran], vec![AttemptOutcome::Ran])
    );
}

#[test]
fn the_drill_keeps_its_promises() {
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
    let small = [
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
            &small[..],
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
    // A burst: bounded calls, whatever the speed of this machine.
    let (code, figures) = drill(
        &[
            &small[..],
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
    // What it was given cannot be used.
    assert_eq!(drill(&["--nodes", "1"]).0, Some(2));
    assert_eq!(drill(&["--moves-per-s", "-1"]).0, Some(2));
}

#[test]
fn the_model_gives_the_same_for_the_same_seed() {
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
        "silence is felt: {figures}"
    );
    assert!(
        figures["peer_bytes_per_request"].as_f64() > Some(0.0),
        "and peers tell of it: {figures}"
    );
}

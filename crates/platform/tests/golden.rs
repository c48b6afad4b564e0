//! Golden files of what the platform tells a front: its configuration, the node list, and the calls for that list.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_platform::clock::Epoch;
use lupinrack_platform::config::Config;
use lupinrack_platform::discovery::Watch;
use lupinrack_policy::{DiscoveryMode, Request, Shard, VolumeId};
use lupinrack_request_engine::{Clock, Core, Handle, Order};
use serde_json::{json, Value};
use std::fmt::Debug;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const CONFIGURATION: &str = include_str!("golden/configuration.json");
const SHORT: &str = include_str!("golden/configuration-short.json");
const NODE_LIST: &str = include_str!("golden/node-list.json");
const CHANGES: &str = include_str!("golden/node-list-changes.json");

/// How long after hearing of a drain a node may still get something new: next to nothing, so that one that drains shows.
const DRAIN_GRACE_MS: u64 = 1;

fn add(read: &mut GoldenFile, key: &str, value: impl Debug) {
    read.add(key, format!("{value:?}"));
}

/// What was read, by the keys of the file; of the settings their names alone, since `lupinrack-front-settings` reads them.
fn read(file: &str, config: &Config) -> GoldenFile {
    let mut read = GoldenFile::open(file);
    add(&mut read, "name", &config.name);
    add(&mut read, "listen", config.listen);
    add(&mut read, "discovery", config.discovery);
    add(&mut read, "management", config.management);
    add(&mut read, "seed", config.seed);
    add(&mut read, "limits.sockets", config.limits.sockets);
    add(&mut read, "limits.memory_mb", config.limits.memory_mb);
    add(&mut read, "known", config.known.is_some());
    add(&mut read, "settings.areas", &config.told.zones);
    add(&mut read, "settings.classes", &config.told.classes);
    add(&mut read, "settings.grades", &config.told.plans);
    read
}

#[test]
fn the_configuration_is_read_as_before() {
    read(
        path!("configuration-read.txt"),
        &Config::parse(CONFIGURATION).unwrap(),
    )
    .check();
    read(
        path!("configuration-short-read.txt"),
        &Config::parse(SHORT).unwrap(),
    )
    .check();
}

#[test]
fn faults_of_the_configuration_keep_their_words() {
    let mut faults = GoldenFile::open(path!("configuration-faults.txt"));
    for (name, pointer, value) in [
        ("listen_without_port", "/listen", json!("127.0.0.1")),
        ("no_sockets", "/limits/sockets", json!(0)),
        ("no_memory", "/limits/memory_mb", json!(0)),
        ("sockets_of_another_kind", "/limits/sockets", json!("many")),
        ("seed_not_hexadecimal", "/seed", json!("x")),
        ("setting_missing", "/settings/resolution", Value::Null),
        (
            "lifecycle_of_another_kind",
            "/known/instances/0/lifecycle",
            json!(1),
        ),
    ] {
        let mut file: Value = serde_json::from_str(CONFIGURATION).unwrap();
        *file.pointer_mut(pointer).unwrap() = value;
        faults.add(
            name,
            Config::parse(&file.to_string()).err().expect("a fault"),
        );
    }
    faults.check();
}

/// DiscoveryMode as a test has it: it takes one call after another.
struct Registry {
    listener: TcpListener,
}

impl Registry {
    /// The next call's request line, and the connection that waits for its answer.
    async fn call(&self) -> (String, TcpStream) {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        (
            String::from_utf8(head)
                .unwrap()
                .lines()
                .next()
                .unwrap()
                .to_string(),
            stream,
        )
    }
}

async fn answer(mut stream: TcpStream, body: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).await.unwrap();
}

/// A core that hears of nodes from this registry alone.
async fn watched() -> (Registry, Handle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut file: Value = serde_json::from_str(CONFIGURATION).unwrap();
    file["settings"]["safety"]["stopSendingWithin"] = json!(DRAIN_GRACE_MS);
    let config = Config::parse(&file.to_string()).unwrap();
    let clock = Clock::start();
    let (core, handle, probes) = Core::new(config.told.for_module(), 1, clock);
    let (moves, address) = watch::channel(listener.local_addr().unwrap());
    let watch = Watch {
        address,
        zones: config.told.zones.clone(),
        epoch: Epoch::fix(&clock),
        how: (DiscoveryMode::Push, 1),
        seed: 7,
    };
    tokio::spawn(core.run());
    let watching = watch.run(handle.clone(), None);
    tokio::spawn(async move {
        // The address never moves, and nodes are not probed.
        let _kept = (moves, probes);
        watching.await;
    });
    (Registry { listener }, handle)
}

/// Where a request for data of a shard is sent; the longest wait tells that it is sent nowhere.
async fn sent(core: Handle, shard: u32) -> String {
    let request = Request {
        volume: VolumeId(u64::from(shard) + 1),
        hosts: 1.0,
        units: 1.0,
        shard: Some(Shard(shard)),
        client_deadline: core.clock.now() + 10_000_000,
        ..Request::default()
    };
    let mut ticket = core.open(request).await;
    match timeout(Duration::from_secs(1), ticket.order()).await {
        Ok(Some(Order::Send(attempt))) => format!("{} at {}", attempt.to.name, attempt.to.address),
        _ => "nowhere".to_string(),
    }
}

/// What the core made of the list that it heard last. The registry was called again, so that the list is with the core.
async fn placed(examples: &mut GoldenFile, list: &str, core: &Handle) {
    sleep(Duration::from_millis(20 * DRAIN_GRACE_MS)).await;
    let (listed, _) = core.targets().await.unwrap();
    examples.add(format!("{list}, nodes listed"), listed);
    let sent: Vec<_> = (0..6)
        .map(|shard| tokio::spawn(sent(core.clone(), shard)))
        .collect();
    for (shard, sent) in sent.into_iter().enumerate() {
        examples.add(format!("{list}, shard {shard}"), sent.await.unwrap());
    }
}

#[tokio::test]
async fn the_node_list_is_called_for_and_read_as_before() {
    let (registry, core) = watched().await;
    let mut examples = GoldenFile::open(path!("node-list-read.txt"));
    let (line, stream) = registry.call().await;
    examples.add("first call", line);
    answer(stream, NODE_LIST).await;
    let (line, stream) = registry.call().await;
    placed(&mut examples, "whole list", &core).await;
    examples.add("second call", line);
    answer(stream, CHANGES).await;
    let (line, _stream) = registry.call().await;
    placed(&mut examples, "changes", &core).await;
    examples.add("third call", line);
    examples.check();
}

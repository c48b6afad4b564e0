//! Golden files of the configuration of a front, the node list, and the calls to discovery.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_platform::clock::UnixClockOffset;
use lupinrack_platform::config::Config;
use lupinrack_platform::discovery::NodeListWatcher;
use lupinrack_policy::{DiscoveryMode, Request, Shard, VolumeId};
use lupinrack_request_engine::{Clock, EngineHandle, EngineParts, Order};
use serde_json::{json, Value};
use std::fmt::Debug;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const CONFIGURATION: &str = include_str!("golden/configuration.json");
const MINIMAL_CONFIGURATION: &str = include_str!("golden/configuration-short.json");
const NODE_LIST: &str = include_str!("golden/node-list.json");
const NODE_LIST_CHANGES: &str = include_str!("golden/node-list-changes.json");

/// How long a draining node may still get new requests: very short, so that the test sees the drain.
const DRAIN_GRACE_MS: u64 = 1;

fn add(golden: &mut GoldenFile, key: &str, value: impl Debug) {
    golden.add(key, format!("{value:?}"));
}

/// The parsed configuration, by the keys of the file. Of the settings only names are added, since
/// `lupinrack-front-settings` parses and tests them.
fn parsed(file: &str, config: &Config) -> GoldenFile {
    let mut golden = GoldenFile::open(file);
    add(&mut golden, "name", &config.name);
    add(&mut golden, "listen", config.listen);
    add(&mut golden, "discovery", config.discovery);
    add(&mut golden, "management", config.management);
    add(&mut golden, "seed", config.seed);
    add(&mut golden, "limits.sockets", config.limits.sockets);
    add(&mut golden, "limits.memory_mb", config.limits.memory_mb);
    add(&mut golden, "known", config.known.is_some());
    add(&mut golden, "settings.areas", &config.settings.zones);
    add(&mut golden, "settings.classes", &config.settings.classes);
    add(&mut golden, "settings.grades", &config.settings.plans);
    golden
}

#[test]
fn the_configuration_is_parsed() {
    parsed(
        path!("configuration-read.txt"),
        &Config::parse(CONFIGURATION).unwrap(),
    )
    .check();
    parsed(
        path!("configuration-short-read.txt"),
        &Config::parse(MINIMAL_CONFIGURATION).unwrap(),
    )
    .check();
}

#[test]
fn error_texts_of_the_configuration_stay_the_same() {
    let mut errors = GoldenFile::open(path!("configuration-faults.txt"));
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
        errors.add(
            name,
            Config::parse(&file.to_string()).err().expect("an error"),
        );
    }
    errors.check();
}

/// A discovery service whose answers the test writes, one call after another.
struct Registry {
    listener: TcpListener,
}

impl Registry {
    /// Accepts the next call. Returns its request line and its connection.
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

async fn respond(mut stream: TcpStream, body: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).await.unwrap();
}

/// An engine whose node list comes from the registry alone.
async fn engine_with_registry() -> (Registry, EngineHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut file: Value = serde_json::from_str(CONFIGURATION).unwrap();
    file["settings"]["safety"]["stopSendingWithin"] = json!(DRAIN_GRACE_MS);
    let config = Config::parse(&file.to_string()).unwrap();
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: probes,
    } = EngineParts::new(config.settings.policy_settings(), 1, clock);
    let (address_sender, address) = watch::channel(listener.local_addr().unwrap());
    let watcher = NodeListWatcher {
        address,
        zones: config.settings.zones.clone(),
        clock_offset: UnixClockOffset::measure(&clock),
        mode_and_fronts: (DiscoveryMode::Push, 1),
        seed: 7,
    };
    tokio::spawn(engine.run());
    let watching = watcher.run(handle.clone(), None);
    tokio::spawn(async move {
        // The address never changes, and no probes are sent.
        let _kept = (address_sender, probes);
        watching.await;
    });
    (Registry { listener }, handle)
}

/// The node that a request for data of a shard is sent to, or `nowhere` if none is chosen within a second.
async fn target_of(engine: EngineHandle, shard: u32) -> String {
    let request = Request {
        volume: VolumeId(u64::from(shard) + 1),
        hosts: 1.0,
        units: 1.0,
        shard: Some(Shard(shard)),
        client_deadline: engine.clock.now() + 10_000_000,
        ..Request::default()
    };
    let mut ticket = engine.open(request).await;
    match timeout(Duration::from_secs(1), ticket.next_order()).await {
        Ok(Some(Order::Send(attempt))) => {
            format!("{} at {}", attempt.target.name, attempt.target.address)
        }
        _ => "nowhere".to_string(),
    }
}

/// Adds what the engine does with its latest list. The registry was called again before, so the engine has that list.
async fn add_targets(examples: &mut GoldenFile, list: &str, engine: &EngineHandle) {
    sleep(Duration::from_millis(20 * DRAIN_GRACE_MS)).await;
    let listed = engine.count_nodes().await.unwrap().listed;
    examples.add(format!("{list}, nodes listed"), listed);
    let targets: Vec<_> = (0..6)
        .map(|shard| tokio::spawn(target_of(engine.clone(), shard)))
        .collect();
    for (shard, target) in targets.into_iter().enumerate() {
        examples.add(format!("{list}, shard {shard}"), target.await.unwrap());
    }
}

#[tokio::test]
async fn the_node_list_is_fetched_and_parsed() {
    let (registry, engine) = engine_with_registry().await;
    let mut examples = GoldenFile::open(path!("node-list-read.txt"));
    let (line, stream) = registry.call().await;
    examples.add("first call", line);
    respond(stream, NODE_LIST).await;
    let (line, stream) = registry.call().await;
    add_targets(&mut examples, "whole list", &engine).await;
    examples.add("second call", line);
    respond(stream, NODE_LIST_CHANGES).await;
    let (line, _stream) = registry.call().await;
    add_targets(&mut examples, "changes", &engine).await;
    examples.add("third call", line);
    examples.check();
}

//! What surrounds the fronts: the configuration, the node list watcher, and the program from start to exit.

mod common;

use common::front::{ask, front_settings, get, node, start, Fronts, SETTINGS};
use common::rsync::wait_until;
use lupinrack::net::clock::UnixClockOffset;
use lupinrack::net::config::{Config, Limits};
use lupinrack::net::discovery::NodeListWatcher;
use lupinrack::settings;
use mock_servers::scripted::{discovery, Calls};
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::watch;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

#[test]
fn settings_as_json_equal_settings_as_lines() {
    let lines = "areas=salt-lake\npeersTotal=3\nresolution=2.0\nclasses.count=1\nclasses.0.name=read\n\
                 classes.0.aim=300.0\nclasses.0.deadline=2000.0\nclasses.0.repeat=free\n\
                 domain.changesData=true\nreport.columns=recent_ms,backlog\nsafety.stopSendingWithin=1000.0\n";
    let nested = serde_json::json!({
        "areas": ["salt-lake"], "peersTotal": 3, "resolution": 2.0, "unknown": {"to": ["this", 1, null]},
        "classes": [{"name": "read", "aim": 300.0, "deadline": 2000.0, "repeat": "free"}],
        "domain": {"changesData": [true]}, "report": {"columns": ["recent_ms", "backlog"]},
        "safety": {"stopSendingWithin": 1000.0}});
    let (from_lines, from_json) = (
        settings::parse(lines).unwrap(),
        settings::parse_json(&nested).unwrap(),
    );
    assert_eq!(format!("{from_lines:?}"), format!("{from_json:?}"));
    assert_eq!(
        (
            from_json.policy.hosts,
            from_json.policy.classes[0].writes,
            from_json.load_columns.len()
        ),
        (3, true, 2)
    );
}

#[test]
fn an_invalid_configuration_is_refused_with_the_reason() {
    let valid = configuration("127.0.0.1:1".parse().unwrap());
    assert!(Config::parse(&valid).is_ok());
    for (invalid, reason) in [
        (valid.replace("\"seed\":\"8c\"", "\"seed\":\"xyz\""), "seed"),
        (
            valid.replace("\"stopSendingWithin\"", "\"other\""),
            "safety.stopSendingWithin is missing",
        ),
        (
            valid.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
            "listen: invalid socket address",
        ),
        (
            valid.replace("\"sockets\":1024", "\"sockets\":-4"),
            "limits.sockets: invalid value",
        ),
        (
            valid.replace("\"sockets\":1024", "\"sockets\":0"),
            "limits.sockets: not a positive number",
        ),
        (
            valid.replace("\"generation\":41", "\"generation\":\"x\""),
            "known.generation: invalid type",
        ),
        (
            valid.replace("\"aim\": 300.0", "\"aim\": -300"),
            "classes.0.aim: not a positive number",
        ),
        (
            valid.replace("\"deadline\": 2000.0", "\"deadline\": 1e300"),
            "classes.0.deadline: over ten days",
        ),
        (
            valid.replace("\"connectTimeout\": 250.0", "\"connectTimeout\": -1"),
            "policyLimits.connectTimeout: not a positive",
        ),
        (
            valid.replace(
                "\"stopSendingWithin\": 1000.0",
                "\"stopSendingWithin\": 1e18",
            ),
            "safety.stopSendingWithin: over ten days",
        ),
        (
            valid.replace("\"limitBurst\": 32.0", "\"limitBurst\": -32"),
            "grades.0.limitBurst: not a positive",
        ),
        (
            valid.replace(
                "\"safety\": {",
                "\"safety\": {\"tipAfter\": 1000, \"coldFrom\": 7, ",
            ),
            "safety.coldFrom: 7 is over 1",
        ),
    ] {
        let error = Config::parse(&invalid)
            .err()
            .expect("the configuration is invalid")
            .to_string();
        assert!(error.contains(reason), "{error}");
    }
}

#[test]
fn the_limit_of_client_connections_follows_the_descriptors() {
    // A third of the descriptors for open requests and as many again for idle connections, but never all of them.
    for sockets in [256, 384, 512, 1024] {
        let max_clients = Limits {
            sockets,
            ..Limits::default()
        }
        .max_client_connections(0);
        assert!(
            max_clients > sockets / 2 && max_clients < sockets * 3 / 4,
            "{max_clients} of {sockets}"
        );
        assert_eq!(
            Limits {
                sockets,
                ..Limits::default()
            }
            .max_client_connections(60),
            max_clients - 40
        );
    }
    assert_eq!(
        Limits {
            sockets: 10,
            ..Limits::default()
        }
        .max_client_connections(0),
        1
    );
}

fn configuration(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
            "known":{{"generation":41,"reset":true,"instances":[]}},"settings":{SETTINGS}}}"#
    )
}

fn list(generation: u32, reset: bool, entries: &str) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{entries}]}}"#)
}

fn entry(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"salt-lake","machineType":"m2","cell":0,
            "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// The versions that calls asked to continue from. Each call may be held for 2 s at most.
fn versions(calls: &Calls) -> Vec<u64> {
    let version = |call: &String| {
        let (from, hold) = call
            .strip_prefix("/registry/instances?from=")?
            .split_once("&hold_ms=")?;
        let hold: u32 = hold.parse().ok()?;
        from.parse()
            .ok()
            .filter(|_| (1_000..=2_000).contains(&hold))
    };
    calls
        .lock()
        .unwrap()
        .iter()
        .map(|c| version(c).expect(c))
        .collect()
}

async fn status(fronts: &Fronts) -> String {
    let answer = ask(fronts.http, &get(1, "priority", 1, 4_000)).await;
    answer.split(' ').nth(1).unwrap().to_string()
}

#[tokio::test]
async fn the_watcher_continues_from_each_version_and_updates_reach_the_policy() {
    let (address, node_requests) = node(OK).await;
    let (discovery_address, calls, responses) = discovery().await;
    let fronts = start(address, address, "priority", 1_000).await;
    let clock_offset = UnixClockOffset::measure(&fronts.engine.clock);
    let (address_sender, discovery_address) = watch::channel(discovery_address);
    let watcher = NodeListWatcher {
        address: discovery_address,
        zones: front_settings().zones,
        clock_offset,
        mode_and_fronts: (lupinrack_policy::DiscoveryMode::Push, 3),
        seed: 1,
    };
    // The cached list is empty: it lacks the node that was known so far.
    let known = serde_json::from_str(&list(41, true, "")).unwrap();
    tokio::spawn(watcher.run(fronts.engine.clone(), Some(known)));
    wait_until(|| calls.lock().unwrap().len() == 1).await;
    assert_eq!(status(&fronts).await, "503");
    // A new node, as a change of the list.
    responses
        .send(list(43, false, &entry("s-1", address, "SERVING")))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() == 2).await;
    assert_eq!(status(&fronts).await, "200");
    // A failed call, a malformed response and an empty update change nothing, and the watcher continues.
    responses.send("break".into()).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 3).await;
    responses.send("nonsense".into()).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 4).await;
    responses.send(list(43, false, "")).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 5).await;
    assert_eq!(status(&fronts).await, "200");
    // A silent connection costs little more than the hold time of a call.
    let started = tokio::time::Instant::now();
    responses.send("silence".into()).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 6).await;
    assert!(
        started.elapsed() < Duration::from_secs(12),
        "{:?}",
        started.elapsed()
    );
    // A full list without the node removes it. A node with an unknown lifecycle gets no requests either.
    responses
        .send(list(50, true, &entry("s-2", address, "RESTING")))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() == 7).await;
    let requests_before = node_requests.lock().unwrap().len();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(status(&fronts).await, "503");
    assert_eq!(
        node_requests.lock().unwrap().len(),
        requests_before,
        "no request once its grace is over"
    );
    assert_eq!(versions(&calls), [41, 43, 43, 43, 43, 43, 50]);
    // The discovery address changes during a call: the watcher continues there from the same version and keeps the nodes.
    let (discovery_address, calls, responses) = discovery().await;
    address_sender.send_replace(discovery_address);
    wait_until(|| calls.lock().unwrap().len() == 1).await;
    responses
        .send(list(51, false, &entry("s-1", address, "SERVING")))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() == 2).await;
    assert_eq!(status(&fronts).await, "200");
    assert_eq!(versions(&calls), [50, 51]);
}

#[tokio::test]
async fn the_program_starts_serves_reloads_and_shuts_down() {
    let (address, _) = node(OK).await;
    let (discovery_address, _, responses) = discovery().await;
    responses
        .send(list(42, true, &entry("s-1", address, "SERVING")))
        .unwrap();
    let config = std::env::temp_dir().join(format!("lupinrack-{}.json", std::process::id()));
    std::fs::write(&config, configuration(discovery_address)).unwrap();
    let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_lupinrack"))
        .env("LB_CONFIG", &config)
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut log = BufReader::new(program.stderr.take().unwrap()).lines();
    let listen: SocketAddr = loop {
        let line = log.next_line().await.unwrap().expect("it logs its address");
        if let Some((_, address)) = line.split_once("n1 listens on ") {
            break address.parse().unwrap();
        }
    };
    let ready = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    assert!(ask(listen, ready).await.starts_with("HTTP/1.1 200"));
    let mut answer = String::new();
    for _ in 0..200 {
        answer = ask(listen, &get(1, "priority", 1, 2_000)).await;
        if answer.starts_with("HTTP/1.1 200") {
            break;
        }
    }
    assert!(answer.ends_with("hello"), "{answer}");
    let id = program.id().unwrap().to_string();
    let signal = |name: &str| {
        assert!(std::process::Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    };
    // An invalid file changes nothing. A file with another discovery address moves the watcher there.
    std::fs::write(&config, "{").unwrap();
    signal("-HUP");
    while !log
        .next_line()
        .await
        .unwrap()
        .expect("it keeps running")
        .contains("stays as it was")
    {}
    let (discovery_address, calls, responses) = discovery().await;
    std::fs::write(&config, configuration(discovery_address)).unwrap();
    signal("-HUP");
    wait_until(|| calls.lock().unwrap().len() == 1).await;
    assert_eq!(versions(&calls)[0], 42);
    responses.send(list(43, false, "")).unwrap();
    let answer = ask(listen, &get(2, "priority", 1, 2_000)).await;
    assert!(
        answer.ends_with("hello"),
        "the nodes known before keep serving: {answer}"
    );
    // A reload right before and during the shutdown does not affect the shutdown.
    signal("-HUP");
    signal("-TERM");
    signal("-HUP");
    let status = tokio::time::timeout(Duration::from_secs(30), program.wait())
        .await
        .unwrap()
        .unwrap();
    assert!(status.success(), "{status}");
    std::fs::remove_file(&config).unwrap();
}

//! What stands round the fronts: configuration, discovery, and the program itself from start to end.

mod common;

use common::front::{ask, get, node, start, told, Fronts, SETTINGS};
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
fn nested_settings_say_the_same_as_lines() {
    let lines = "areas=salt-lake\npeersTotal=3\nresolution=2.0\nclasses.count=1\nclasses.0.name=read\n\
                 classes.0.aim=300.0\nclasses.0.deadline=2000.0\nclasses.0.repeat=free\n\
                 domain.changesData=true\nreport.columns=recent_ms,backlog\nsafety.stopSendingWithin=1000.0\n";
    let nested = serde_json::json!({
        "areas": ["salt-lake"], "peersTotal": 3, "resolution": 2.0, "unknown": {"to": ["this", 1, null]},
        "classes": [{"name": "read", "aim": 300.0, "deadline": 2000.0, "repeat": "free"}],
        "domain": {"changesData": [true]}, "report": {"columns": ["recent_ms", "backlog"]},
        "safety": {"stopSendingWithin": 1000.0}});
    let (a, b) = (
        settings::parse(lines).unwrap(),
        settings::parse_json(&nested).unwrap(),
    );
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
    assert_eq!(
        (
            b.policy.hosts,
            b.policy.classes[0].writes,
            b.load_columns.len()
        ),
        (3, true, 2)
    );
}

#[test]
fn a_configuration_that_cannot_be_used_says_why() {
    let good = configuration("127.0.0.1:1".parse().unwrap());
    assert!(Config::parse(&good).is_ok());
    for (bad, why) in [
        (good.replace("\"seed\":\"8c\"", "\"seed\":\"xyz\""), "seed"),
        (
            good.replace("\"stopSendingWithin\"", "\"other\""),
            "safety.stopSendingWithin is missing",
        ),
        (
            good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
            "listen: invalid socket address",
        ),
        (
            good.replace("\"sockets\":1024", "\"sockets\":-4"),
            "limits.sockets: invalid value",
        ),
        (
            good.replace("\"sockets\":1024", "\"sockets\":0"),
            "limits.sockets: not a positive number",
        ),
        (
            good.replace("\"generation\":41", "\"generation\":\"x\""),
            "known.generation: invalid type",
        ),
        (
            good.replace("\"aim\": 300.0", "\"aim\": -300"),
            "classes.0.aim: not a positive number",
        ),
        (
            good.replace("\"deadline\": 2000.0", "\"deadline\": 1e300"),
            "classes.0.deadline: over ten days",
        ),
        (
            good.replace("\"connectTimeout\": 250.0", "\"connectTimeout\": -1"),
            "policyLimits.connectTimeout: not a positive",
        ),
        (
            good.replace(
                "\"stopSendingWithin\": 1000.0",
                "\"stopSendingWithin\": 1e18",
            ),
            "safety.stopSendingWithin: over ten days",
        ),
        (
            good.replace("\"limitBurst\": 32.0", "\"limitBurst\": -32"),
            "grades.0.limitBurst: not a positive",
        ),
        (
            good.replace(
                "\"safety\": {",
                "\"safety\": {\"tipAfter\": 1000, \"coldFrom\": 7, ",
            ),
            "safety.coldFrom: 7 is over 1",
        ),
    ] {
        let said = Config::parse(&bad)
            .err()
            .expect("it is not usable")
            .to_string();
        assert!(said.contains(why), "{said}");
    }
}

#[test]
fn the_places_for_clients_follow_the_descriptors() {
    // A third of the descriptors for open requests alone, and as much again for what idles; never all of them.
    for sockets in [256, 384, 512, 1024] {
        let most = Limits {
            sockets,
            ..Limits::default()
        }
        .max_client_connections(0);
        assert!(
            most > sockets / 2 && most < sockets * 3 / 4,
            "{most} of {sockets}"
        );
        assert_eq!(
            Limits {
                sockets,
                ..Limits::default()
            }
            .max_client_connections(60),
            most - 40
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

/// The versions that calls went on from; each may be held for 2 s at most.
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
async fn the_watch_goes_on_from_each_version_and_its_news_reach_the_decisions() {
    let (address, heads) = node(OK).await;
    let (at, calls, tell) = discovery().await;
    let fronts = start(address, address, "priority", 1_000).await;
    let clock_offset = UnixClockOffset::measure(&fronts.core.clock);
    let (move_to, at) = watch::channel(at);
    let watch = NodeListWatcher {
        address: at,
        zones: told().zones,
        clock_offset,
        mode_and_fronts: (lupinrack_policy::DiscoveryMode::Push, 3),
        seed: 1,
    };
    // The cached list is empty: the node known so far is not in it.
    let known = serde_json::from_str(&list(41, true, "")).unwrap();
    tokio::spawn(watch.run(fronts.core.clone(), Some(known)));
    wait_until(|| calls.lock().unwrap().len() == 1).await;
    assert_eq!(status(&fronts).await, "503");
    // A new node, told as a change.
    tell.send(list(43, false, &entry("s-1", address, "SERVING")))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() == 2).await;
    assert_eq!(status(&fronts).await, "200");
    // A call that breaks and one that brings nothing new change nothing; the watch goes on.
    tell.send("break".into()).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 3).await;
    tell.send("nonsense".into()).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 4).await;
    tell.send(list(43, false, "")).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 5).await;
    assert_eq!(status(&fronts).await, "200");
    // A connection that falls silent costs the hold and little more, long before a held call of old would end.
    let began = tokio::time::Instant::now();
    tell.send("silence".into()).unwrap();
    wait_until(|| calls.lock().unwrap().len() == 6).await;
    assert!(
        began.elapsed() < Duration::from_secs(12),
        "{:?}",
        began.elapsed()
    );
    // A whole list without it: it is gone. A lifecycle never heard of takes nothing new either.
    tell.send(list(50, true, &entry("s-2", address, "RESTING")))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() == 7).await;
    let before = heads.lock().unwrap().len();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(status(&fronts).await, "503");
    assert_eq!(
        heads.lock().unwrap().len(),
        before,
        "nothing new once its grace is over"
    );
    assert_eq!(versions(&calls), [41, 43, 43, 43, 43, 43, 50]);
    // Discovery moves while a call is out: the watch goes on there, from the same version, nothing forgotten.
    let (at, calls, tell) = discovery().await;
    move_to.send_replace(at);
    wait_until(|| calls.lock().unwrap().len() == 1).await;
    tell.send(list(51, false, &entry("s-1", address, "SERVING")))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() == 2).await;
    assert_eq!(status(&fronts).await, "200");
    assert_eq!(versions(&calls), [50, 51]);
}

#[tokio::test]
async fn the_program_starts_serves_and_ends_in_order() {
    let (address, _) = node(OK).await;
    let (at, _, tell) = discovery().await;
    tell.send(list(42, true, &entry("s-1", address, "SERVING")))
        .unwrap();
    let config = std::env::temp_dir().join(format!("lupinrack-{}.json", std::process::id()));
    std::fs::write(&config, configuration(at)).unwrap();
    let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_lupinrack"))
        .env("LB_CONFIG", &config)
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut log = BufReader::new(program.stderr.take().unwrap()).lines();
    let listen: SocketAddr = loop {
        let line = log
            .next_line()
            .await
            .unwrap()
            .expect("it says where it listens");
        if let Some((_, at)) = line.split_once("n1 listens on ") {
            break at.parse().unwrap();
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
    // A file that cannot be read changes nothing; one that names another discovery moves the watch there.
    std::fs::write(&config, "{").unwrap();
    signal("-HUP");
    while !log
        .next_line()
        .await
        .unwrap()
        .expect("it goes on")
        .contains("stays as it was")
    {}
    let (at, calls, tell) = discovery().await;
    std::fs::write(&config, configuration(at)).unwrap();
    signal("-HUP");
    wait_until(|| calls.lock().unwrap().len() == 1).await;
    assert_eq!(versions(&calls)[0], 42);
    tell.send(list(43, false, "")).unwrap();
    let answer = ask(listen, &get(2, "priority", 1, 2_000)).await;
    assert!(
        answer.ends_with("hello"),
        "the nodes known before serve on: {answer}"
    );
    // A file read again as the end comes, and while it lasts, changes nothing of the end.
    signal("-HUP");
    signal("-TERM");
    signal("-HUP");
    let ended = tokio::time::timeout(Duration::from_secs(30), program.wait())
        .await
        .unwrap()
        .unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(&config).unwrap();
}

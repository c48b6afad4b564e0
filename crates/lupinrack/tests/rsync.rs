//! The rsync front against stand-in clients and servers on loopback.

mod common;

use common::front::{ask, get, listing, node, start, start_with, with_rsync};
use common::rsync::*;
use lupinrack::engine::NodeListing;
use lupinrack::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

fn two_files() -> Files {
    let files = [
        ("a/one.csv", content(300_000, 1)),
        ("a/two.csv", content(70_000, 2)),
        ("none", Vec::new()),
    ];
    files.into_iter().map(|(n, d)| (n.to_string(), d)).collect()
}

/// Bytes of a file that a server sent.
fn sent(server: &RsyncServer) -> u64 {
    server.seen.lock().unwrap().sent.iter().map(|s| s.1).sum()
}

#[tokio::test]
async fn a_pull_brings_every_file_whole() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    let fronts = with_rsync(&server, "priority", 10_000).await;
    let got = RsyncClient::pull(fronts.rsync, "trips/").await;
    assert_eq!((got.complete, &got.errors), (true, &vec![]));
    assert!(got.complete_files == two_files(), "{got:?}");
    // One file, named in full, is listed by its last part.
    let got = RsyncClient::pull(fronts.rsync, "trips/a/two.csv").await;
    assert_eq!(got.listed, ["two.csv"]);
    assert!(got.complete_files["two.csv"] == two_files()["a/two.csv"]);
}

#[tokio::test]
async fn modules_are_listed_and_what_is_not_served_is_named() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    let fronts = with_rsync(&server, "priority", 10_000).await;
    for (hello, answer) in [
        (
            "@RSYNCD: 31.0 md5\n#list\n",
            "trips          \tTrip exports\n@RSYNCD: EXIT\n",
        ),
        (
            "@RSYNCD: 27\n\n",
            "trips          \tTrip exports\n@RSYNCD: EXIT\n",
        ),
        ("@RSYNCD: 27\nlogs\n", "@ERROR: Unknown module 'logs'\n"),
        (
            "@RSYNCD: 26\ntrips\n",
            "@ERROR: protocol version 26 is not served; 27 is the oldest\n",
        ),
        (
            "GET / HTTP/1.1\n",
            "@ERROR: this is an rsync daemon; a greeting is expected\n",
        ),
    ] {
        let mut stream = TcpStream::connect(fronts.rsync).await.unwrap();
        stream.write_all(hello.as_bytes()).await.unwrap();
        let mut said = String::new();
        stream.read_to_string(&mut said).await.unwrap();
        assert_eq!(said, format!("@RSYNCD: 27\n{answer}"), "after {hello:?}");
    }
    for (path, options, why) in [
        ("trips/", "-rz", "@ERROR: option -z is not served"),
        (
            "trips/",
            "--delete",
            "@ERROR: option --delete is not served",
        ),
        (
            "trips/../etc",
            "-r",
            "@ERROR: the path leads out of the module",
        ),
    ] {
        let mut c = RsyncClient::open(fronts.rsync, path, options)
            .await
            .unwrap();
        c.run().await;
        assert_eq!(
            (c.received.errors, c.received.complete),
            (vec![why.to_string()], false)
        );
    }
    assert!(
        server.seen.lock().unwrap().asked.is_empty(),
        "none of this reached a server"
    );
}

#[tokio::test]
async fn a_node_that_drains_halfway_finishes_what_is_in_hand_and_gets_nothing_new() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    server.hold.send_replace(true);
    let fronts = with_rsync(&server, "priority", 6_000).await;
    let pull = tokio::spawn(RsyncClient::pull(fronts.rsync, "trips/a/"));
    // Halfway through the first file, the node is told to drain.
    wait_until(|| sent(&server) >= 150_000 - 16_384).await;
    fronts
        .node(NodeListKind::Changes, server.address, NodeState::Draining)
        .await;
    let told = Instant::now();
    sleep(Duration::from_millis(1_200)).await;
    server.hold.send_replace(false);
    let got = timeout(Duration::from_secs(30), pull)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        got.complete_files.keys().collect::<Vec<_>>(),
        ["one.csv"],
        "what was in hand came whole"
    );
    assert!(got.complete_files["one.csv"] == two_files()["a/one.csv"]);
    assert!(
        matches!(&got.errors[..], [e] if e.starts_with("@ERROR: two.csv: refused; come back in")),
        "{got:?}"
    );
    assert!(got.complete, "the client goes on to a proper end");
    let asked = server.seen.lock().unwrap().asked.clone();
    assert!(
        asked.iter().all(|a| a.0 < told + Duration::from_secs(1)),
        "{asked:?}"
    );
    assert_eq!(asked.len(), 2, "the list and one file");
}

#[tokio::test]
async fn a_successor_takes_the_next_file_of_a_node_that_drained_halfway() {
    let (old, new) = (
        server(two_files(), ServerBehavior::Sound).await,
        server(two_files(), ServerBehavior::Sound).await,
    );
    old.hold.send_replace(true);
    let servers = [("n0", old.address), ("n1", new.address)];
    let fronts = start_with(old.address, &servers, "priority", 20_000).await;
    let pull = tokio::spawn(RsyncClient::pull(fronts.rsync, "trips/a/"));
    wait_until(|| sent(&old) >= 150_000 - 16_384).await;
    let successor = NodeListing {
        name: "n1".into(),
        ..listing(new.address, NodeState::Ready)
    };
    let news = vec![listing(old.address, NodeState::Draining), successor];
    fronts.core.update_nodes(NodeListKind::Changes, news).await;
    sleep(Duration::from_millis(1_200)).await;
    old.hold.send_replace(false);
    let got = timeout(Duration::from_secs(60), pull)
        .await
        .unwrap()
        .unwrap();
    assert!(
        got.complete && got.errors.is_empty() && got.complete_files.len() == 2,
        "{got:?}"
    );
    let asked = |s: &RsyncServer| {
        s.seen
            .lock()
            .unwrap()
            .asked
            .iter()
            .map(|a| a.1.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (asked(&old), asked(&new)),
        (
            vec!["a/".into(), "a/one.csv".into()],
            vec!["a/two.csv".to_string()]
        )
    );
}

#[tokio::test]
async fn a_basic_volume_keeps_its_limit_over_both_fronts_together() {
    let (http, heads) = node(OK).await;
    let files = [("big".to_string(), content(1_300_000, 3))]
        .into_iter()
        .collect();
    let server = server(files, ServerBehavior::Sound).await;
    let fronts = start(http, server.address, "basic", 60_000).await;
    let began = Instant::now();
    let pull = tokio::spawn(RsyncClient::pull(fronts.rsync, "trips/big"));
    let mut tasks = Vec::new();
    for i in 0..60 {
        let front = fronts.http;
        tasks.push(tokio::spawn(async move {
            sleep(Duration::from_millis(50 * i)).await;
            ask(front, &get(i as u32, "basic", 2, 2_000)).await
        }));
    }
    let mut served = 0;
    for t in tasks {
        let answer = t.await.unwrap();
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
        assert!(
            answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
    }
    let got = pull.await.unwrap();
    // Units as they moved: two for each read at its node, and the file's by the bytes passed on.
    let mut units: Vec<(Instant, f64)> = heads.lock().unwrap().iter().map(|h| (h.0, 2.0)).collect();
    units.extend(got.chunks.iter().map(|s| (s.0, s.1 as f64 / 16_384.0)));
    units.sort_by_key(|u| u.0);
    let (mut store, mut last) = (32.0_f64, began);
    for (at, n) in &units {
        store = (store + 16.0 * (*at - last).as_secs_f64()).min(32.0) - n;
        last = *at;
        // Times are taken at the far ends: a machine that stands still for a second may bunch what went out
        // in order. The bound to the unit is in tests/rules.rs; unpaced, the file alone falls below this one.
        assert!(store >= -8.0 - 16.0, "the volume's store fell to {store}");
    }
    assert!(
        served > 0 && served < 60,
        "{served} reads served: the limit holds some back and not all"
    );
    assert_eq!(
        got.complete_files.get("big").map(Vec::len),
        Some(1_300_000),
        "{:?}",
        got.errors
    );
}

#[tokio::test]
async fn a_refusal_says_at_once_when_to_come_back() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    // A unit in five seconds, and none saved up: the limit has nothing to give within the class's aim.
    let fronts = with_rsync(&server, "tiny", 60_000).await;
    let began = Instant::now();
    let got = RsyncClient::pull(fronts.rsync, "trips/").await;
    assert!(
        matches!(&got.errors[..], [e] if e.starts_with("@ERROR: the file list: refused; come back in")),
        "{got:?}"
    );
    assert!(
        began.elapsed() < Duration::from_secs(15),
        "at once, not held for long of its minute"
    );
    assert!(server.seen.lock().unwrap().asked.is_empty());
}

#[tokio::test]
async fn servers_that_fail_before_the_first_byte_end_in_one_clear_error() {
    for kind in [
        ServerBehavior::Silent,
        ServerBehavior::Full,
        ServerBehavior::Oversize,
        ServerBehavior::Garbage,
    ] {
        let server = server(two_files(), kind).await;
        let fronts = with_rsync(&server, "priority", 700).await;
        let got = timeout(
            Duration::from_secs(20),
            RsyncClient::pull(fronts.rsync, "trips/"),
        )
        .await
        .unwrap();
        assert!(
            matches!(&got.errors[..], [e] if e.starts_with("@ERROR: the file list: ")),
            "{kind:?}: {got:?}"
        );
        assert!(!got.complete);
    }
    // Nobody listens there any more.
    let dead = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let fronts = start(dead, dead, "priority", 700).await;
    let got = timeout(
        Duration::from_secs(20),
        RsyncClient::pull(fronts.rsync, "trips/"),
    )
    .await
    .unwrap();
    assert!(
        matches!(&got.errors[..], [e] if e.starts_with("@ERROR: the file list: ")),
        "{got:?}"
    );
}

#[tokio::test]
async fn a_break_after_the_first_bytes_is_seen_as_not_whole_and_not_tried_again() {
    for kind in [ServerBehavior::Breaks, ServerBehavior::WrongSum] {
        let server = server(two_files(), kind).await;
        let fronts = with_rsync(&server, "priority", 5_000).await;
        let got = RsyncClient::pull(fronts.rsync, "trips/a/one.csv").await;
        assert!(
            got.complete_files.is_empty() && !got.complete,
            "{kind:?}: {got:?}"
        );
        let one = "@ERROR: one.csv: broke off; what came is not whole";
        assert_eq!(got.errors, [one], "{kind:?}");
        let asked = server.seen.lock().unwrap().asked.len();
        assert_eq!(asked, 2, "the list and one attempt at the file");
    }
}

#[tokio::test]
async fn a_reader_that_stops_is_cut_off_at_the_deadline() {
    let files = [("big".to_string(), content(16 << 20, 3))]
        .into_iter()
        .collect();
    let server = server(files, ServerBehavior::Sound).await;
    let fronts = with_rsync(&server, "priority", 3_000).await;
    let mut c = RsyncClient::open(fronts.rsync, "trips/big", "-vlogDtpre.iLsfxCIvu")
        .await
        .unwrap();
    c.read_list().await.unwrap();
    c.request_file(0).await;
    let taken = c.take(1 << 16).await;
    assert!(taken.is_some(), "it begins");
    sleep(Duration::from_millis(4_500)).await;
    assert!(
        sent(&server) < 16 << 20,
        "the front does not read on for a client that does not"
    );
    let mut rest = 0;
    while c.take(1).await.is_some() {
        rest += 1;
    }
    assert!(
        rest < 16 << 20,
        "the connection ended before the file was whole"
    );
}

#[tokio::test]
async fn a_client_that_asks_for_nonsense_is_told_so() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    let fronts = with_rsync(&server, "priority", 5_000).await;
    let asks = [
        vec![99, 0, 700, 2, 0],
        vec![0, -1, 700, 2, 0],
        vec![0, i32::MAX, 700, 16, 0],
        vec![-7],
    ];
    for ask in asks {
        let mut c = RsyncClient::open(fronts.rsync, "trips/a/", "-vlogDtpre.iLsfxCIvu")
            .await
            .unwrap();
        c.read_list().await.unwrap();
        c.write(
            &ask.iter()
                .flat_map(|n: &i32| n.to_le_bytes())
                .collect::<Vec<u8>>(),
        )
        .await;
        assert!(c.next_file().await.is_none(), "{ask:?}");
        assert!(
            matches!(&c.received.errors[..], [e] if e.starts_with("@ERROR: ")),
            "{ask:?}: {:?}",
            c.received.errors
        );
    }
    let stream = TcpStream::connect(fronts.rsync).await.unwrap();
    // Far more than the front reads of it: the reason must still arrive.
    let (mut from, mut to) = stream.into_split();
    let garbage = tokio::spawn(async move { to.write_all(&vec![b'x'; 2 << 20]).await });
    let mut said = Vec::new();
    let _ = from.read_to_end(&mut said).await;
    garbage.abort();
    assert!(
        String::from_utf8_lossy(&said).contains("@ERROR: too long: line"),
        "{said:?}"
    );
}

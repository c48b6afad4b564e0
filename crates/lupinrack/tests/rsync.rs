//! The rsync front against mock clients and servers on loopback.

mod common;

use common::front::{
    ask, get, node, node_listing, start, start_with_rsync_server, start_with_rsync_servers,
};
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
    files
        .into_iter()
        .map(|(name, data)| (name.to_string(), data))
        .collect()
}

/// Bytes of file data that a server has sent.
fn sent(server: &RsyncServer) -> u64 {
    server.seen.lock().unwrap().sent.iter().map(|s| s.1).sum()
}

#[tokio::test]
async fn a_pull_transfers_every_file_completely() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    let fronts = start_with_rsync_server(&server, "priority", 10_000).await;
    let pulled = RsyncClient::pull(fronts.rsync, "trips/").await;
    assert_eq!((pulled.complete, &pulled.errors), (true, &vec![]));
    assert!(pulled.complete_files == two_files(), "{pulled:?}");
    // A single file that is named by its full path is listed under its base name.
    let pulled = RsyncClient::pull(fronts.rsync, "trips/a/two.csv").await;
    assert_eq!(pulled.listed, ["two.csv"]);
    assert!(pulled.complete_files["two.csv"] == two_files()["a/two.csv"]);
}

#[tokio::test]
async fn modules_are_listed_and_unsupported_requests_are_refused_with_a_reason() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    let fronts = start_with_rsync_server(&server, "priority", 10_000).await;
    for (greeting, answer) in [
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
        stream.write_all(greeting.as_bytes()).await.unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.unwrap();
        assert_eq!(
            reply,
            format!("@RSYNCD: 27\n{answer}"),
            "after {greeting:?}"
        );
    }
    for (path, options, error) in [
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
        let mut client = RsyncClient::open(fronts.rsync, path, options)
            .await
            .unwrap();
        client.run().await;
        assert_eq!(
            (client.received.errors, client.received.complete),
            (vec![error.to_string()], false)
        );
    }
    assert!(
        server.seen.lock().unwrap().asked.is_empty(),
        "no request reached a server"
    );
}

#[tokio::test]
async fn a_draining_node_finishes_its_file_and_gets_no_new_one() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    server.hold.send_replace(true);
    let fronts = start_with_rsync_server(&server, "priority", 6_000).await;
    let pull = tokio::spawn(RsyncClient::pull(fronts.rsync, "trips/a/"));
    // The node starts to drain halfway through the first file.
    wait_until(|| sent(&server) >= 150_000 - 16_384).await;
    fronts
        .update_node(NodeListKind::Changes, server.address, NodeState::Draining)
        .await;
    let drain_started = Instant::now();
    sleep(Duration::from_millis(1_200)).await;
    server.hold.send_replace(false);
    let pulled = timeout(Duration::from_secs(30), pull)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        pulled.complete_files.keys().collect::<Vec<_>>(),
        ["one.csv"],
        "the file in transfer is complete"
    );
    assert!(pulled.complete_files["one.csv"] == two_files()["a/one.csv"]);
    assert!(
        matches!(&pulled.errors[..], [e] if e.starts_with("@ERROR: two.csv: refused; come back in")),
        "{pulled:?}"
    );
    assert!(
        pulled.complete,
        "the client reaches the regular end of the session"
    );
    let server_requests = server.seen.lock().unwrap().asked.clone();
    assert!(
        server_requests
            .iter()
            .all(|a| a.0 < drain_started + Duration::from_secs(1)),
        "{server_requests:?}"
    );
    assert_eq!(server_requests.len(), 2, "the list and one file");
}

#[tokio::test]
async fn a_successor_serves_the_next_file_of_a_draining_node() {
    let (old, new) = (
        server(two_files(), ServerBehavior::Sound).await,
        server(two_files(), ServerBehavior::Sound).await,
    );
    old.hold.send_replace(true);
    let servers = [("n0", old.address), ("n1", new.address)];
    let fronts = start_with_rsync_servers(old.address, &servers, "priority", 20_000).await;
    let pull = tokio::spawn(RsyncClient::pull(fronts.rsync, "trips/a/"));
    wait_until(|| sent(&old) >= 150_000 - 16_384).await;
    let successor = NodeListing {
        name: "n1".into(),
        ..node_listing(new.address, NodeState::Ready)
    };
    let update = vec![node_listing(old.address, NodeState::Draining), successor];
    fronts
        .engine
        .update_nodes(NodeListKind::Changes, update)
        .await;
    sleep(Duration::from_millis(1_200)).await;
    old.hold.send_replace(false);
    let pulled = timeout(Duration::from_secs(60), pull)
        .await
        .unwrap()
        .unwrap();
    assert!(
        pulled.complete && pulled.errors.is_empty() && pulled.complete_files.len() == 2,
        "{pulled:?}"
    );
    let server_requests = |s: &RsyncServer| {
        s.seen
            .lock()
            .unwrap()
            .asked
            .iter()
            .map(|a| a.1.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (server_requests(&old), server_requests(&new)),
        (
            vec!["a/".into(), "a/one.csv".into()],
            vec!["a/two.csv".to_string()]
        )
    );
}

#[tokio::test]
async fn a_volumes_limit_holds_over_both_fronts_together() {
    let (http, heads) = node(OK).await;
    let files = [("big".to_string(), content(1_300_000, 3))]
        .into_iter()
        .collect();
    let server = server(files, ServerBehavior::Sound).await;
    let fronts = start(http, server.address, "basic", 60_000).await;
    let started = Instant::now();
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
    for task in tasks {
        let answer = task.await.unwrap();
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
        assert!(
            answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
    }
    let pulled = pull.await.unwrap();
    // Units by time: two for each read at its node, and those of the file by its forwarded bytes.
    let mut units: Vec<(Instant, f64)> = heads.lock().unwrap().iter().map(|h| (h.0, 2.0)).collect();
    units.extend(pulled.chunks.iter().map(|s| (s.0, s.1 as f64 / 16_384.0)));
    units.sort_by_key(|u| u.0);
    let (mut tokens, mut last_time) = (32.0_f64, started);
    for (at, units_moved) in &units {
        tokens = (tokens + 16.0 * (*at - last_time).as_secs_f64()).min(32.0) - units_moved;
        last_time = *at;
        // Times are taken at node and client, so a machine that stalls for a second may bunch units that were sent at the
        // right times. tests/rules.rs checks the exact bound; without pacing the file alone falls below this one.
        assert!(
            tokens >= -8.0 - 16.0,
            "the volume's tokens fell to {tokens}"
        );
    }
    assert!(
        served > 0 && served < 60,
        "{served} reads served: the limit rejects some and not all"
    );
    assert_eq!(
        pulled.complete_files.get("big").map(Vec::len),
        Some(1_300_000),
        "{:?}",
        pulled.errors
    );
}

#[tokio::test]
async fn a_rejection_says_at_once_when_to_retry() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    // One unit per five seconds and an empty bucket: the limit admits nothing within the class's latency target.
    let fronts = start_with_rsync_server(&server, "tiny", 60_000).await;
    let started = Instant::now();
    let pulled = RsyncClient::pull(fronts.rsync, "trips/").await;
    assert!(
        matches!(&pulled.errors[..], [e] if e.starts_with("@ERROR: the file list: refused; come back in")),
        "{pulled:?}"
    );
    assert!(
        started.elapsed() < Duration::from_secs(15),
        "rejected long before its deadline"
    );
    assert!(server.seen.lock().unwrap().asked.is_empty());
}

#[tokio::test]
async fn a_server_that_fails_before_the_first_byte_yields_one_error() {
    for kind in [
        ServerBehavior::Silent,
        ServerBehavior::Full,
        ServerBehavior::Oversize,
        ServerBehavior::Garbage,
    ] {
        let server = server(two_files(), kind).await;
        let fronts = start_with_rsync_server(&server, "priority", 700).await;
        let pulled = timeout(
            Duration::from_secs(20),
            RsyncClient::pull(fronts.rsync, "trips/"),
        )
        .await
        .unwrap();
        assert!(
            matches!(&pulled.errors[..], [e] if e.starts_with("@ERROR: the file list: ")),
            "{kind:?}: {pulled:?}"
        );
        assert!(!pulled.complete);
    }
    // The listener of this address is closed.
    let unused_address = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let fronts = start(unused_address, unused_address, "priority", 700).await;
    let pulled = timeout(
        Duration::from_secs(20),
        RsyncClient::pull(fronts.rsync, "trips/"),
    )
    .await
    .unwrap();
    assert!(
        matches!(&pulled.errors[..], [e] if e.starts_with("@ERROR: the file list: ")),
        "{pulled:?}"
    );
}

#[tokio::test]
async fn a_truncated_file_is_reported_and_not_retried() {
    for kind in [ServerBehavior::Breaks, ServerBehavior::WrongSum] {
        let server = server(two_files(), kind).await;
        let fronts = start_with_rsync_server(&server, "priority", 5_000).await;
        let pulled = RsyncClient::pull(fronts.rsync, "trips/a/one.csv").await;
        assert!(
            pulled.complete_files.is_empty() && !pulled.complete,
            "{kind:?}: {pulled:?}"
        );
        let one = "@ERROR: one.csv: broke off; what came is not whole";
        assert_eq!(pulled.errors, [one], "{kind:?}");
        let server_requests = server.seen.lock().unwrap().asked.len();
        assert_eq!(server_requests, 2, "the list and one attempt at the file");
    }
}

#[tokio::test]
async fn a_client_that_stops_reading_is_disconnected_at_the_deadline() {
    let files = [("big".to_string(), content(16 << 20, 3))]
        .into_iter()
        .collect();
    let server = server(files, ServerBehavior::Sound).await;
    let fronts = start_with_rsync_server(&server, "priority", 3_000).await;
    let mut client = RsyncClient::open(fronts.rsync, "trips/big", "-vlogDtpre.iLsfxCIvu")
        .await
        .unwrap();
    client.read_list().await.unwrap();
    client.request_file(0).await;
    let received = client.take(1 << 16).await;
    assert!(received.is_some(), "the transfer starts");
    sleep(Duration::from_millis(4_500)).await;
    assert!(
        sent(&server) < 16 << 20,
        "the front stops reading while its client does not read"
    );
    let mut remaining_bytes = 0;
    while client.take(1).await.is_some() {
        remaining_bytes += 1;
    }
    assert!(
        remaining_bytes < 16 << 20,
        "the connection ended before the file was complete"
    );
}

#[tokio::test]
async fn an_invalid_request_is_answered_with_an_error() {
    let server = server(two_files(), ServerBehavior::Sound).await;
    let fronts = start_with_rsync_server(&server, "priority", 5_000).await;
    let requests = [
        vec![99, 0, 700, 2, 0],
        vec![0, -1, 700, 2, 0],
        vec![0, i32::MAX, 700, 16, 0],
        vec![-7],
    ];
    for ask in requests {
        let mut client = RsyncClient::open(fronts.rsync, "trips/a/", "-vlogDtpre.iLsfxCIvu")
            .await
            .unwrap();
        client.read_list().await.unwrap();
        client
            .write(
                &ask.iter()
                    .flat_map(|number: &i32| number.to_le_bytes())
                    .collect::<Vec<u8>>(),
            )
            .await;
        assert!(client.next_file().await.is_none(), "{ask:?}");
        assert!(
            matches!(&client.received.errors[..], [e] if e.starts_with("@ERROR: ")),
            "{ask:?}: {:?}",
            client.received.errors
        );
    }
    let stream = TcpStream::connect(fronts.rsync).await.unwrap();
    // Far more than the front reads: the reason must still arrive.
    let (mut read_half, mut write_half) = stream.into_split();
    let garbage = tokio::spawn(async move { write_half.write_all(&vec![b'x'; 2 << 20]).await });
    let mut reply = Vec::new();
    let _ = read_half.read_to_end(&mut reply).await;
    garbage.abort();
    assert!(
        String::from_utf8_lossy(&reply).contains("@ERROR: too long: line"),
        "{reply:?}"
    );
}

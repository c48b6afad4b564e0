//! Golden files of sessions: the bytes that the front writes to a client and to a server, from the greeting to the goodbye.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_graceful_shutdown::Phase;
use lupinrack_policy::{NodeListKind, NodeState, Shard, Zone};
use lupinrack_request_engine::{Clock, EngineParts, NodeListing};
use lupinrack_rsync::config::RsyncConfig;
use lupinrack_rsync::daemon::{self, Front};
use lupinrack_rsync::wire::{encode_file_list, encode_stats, FileChecksum, FileEntry};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const SETTINGS: &str =
    "classes.count=1\nclasses.0.name=bulk-read\nclasses.0.aim=1200.0\nclasses.0.deadline=4000.0\n\
    classes.0.repeat=free\ngrades.count=1\ngrades.0.name=priority\nregistryMode=push\n\
    safety.stopSendingWithin=1000.0\nresolution=2.0\npeersTotal=1\npolicyLimits.mostTries=3\n";
/// Checksum seed of the server.
const SERVER_CHECKSUM_SEED: i32 = 77;
const CONTENT: &[u8] = b"some content of a file";

fn file() -> FileEntry {
    FileEntry {
        name: b"one.csv".to_vec(),
        size: CONTENT.len() as u64,
        mtime: 0x1112_1314,
        mode: 0o100_644,
    }
}

fn ints(values: &[i32]) -> Vec<u8> {
    values
        .iter()
        .flat_map(|value| value.to_le_bytes())
        .collect()
}

fn framed(data: &[u8]) -> Vec<u8> {
    [&(7 << 24 | data.len() as u32).to_le_bytes()[..], data].concat()
}

/// The complete output of the server in a session for this path.
fn server_output(path: &str) -> Vec<u8> {
    let mut data = [&encode_file_list(&[file()])[..], &ints(&[0])].concat();
    if path.ends_with("one.csv") {
        let mut checksum = FileChecksum::new(SERVER_CHECKSUM_SEED);
        checksum.update(CONTENT);
        data.extend(ints(&[0, 0, 700, 2, 0, CONTENT.len() as i32]));
        data.extend(CONTENT);
        data.extend(ints(&[0]));
        data.extend(checksum.finalize());
    }
    data.extend(ints(&[-1, -1]));
    data.extend(&encode_stats(1, 2, 3)[..]);
    let greeting = b"@RSYNCD: 27.0\nwelcome\n@RSYNCD: OK\n";
    [
        &greeting[..],
        &ints(&[SERVER_CHECKSUM_SEED]),
        &framed(&data),
    ]
    .concat()
}

/// Starts a server that sends the complete input of each session to the channel.
async fn start_server(sessions: mpsc::UnboundedSender<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sessions = sessions.clone();
            tokio::spawn(async move {
                let mut input = Vec::new();
                stream
                    .write_all(b"@RSYNCD: 27.0\nwelcome\n@RSYNCD: OK\n")
                    .await
                    .unwrap();
                while !input.ends_with(b"\n\n") {
                    input.push(stream.read_u8().await.unwrap());
                }
                let text = String::from_utf8(input.clone()).unwrap();
                let path = text.trim_end().lines().last().unwrap();
                let greeting = b"@RSYNCD: 27.0\nwelcome\n@RSYNCD: OK\n".len();
                stream
                    .write_all(&server_output(path)[greeting..])
                    .await
                    .unwrap();
                stream.read_to_end(&mut input).await.unwrap();
                sessions.send(input).unwrap();
            });
        }
    });
    address
}

/// Starts a front with two modules and one server.
async fn start_front(server: SocketAddr) -> SocketAddr {
    let settings = lupinrack_front_settings::parse(SETTINGS).unwrap();
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks,
    } = EngineParts::new(settings.policy.clone(), 7, clock);
    let section = format!(
        "enabled = true\nlisten = '127.0.0.1:0'\n[[module]]\nname = 'trips'\ncomment = 'Trip exports'\n\
         remote = 'exports'\nplan = 'priority'\nvolume = 'a1'\nclass = 'bulk-read'\nshard = 5\n\
         bytes_per_unit = 16384\ndeadline_ms = 4000\n[[module]]\nname = 'logs'\nplan = 'priority'\n\
         volume = 'a2'\nclass = 'bulk-read'\nshard = 5\nbytes_per_unit = 16384\ndeadline_ms = 4000\n\
         [[server]]\nnode = 'n0'\naddress = '{server}'\n"
    );
    let config = RsyncConfig::parse(&section, &settings).unwrap().unwrap();
    let node = NodeListing {
        name: "n0".into(),
        address: server,
        state: NodeState::Ready,
        zone: Zone(0),
        shard: Shard(5),
        started: None,
        weight: 1.0,
    };
    tokio::spawn(engine.run());
    handle.update_nodes(NodeListKind::Full, vec![node]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phase_receiver) = watch::channel(Phase::Ready);
    let front = Front {
        engine: handle,
        config: Arc::new(config),
        connect_timeout: Duration::from_millis(500),
        phase: phase_receiver,
    };
    tokio::spawn(async move {
        let _kept_open = (phase, health_checks);
        daemon::run(listener, front).await;
    });
    address
}

async fn read_line(stream: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        line.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(line).unwrap()
}

/// Reads the next frame, including its header.
async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let header = stream.read_u32_le().await.unwrap();
    let mut frame = header.to_le_bytes().to_vec();
    frame.resize(4 + (header & 0xff_ffff) as usize, 0);
    stream.read_exact(&mut frame[4..]).await.unwrap();
    frame
}

/// A client that pulls the one file of the module. It sends the final goodbye after it has received the statistics, since
/// these count the bytes that the front has read until then.
async fn pull(front: SocketAddr, examples: &mut GoldenFile) {
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream
        .write_all(
            b"@RSYNCD: 31.0 md5\ntrips\n--server\n--sender\n-vlogDtprWe.LsfxC\n.\ntrips/\n\n",
        )
        .await
        .unwrap();
    examples.add(
        "client, greeting",
        format!("{:?}", read_line(&mut stream).await),
    );
    examples.add(
        "client, module",
        format!("{:?}", read_line(&mut stream).await),
    );
    let checksum_seed = stream.read_i32_le().await.unwrap();
    // No filter rules; the first file with an empty header of block sums; the ends of both phases.
    stream
        .write_all(&ints(&[0, 0, 0, 700, 2, 0, -1, -1]))
        .await
        .unwrap();
    let mut checksum = FileChecksum::new(checksum_seed);
    checksum.update(CONTENT);
    let checksum = framed(&checksum.finalize());
    let (mut number, mut phases, mut checksums) = (0, 0, 0);
    while phases < 3 {
        let frame = read_frame(&mut stream).await;
        phases += u32::from(phases == 2 || frame[4..] == ints(&[-1]));
        // The checksum depends on a random seed, so it is checked here and zeroed in the golden file.
        let shown = if frame == checksum {
            framed(&[0; 16])
        } else {
            frame.clone()
        };
        checksums += u32::from(frame == checksum);
        examples.add_bytes(format!("client, frame {number:02}"), &shown);
        number += 1;
    }
    assert_eq!(checksums, 1, "the checksum of the file was sent");
    stream.write_all(&ints(&[-1])).await.unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(
        rest.is_empty(),
        "output after the goodbye of the client: {rest:?}"
    );
}

#[tokio::test]
async fn a_pull_matches_the_golden_file_towards_client_and_server() {
    let (sender, mut sessions) = mpsc::unbounded_channel();
    let server = start_server(sender).await;
    let front = start_front(server).await;
    let mut examples = GoldenFile::open(path!("pull.txt"));
    pull(front, &mut examples).await;
    let (list_session, file_session) = (
        sessions.recv().await.unwrap(),
        sessions.recv().await.unwrap(),
    );
    for (name, input) in [
        ("server, for the list", list_session),
        ("server, for the file", file_session),
    ] {
        let text_bytes = input.windows(2).position(|pair| pair == b"\n\n").unwrap() + 2;
        examples.add(
            format!("{name}, lines"),
            format!("{:?}", std::str::from_utf8(&input[..text_bytes]).unwrap()),
        );
        examples.add_bytes(format!("{name}, the rest"), &input[text_bytes..]);
    }
    examples.check();
}

#[tokio::test]
async fn refusals_match_the_golden_file() {
    let (sender, _sessions) = mpsc::unbounded_channel();
    let front = start_front(start_server(sender).await).await;
    let mut examples = GoldenFile::open(path!("refusals.txt"));
    for (name, request) in [
        ("list", "@RSYNCD: 27\n#list\n"),
        ("list_by_an_empty_line", "@RSYNCD: 27\n\n"),
        ("unknown_module", "@RSYNCD: 27\nmaps\n"),
        ("old_version", "@RSYNCD: 26\ntrips\n"),
        ("no_greeting", "GET / HTTP/1.1\n"),
    ] {
        let mut stream = TcpStream::connect(front).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        examples.add(name, format!("{answer:?}"));
    }
    for (name, arguments) in [
        ("option", "--server\n--sender\n-rz\n.\ntrips/\n\n"),
        ("long_option", "--server\n--sender\n--delete\n.\ntrips/\n\n"),
        ("argument", "--server\n--sender\nx\n.\ntrips/\n\n"),
        ("push", "--server\n-r\n.\ntrips/\n\n"),
        (
            "several_paths",
            "--server\n--sender\n-r\n.\ntrips/a\ntrips/b\n\n",
        ),
        ("another_module", "--server\n--sender\n-r\n.\nlogs/\n\n"),
        (
            "path_outside",
            "--server\n--sender\n-r\n.\ntrips/../etc\n\n",
        ),
    ] {
        let mut stream = TcpStream::connect(front).await.unwrap();
        stream
            .write_all(format!("@RSYNCD: 27\ntrips\n{arguments}").as_bytes())
            .await
            .unwrap();
        let (_greeting, _ok) = (read_line(&mut stream).await, read_line(&mut stream).await);
        let _seed = stream.read_i32_le().await.unwrap();
        examples.add_bytes(format!("arguments, {name}"), &read_frame(&mut stream).await);
    }
    examples.check();
}

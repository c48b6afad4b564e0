//! Golden files of whole sessions: what the front says to a client and to a server, from the greeting to the last word.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_graceful_shutdown::Phase;
use lupinrack_policy::{NodeListKind, NodeState, Shard, Zone};
use lupinrack_request_engine::{Clock, EngineParts, NodeListing};
use lupinrack_rsync::config::RsyncConfig;
use lupinrack_rsync::daemon::{self, Front};
use lupinrack_rsync::wire::{list, stats, Entry, Sum};
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
/// The seed of the server's sums.
const SERVER_SEED: i32 = 77;
const CONTENT: &[u8] = b"some content of a file";

fn file() -> Entry {
    Entry {
        name: b"one.csv".to_vec(),
        size: CONTENT.len() as u64,
        mtime: 0x1112_1314,
        mode: 0o100_644,
    }
}

fn ints(ints: &[i32]) -> Vec<u8> {
    ints.iter().flat_map(|n| n.to_le_bytes()).collect()
}

fn framed(data: &[u8]) -> Vec<u8> {
    [&(7 << 24 | data.len() as u32).to_le_bytes()[..], data].concat()
}

/// All that the server says to a call for this path, which it writes at once.
fn served(path: &str) -> Vec<u8> {
    let mut data = [&list(&[file()])[..], &ints(&[0])].concat();
    if path.ends_with("one.csv") {
        let mut sum = Sum::new(SERVER_SEED);
        sum.add(CONTENT);
        data.extend(ints(&[0, 0, 700, 2, 0, CONTENT.len() as i32]));
        data.extend(CONTENT);
        data.extend(ints(&[0]));
        data.extend(sum.end());
    }
    data.extend(ints(&[-1, -1]));
    data.extend(&stats(1, 2, 3)[..]);
    let greeting = b"@RSYNCD: 27.0\nwelcome\n@RSYNCD: OK\n";
    [&greeting[..], &ints(&[SERVER_SEED]), &framed(&data)].concat()
}

/// A server that tells all that each call said to it.
async fn server(heard: mpsc::UnboundedSender<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let heard = heard.clone();
            tokio::spawn(async move {
                let mut said = Vec::new();
                stream
                    .write_all(b"@RSYNCD: 27.0\nwelcome\n@RSYNCD: OK\n")
                    .await
                    .unwrap();
                while !said.ends_with(b"\n\n") {
                    said.push(stream.read_u8().await.unwrap());
                }
                let text = String::from_utf8(said.clone()).unwrap();
                let path = text.trim_end().lines().last().unwrap();
                let greeting = b"@RSYNCD: 27.0\nwelcome\n@RSYNCD: OK\n".len();
                stream.write_all(&served(path)[greeting..]).await.unwrap();
                stream.read_to_end(&mut said).await.unwrap();
                heard.send(said).unwrap();
            });
        }
    });
    address
}

/// The front, with one module whose data is at one server.
async fn front(server: SocketAddr) -> SocketAddr {
    let told = lupinrack_front_settings::parse(SETTINGS).unwrap();
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: probes,
    } = EngineParts::new(told.policy.clone(), 7, clock);
    let section = format!(
        "enabled = true\nlisten = '127.0.0.1:0'\n[[module]]\nname = 'trips'\ncomment = 'Trip exports'\n\
         remote = 'exports'\nplan = 'priority'\nvolume = 'a1'\nclass = 'bulk-read'\nshard = 5\n\
         bytes_per_unit = 16384\ndeadline_ms = 4000\n[[module]]\nname = 'logs'\nplan = 'priority'\n\
         volume = 'a2'\nclass = 'bulk-read'\nshard = 5\nbytes_per_unit = 16384\ndeadline_ms = 4000\n\
         [[server]]\nnode = 'n0'\naddress = '{server}'\n"
    );
    let config = RsyncConfig::parse(&section, &told).unwrap().unwrap();
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
    let (phase, seen) = watch::channel(Phase::Ready);
    let front = Front {
        core: handle,
        config: Arc::new(config),
        connect: Duration::from_millis(500),
        phase: seen,
    };
    tokio::spawn(async move {
        let _kept = (phase, probes);
        daemon::run(listener, front).await;
    });
    address
}

async fn line(from: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        line.push(from.read_u8().await.unwrap());
    }
    String::from_utf8(line).unwrap()
}

/// The next frame, its head included.
async fn frame(from: &mut TcpStream) -> Vec<u8> {
    let head = from.read_u32_le().await.unwrap();
    let mut frame = head.to_le_bytes().to_vec();
    frame.resize(4 + (head & 0xff_ffff) as usize, 0);
    from.read_exact(&mut frame[4..]).await.unwrap();
    frame
}

/// A client that pulls the module's one file. It says its last word only once the closing figures have come, since they count what
/// was read until then.
async fn pull(front: SocketAddr, examples: &mut GoldenFile) {
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream
        .write_all(
            b"@RSYNCD: 31.0 md5\ntrips\n--server\n--sender\n-vlogDtprWe.LsfxC\n.\ntrips/\n\n",
        )
        .await
        .unwrap();
    examples.add("client, greeting", format!("{:?}", line(&mut stream).await));
    examples.add("client, module", format!("{:?}", line(&mut stream).await));
    let seed = stream.read_i32_le().await.unwrap();
    // No exclusions; the first file, without blocks of an older copy; the ends of both phases.
    stream
        .write_all(&ints(&[0, 0, 0, 700, 2, 0, -1, -1]))
        .await
        .unwrap();
    let mut sum = Sum::new(seed);
    sum.add(CONTENT);
    let sum = framed(&sum.end());
    let (mut number, mut phases, mut sums) = (0, 0, 0);
    while phases < 3 {
        let frame = frame(&mut stream).await;
        phases += u32::from(phases == 2 || frame[4..] == ints(&[-1]));
        // The sum follows from a seed by chance: it is compared here and left out there.
        let shown = if frame == sum {
            framed(&[0; 16])
        } else {
            frame.clone()
        };
        sums += u32::from(frame == sum);
        examples.add_bytes(format!("client, frame {number:02}"), &shown);
        number += 1;
    }
    assert_eq!(sums, 1, "the file's sum came");
    stream.write_all(&ints(&[-1])).await.unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(
        rest.is_empty(),
        "nothing follows the client's last word: {rest:?}"
    );
}

#[tokio::test]
async fn a_pull_keeps_its_form_towards_client_and_server() {
    let (tell, mut heard) = mpsc::unbounded_channel();
    let server = server(tell).await;
    let front = front(server).await;
    let mut examples = GoldenFile::open(path!("pull.txt"));
    pull(front, &mut examples).await;
    let (of_list, of_file) = (heard.recv().await.unwrap(), heard.recv().await.unwrap());
    for (name, said) in [
        ("server, for the list", of_list),
        ("server, for the file", of_file),
    ] {
        let text = said.windows(2).position(|w| w == b"\n\n").unwrap() + 2;
        examples.add(
            format!("{name}, lines"),
            format!("{:?}", std::str::from_utf8(&said[..text]).unwrap()),
        );
        examples.add_bytes(format!("{name}, the rest"), &said[text..]);
    }
    examples.check();
}

#[tokio::test]
async fn what_is_not_a_pull_is_answered_in_the_same_words() {
    let (tell, _heard) = mpsc::unbounded_channel();
    let front = front(server(tell).await).await;
    let mut examples = GoldenFile::open(path!("refusals.txt"));
    for (name, said) in [
        ("list", "@RSYNCD: 27\n#list\n"),
        ("list_by_an_empty_line", "@RSYNCD: 27\n\n"),
        ("unknown_module", "@RSYNCD: 27\nmaps\n"),
        ("old_version", "@RSYNCD: 26\ntrips\n"),
        ("no_greeting", "GET / HTTP/1.1\n"),
    ] {
        let mut stream = TcpStream::connect(front).await.unwrap();
        stream.write_all(said.as_bytes()).await.unwrap();
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
        let (_greeting, _ok) = (line(&mut stream).await, line(&mut stream).await);
        let _seed = stream.read_i32_le().await.unwrap();
        examples.add_bytes(format!("arguments, {name}"), &frame(&mut stream).await);
    }
    examples.check();
}

//! The program where something is scarce: descriptors, or a discovery that answers.

mod common;

use common::front::{ask, get, node, SETTINGS};
use common::rsync::wait_until;
use mock_servers::scripted::discovery;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::timeout;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";

struct Program {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    config: PathBuf,
    listen: SocketAddr,
    door: SocketAddr,
}

fn configuration(discovery: SocketAddr, sockets: usize, known: Option<SocketAddr>) -> String {
    let known = known.map_or(String::new(), entry);
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
            "known":{{"generation":41,"reset":true,"instances":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

fn entry(at: SocketAddr) -> String {
    format!(
        r#"{{"instanceId":"s-1","hostPort":"{at}","zone":"salt-lake","machineType":"m2","cell":0,
            "lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#
    )
}

impl Program {
    /// The program as it runs, with no more descriptors than it is told of.
    async fn start(name: &str, text: String, sockets: usize) -> Program {
        let config =
            std::env::temp_dir().join(format!("lupinrack-{name}-{}.json", std::process::id()));
        std::fs::write(&config, text).unwrap();
        let mut child = Command::new("/bin/sh")
            .args([
                "-c",
                &format!(
                    "ulimit -n {sockets}; exec {}",
                    env!("CARGO_BIN_EXE_lupinrack")
                ),
            ])
            .env("LB_CONFIG", &config)
            .env("LB_MANAGEMENT", "127.0.0.1:0")
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut said = async |word: &str| loop {
            let line = log
                .next_line()
                .await
                .unwrap()
                .expect("it says where it listens");
            if let Some((_, at)) = line.split_once(word) {
                return at.parse().unwrap();
            }
        };
        let (door, listen) = (said("management on ").await, said("n1 listens on ").await);
        Program {
            child,
            log,
            config,
            listen,
            door,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Processor time used, in ticks of 10 ms.
    fn ticks(&self) -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id().unwrap())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    async fn ends(mut self) {
        self.signal("-TERM");
        let ended = timeout(Duration::from_secs(30), self.child.wait())
            .await
            .unwrap()
            .unwrap();
        assert!(ended.success(), "{ended}");
        std::fs::remove_file(&self.config).unwrap();
    }
}

/// Four times as many idle clients as there are descriptors, and as many callers at the door as it takes, while discovery is down: what it tells at its return arrives, nodes are
/// reached, those who ask are served, SIGHUP and the end work.
#[tokio::test]
async fn a_crowd_of_idle_clients_leaves_descriptors_for_all_else() {
    const SOCKETS: usize = 88;
    let (node, _) = node(OK).await;
    // Down: what connects is never answered.
    let down = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let text = configuration(down.local_addr().unwrap(), SOCKETS, None);
    let mut program = Program::start("crowd", text, SOCKETS).await;
    let mut crowd = Vec::new();
    for _ in 0..SOCKETS * 4 {
        crowd.push(TcpStream::connect(program.listen).await.unwrap());
    }
    assert!(ask(program.listen, READY).await.starts_with("HTTP/1.1 200"));
    // Waiting for room is no work.
    let before = program.ticks();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        program.ticks() - before < 50,
        "it spins: {} ticks",
        program.ticks() - before
    );
    // Discovery elsewhere, told by a new file: the list comes, and a node is reached through the crowd.
    let (at, calls, tell) = discovery().await;
    std::fs::write(&program.config, configuration(at, SOCKETS, None)).unwrap();
    program.signal("-HUP");
    while !program
        .log
        .next_line()
        .await
        .unwrap()
        .expect("it goes on")
        .contains("read again")
    {}
    wait_until(|| !calls.lock().unwrap().is_empty()).await;
    tell.send(format!(
        r#"{{"generation":43,"reset":false,"instances":[{}]}}"#,
        entry(node)
    ))
    .unwrap();
    wait_until(|| calls.lock().unwrap().len() > 1).await;
    for id in 0..8 {
        let mut more = Vec::new();
        for _ in 0..lupinrack_admin::CALLERS_MOST {
            more.push(TcpStream::connect(program.door).await.unwrap());
        }
        for _ in 0..SOCKETS / 4 {
            more.push(TcpStream::connect(program.listen).await.unwrap());
        }
        let said = timeout(
            Duration::from_secs(20),
            ask(program.listen, &get(id, "priority", 1, 4_000)),
        )
        .await;
        assert!(said.expect("an answer").starts_with("HTTP/1.1 200"));
        crowd.extend(more);
    }
    program.ends().await;
}

/// A process is ready at once, whatever discovery does: the list that it was given last serves until then.
#[tokio::test]
async fn a_process_is_ready_while_discovery_is_silent_slow_or_refuses() {
    let (node, _) = node(OK).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let refuses = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    // Slow: it takes the call and says its answer a byte at a time, for longer than the test.
    let slow = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let slow_at = slow.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = slow.accept().await {
            tokio::spawn(async move {
                use tokio::io::AsyncWriteExt;
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{}",
                    " ".repeat(9999)
                );
                for byte in text.bytes() {
                    if stream.write_u8(byte).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
    });
    for (name, at) in [
        ("silent", silent.local_addr().unwrap()),
        ("refuses", refuses),
        ("slow", slow_at),
    ] {
        let whole = async {
            let program = Program::start(name, configuration(at, 1024, Some(node)), 1024).await;
            assert!(
                ask(program.listen, READY).await.starts_with("HTTP/1.1 200"),
                "{name}"
            );
            let said = ask(program.listen, &get(1, "priority", 1, 4_000)).await;
            assert!(said.starts_with("HTTP/1.1 200"), "{name}: {said}");
            program
        };
        timeout(Duration::from_secs(10), whole)
            .await
            .expect(name)
            .ends()
            .await;
    }
}

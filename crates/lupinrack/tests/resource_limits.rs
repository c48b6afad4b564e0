//! The program with few descriptors, or with a discovery service that does not answer.

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
    admin: SocketAddr,
}

fn configuration(discovery: SocketAddr, sockets: usize, known: Option<SocketAddr>) -> String {
    let known = known.map_or(String::new(), entry);
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
            "known":{{"generation":41,"reset":true,"instances":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

fn entry(address: SocketAddr) -> String {
    format!(
        r#"{{"instanceId":"s-1","hostPort":"{address}","zone":"salt-lake","machineType":"m2","cell":0,
            "lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#
    )
}

impl Program {
    /// Starts the program with a limit of `sockets` descriptors.
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
        let mut address_after = async |prefix: &str| loop {
            let line = log
                .next_line()
                .await
                .unwrap()
                .expect("it logs its addresses");
            if let Some((_, address)) = line.split_once(prefix) {
                return address.parse().unwrap();
            }
        };
        let (admin, listen) = (
            address_after("management on ").await,
            address_after("n1 listens on ").await,
        );
        Program {
            child,
            log,
            config,
            listen,
            admin,
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

    /// The processor time used so far, in ticks of 10 ms.
    fn ticks(&self) -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id().unwrap())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    async fn shut_down(mut self) {
        self.signal("-TERM");
        let status = timeout(Duration::from_secs(30), self.child.wait())
            .await
            .unwrap()
            .unwrap();
        assert!(status.success(), "{status}");
        std::fs::remove_file(&self.config).unwrap();
    }
}

/// Idle clients, four times as many as descriptors, and all connections of the admin interface are open while discovery is down.
/// Once discovery is back its list arrives, nodes are reached, requests are served, and SIGHUP and the shutdown work.
#[tokio::test]
async fn idle_clients_leave_descriptors_for_everything_else() {
    const SOCKETS: usize = 88;
    let (node, _) = node(OK).await;
    // Down: connections to it are never answered.
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let text = configuration(unresponsive.local_addr().unwrap(), SOCKETS, None);
    let mut program = Program::start("crowd", text, SOCKETS).await;
    let mut idle_clients = Vec::new();
    for _ in 0..SOCKETS * 4 {
        idle_clients.push(TcpStream::connect(program.listen).await.unwrap());
    }
    assert!(ask(program.listen, READY).await.starts_with("HTTP/1.1 200"));
    // Waiting for a free descriptor uses no processor time.
    let ticks_before = program.ticks();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        program.ticks() - ticks_before < 50,
        "it busy-waits: {} ticks",
        program.ticks() - ticks_before
    );
    // A reload with another discovery address: the list arrives, and a node is reached in spite of the idle clients.
    let (address, calls, responses) = discovery().await;
    std::fs::write(&program.config, configuration(address, SOCKETS, None)).unwrap();
    program.signal("-HUP");
    while !program
        .log
        .next_line()
        .await
        .unwrap()
        .expect("it keeps running")
        .contains("read again")
    {}
    wait_until(|| !calls.lock().unwrap().is_empty()).await;
    responses
        .send(format!(
            r#"{{"generation":43,"reset":false,"instances":[{}]}}"#,
            entry(node)
        ))
        .unwrap();
    wait_until(|| calls.lock().unwrap().len() > 1).await;
    for id in 0..8 {
        let mut more_connections = Vec::new();
        for _ in 0..lupinrack_admin::MAX_CONNECTIONS {
            more_connections.push(TcpStream::connect(program.admin).await.unwrap());
        }
        for _ in 0..SOCKETS / 4 {
            more_connections.push(TcpStream::connect(program.listen).await.unwrap());
        }
        let response = timeout(
            Duration::from_secs(20),
            ask(program.listen, &get(id, "priority", 1, 4_000)),
        )
        .await;
        assert!(response.expect("an answer").starts_with("HTTP/1.1 200"));
        idle_clients.extend(more_connections);
    }
    program.shut_down().await;
}

/// A process is ready at once in any state of discovery: it serves with the list from its configuration until a new one arrives.
#[tokio::test]
async fn a_process_is_ready_while_discovery_is_silent_slow_or_refusing() {
    let (node, _) = node(OK).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let refusing = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    // Slow: it accepts the call and sends one byte of its response at a time, for longer than the test.
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
    for (name, address) in [
        ("silent", silent.local_addr().unwrap()),
        ("refuses", refusing),
        ("slow", slow_at),
    ] {
        let serving = async {
            let program =
                Program::start(name, configuration(address, 1024, Some(node)), 1024).await;
            assert!(
                ask(program.listen, READY).await.starts_with("HTTP/1.1 200"),
                "{name}"
            );
            let response = ask(program.listen, &get(1, "priority", 1, 4_000)).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{name}: {response}");
            program
        };
        timeout(Duration::from_secs(10), serving)
            .await
            .expect(name)
            .shut_down()
            .await;
    }
}

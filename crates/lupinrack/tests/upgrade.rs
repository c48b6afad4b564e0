//! Hot restart under load: a second process of the program on the same inherited listening socket.

mod common;

use common::front::SETTINGS;
use mock_servers::http1::Reader;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lupinrack");

/// A temporary folder, which is removed when it is dropped.
struct Folder(std::path::PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("lupinrack-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn configuration(listen: SocketAddr, node: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"127.0.0.1:9","seed":"8c","management":"127.0.0.1:0",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
            "known":{{"generation":41,"reset":true,"instances":[{{"instanceId":"s-1","hostPort":"{node}",
            "zone":"salt-lake","cell":0,"lifecycle":"SERVING"}}]}},"settings":{SETTINGS}}}"#
    )
}

/// Starts the program with the socket as descriptor 7.
fn start_program(folder: &Folder, socket: &TcpListener, variable: &str) -> Child {
    let socket: OwnedFd = socket.try_clone().unwrap().into();
    Command::new("/bin/sh")
        .args(["-c", "exec \"$0\" 7<&0 </dev/null", PROGRAM])
        .stdin(Stdio::from(socket))
        .env("LB_CONFIG", folder.0.join("config.json"))
        .env("LB_INHERITED_FD", variable)
        .env("TMPDIR", &folder.0)
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

/// Reads the log up to the address of the admin interface, and returns both.
async fn read_admin_address(
    program: &mut Child,
    only_process: bool,
) -> (SocketAddr, Lines<BufReader<ChildStderr>>) {
    let mut log = BufReader::new(program.stderr.take().unwrap()).lines();
    let mut address = None;
    loop {
        let line = log.next_line().await.unwrap().expect("it logs its address");
        address = line
            .split_once("management on ")
            .map(|(_, value)| value.parse().unwrap())
            .or(address);
        assert!(
            only_process || !line.contains("uses 1.00 of"),
            "two processes use the whole limits: {line}"
        );
        if line.contains("inherited") {
            return (address.expect("the admin interface starts first"), log);
        }
    }
}

async fn call(admin: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(admin).await.unwrap();
    stream
        .write_all(format!("{line}\n").as_bytes())
        .await
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// A client that sends one request after another, and opens a new connection when the front closes one.
async fn client(address: SocketAddr, number: u32, stop: Arc<AtomicBool>, served: Arc<AtomicU32>) {
    let (mut stream, mut requests_sent) = (None, 0);
    while !stop.load(Relaxed) {
        requests_sent += 1;
        let mut open: TcpStream = match stream.take() {
            Some(open) => open,
            None => TcpStream::connect(address)
                .await
                .expect("no connection is refused"),
        };
        let head = format!(
            "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Request-Id: c{number}-{requests_sent}\r\nX-Plan: priority\r\n\
             X-Deadline: 2000m\r\nX-IO: volume=00000000000000b{number},units=1,shard=0,hosts=1\r\n\r\n"
        );
        open.write_all(head.as_bytes())
            .await
            .expect("no connection closes under a request");
        let answer = Reader::default()
            .next(&mut open)
            .await
            .expect("an answer")
            .expect("a complete answer");
        assert!([200, 503].contains(&answer.status()), "{}", answer.status());
        served.fetch_add(u32::from(answer.status() == 200), Relaxed);
        if answer.field("connection") != Some("close") {
            stream = Some(open);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn signal(program: &Child, name: &str) {
    let id = program.id().unwrap().to_string();
    assert!(std::process::Command::new("kill")
        .args([name, &id])
        .status()
        .unwrap()
        .success());
}

#[tokio::test]
async fn an_upgrade_under_load_answers_every_request_and_the_old_process_exits() {
    let folder = Folder::new("upgrade");
    let (node, _) = common::front::node("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello").await;
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    std::fs::write(folder.0.join("config.json"), configuration(address, node)).unwrap();
    let mut old = start_program(&folder, &socket, "7");
    let (old_admin, _log) = read_admin_address(&mut old, true).await;
    assert_eq!(call(old_admin, "status").await, "200 ready\n");
    let admin_command = |address: SocketAddr, call: &'static str| {
        Command::new(PROGRAM)
            .args(["ask", &address.to_string(), call])
            .kill_on_drop(true)
            .output()
    };
    let answer = admin_command(old_admin, "stats").await.unwrap();
    assert!(
        answer.status.success() && answer.stdout.ends_with(b"\nEOF\n"),
        "{answer:?}"
    );
    assert_eq!(
        admin_command("127.0.0.1:9".parse().unwrap(), "status")
            .await
            .unwrap()
            .status
            .code(),
        Some(1)
    );
    assert_eq!(
        admin_command(old_admin, "reboot")
            .await
            .unwrap()
            .status
            .code(),
        Some(2)
    );

    let (stop, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
    );
    let clients: Vec<_> = (0..8)
        .map(|n| tokio::spawn(client(address, n, stop.clone(), served.clone())))
        .collect();
    let wait_until_served = |more: u32| {
        let (served, from) = (served.clone(), served.load(Relaxed));
        async move {
            while served.load(Relaxed) < from + more {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    };
    wait_until_served(50).await;
    let mut new = start_program(&folder, &socket, "7");
    let (new_admin, mut new_log) = read_admin_address(&mut new, false).await;
    assert_eq!(call(new_admin, "status").await, "200 ready\n");
    wait_until_served(50).await;
    signal(&old, "-TERM");
    let status = tokio::time::timeout(Duration::from_secs(20), old.wait())
        .await
        .expect("the old process exits")
        .unwrap();
    assert!(status.success(), "{status}");
    // The remaining process uses all of the front's limits once the other has exited, and not before.
    let whole_share = async {
        while !new_log
            .next_line()
            .await
            .unwrap()
            .expect("the new process keeps running")
            .contains("uses 1.00 of")
        {}
    };
    tokio::time::timeout(Duration::from_secs(20), whole_share)
        .await
        .expect("the new process notices the exit");
    wait_until_served(50).await;
    stop.store(true, Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    let metrics = call(new_admin, "stats").await;
    let success = metrics
        .lines()
        .find(|l| l.starts_with("lb_success{type=\"read\"}"))
        .expect("a row of the class");
    assert!(
        success.rsplit(' ').next().unwrap().parse::<u32>().unwrap() >= 50,
        "{metrics}"
    );
    assert!(metrics.starts_with("200") && metrics.ends_with("\nEOF\n"));
    assert!(
        metrics.contains("\nlb_concurrent 0\n") && metrics.contains("\nlb_targets 1\n"),
        "{metrics}"
    );
    signal(&new, "-TERM");
    assert!(tokio::time::timeout(Duration::from_secs(20), new.wait())
        .await
        .unwrap()
        .unwrap()
        .success());
}

#[tokio::test]
async fn an_unusable_inherited_descriptor_stops_the_start_with_the_reason() {
    let folder = Folder::new("inherit");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    for (listen, variable, reason) in [
        (
            address,
            "seven",
            "'seven' is not the number of a descriptor",
        ),
        (address, "1", "'1' is not the number"),
        (address, "93", "LB_INHERITED_FD"),
        ("127.0.0.1:9".parse().unwrap(), "7", "not on 127.0.0.1:9"),
    ] {
        std::fs::write(folder.0.join("config.json"), configuration(listen, address)).unwrap();
        let mut program = start_program(&folder, &socket, variable);
        let mut log = String::new();
        program
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut log)
            .await
            .unwrap();
        assert!(log.contains(reason), "{variable}: {log}");
        assert_eq!(program.wait().await.unwrap().code(), Some(2));
    }
}

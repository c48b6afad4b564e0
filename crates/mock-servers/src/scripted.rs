//! Stand-ins that follow a script of bytes: a node that gives one answer to all, a discovery that says what it is told
//! to, and a client that sends what it is given.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A read of the `units` given, as a client sends it.
pub fn get(id: u32, plan: &str, units: u32, deadline_ms: u64) -> String {
    format!(
        "GET /read/7f3a9c21e0b4d655?a=%20b HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id:016x}\r\n\
         X-Plan: {plan}\r\nX-Deadline: {deadline_ms}m\r\n\
         X-IO: volume=00000000000000a1,units={units},shard=0,hosts=1\r\n\r\n"
    )
}

/// Sends a request on a connection of its own and reads the answer to its end.
pub async fn ask(front: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let request = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// The requests that a stand-in node took, and when.
pub type Heads = Arc<Mutex<Vec<(tokio::time::Instant, String)>>>;

/// A stand-in node: answers each request with these bytes, then closes the connection where they say `close`.
/// Without bytes it never answers.
pub async fn node(answer: &'static str) -> (SocketAddr, Heads) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, heads) = (listener.local_addr().unwrap(), Heads::default());
    let seen = heads.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let mut text = Vec::new();
                while let Ok(b) = stream.read_u8().await {
                    text.push(b);
                    if !text.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let mut head = String::from_utf8_lossy(&std::mem::take(&mut text)).into_owned();
                    let length = head
                        .to_lowercase()
                        .split("content-length: ")
                        .nth(1)
                        .map_or(0, |l| l.split("\r\n").next().unwrap().parse().unwrap());
                    let mut body = vec![0; length];
                    stream.read_exact(&mut body).await.unwrap();
                    head += &String::from_utf8_lossy(&body);
                    seen.lock()
                        .unwrap()
                        .push((tokio::time::Instant::now(), head));
                    if answer.is_empty() {
                        return std::future::pending().await;
                    }
                    if stream.write_all(answer.as_bytes()).await.is_err()
                        || answer.contains("close")
                    {
                        return;
                    }
                }
            });
        }
    });
    (address, heads)
}

/// The targets of the calls that a stand-in took.
pub type Calls = Arc<Mutex<Vec<String>>>;

/// A stand-in discovery: tells of each call's target, and answers with what it is given next.
pub async fn discovery() -> (SocketAddr, Calls, mpsc::UnboundedSender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, calls) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let (tell, mut answers) = mpsc::unbounded_channel::<String>();
    let seen = calls.clone();
    tokio::spawn(async move {
        let mut silent = Vec::new();
        'connections: while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while let Ok(b) = stream.read_u8().await {
                head.push(b);
                if !head.ends_with(b"\r\n\r\n") {
                    continue;
                }
                let line = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
                seen.lock()
                    .unwrap()
                    .push(line.split(' ').nth(1).unwrap().to_string());
                let Some(answer) = answers.recv().await else {
                    return;
                };
                let answer = match answer.as_str() {
                    "break" => break,
                    "silence" => {
                        silent.push(stream);
                        continue 'connections;
                    }
                    body => format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    ),
                };
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    (address, calls, tell)
}

/// A stand-in node whose connections are in the test's hands: what they say, in which order, and how they end.
pub async fn node_in_hand() -> (SocketAddr, mpsc::UnboundedReceiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (give, taken)) = (listener.local_addr().unwrap(), mpsc::unbounded_channel());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            if give.send(stream).is_err() {
                return;
            }
        }
    });
    (address, taken)
}

/// Reads one head, byte for byte, and nothing behind it.
pub async fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a whole head"));
    }
    String::from_utf8(head).unwrap()
}

/// Closes a connection by a reset.
pub fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
}

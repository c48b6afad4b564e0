//! Mock servers that send scripted bytes: a node with one answer to every request, a discovery service whose answers the
//! test supplies, and a client that sends the given request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A read request of `units`, as a client sends it.
pub fn get(id: u32, plan: &str, units: u32, deadline_ms: u64) -> String {
    format!(
        "GET /read/7f3a9c21e0b4d655?a=%20b HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id:016x}\r\n\
         X-Plan: {plan}\r\nX-Deadline: {deadline_ms}m\r\n\
         X-IO: volume=00000000000000a1,units={units},shard=0,hosts=1\r\n\r\n"
    )
}

/// Sends a request on a new connection and reads the answer until the connection closes.
pub async fn ask(front: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let request = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// The requests that a mock node received, with the time of each.
pub type Heads = Arc<Mutex<Vec<(tokio::time::Instant, String)>>>;

/// A mock node that answers each request with these bytes. It closes the connection if they contain `close`, and never
/// answers if they are empty.
pub async fn node(answer: &'static str) -> (SocketAddr, Heads) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, heads) = (listener.local_addr().unwrap(), Heads::default());
    let recorded = heads.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let recorded = recorded.clone();
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while let Ok(byte) = stream.read_u8().await {
                    bytes.push(byte);
                    if !bytes.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let mut head =
                        String::from_utf8_lossy(&std::mem::take(&mut bytes)).into_owned();
                    let length = head
                        .to_lowercase()
                        .split("content-length: ")
                        .nth(1)
                        .map_or(0, |value| {
                            value.split("\r\n").next().unwrap().parse().unwrap()
                        });
                    let mut body = vec![0; length];
                    stream.read_exact(&mut body).await.unwrap();
                    head += &String::from_utf8_lossy(&body);
                    recorded
                        .lock()
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

/// The targets of the requests that a mock discovery service received.
pub type Calls = Arc<Mutex<Vec<String>>>;

/// A mock discovery service that records each request's target and answers with the next body from the channel. The body
/// `break` closes the connection, and `silence` leaves the request unanswered.
pub async fn discovery() -> (SocketAddr, Calls, mpsc::UnboundedSender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, calls) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let (answer_sender, mut answers) = mpsc::unbounded_channel::<String>();
    let recorded = calls.clone();
    tokio::spawn(async move {
        let mut unanswered = Vec::new();
        'connections: while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while let Ok(byte) = stream.read_u8().await {
                head.push(byte);
                if !head.ends_with(b"\r\n\r\n") {
                    continue;
                }
                let line = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
                recorded
                    .lock()
                    .unwrap()
                    .push(line.split(' ').nth(1).unwrap().to_string());
                let Some(answer) = answers.recv().await else {
                    return;
                };
                let answer = match answer.as_str() {
                    "break" => break,
                    "silence" => {
                        unanswered.push(stream);
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
    (address, calls, answer_sender)
}

/// A mock node that hands its accepted connections to the test, which controls their answers, their order and their end.
pub async fn manual_node() -> (SocketAddr, mpsc::UnboundedReceiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (connections, accepted)) =
        (listener.local_addr().unwrap(), mpsc::unbounded_channel());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            if connections.send(stream).is_err() {
                return;
            }
        }
    });
    (address, accepted)
}

/// Reads one message head and no byte after it.
pub async fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a complete message head"));
    }
    String::from_utf8(head).unwrap()
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
}

//! A stand-in client: asks fronts over kept connections, one request at a time on each, never by itself again, and
//! tells what came of each request.

use crate::http1::Reader;
use crate::node::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// A request as a client words it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id, fresh for each.
    pub id: String,
    /// The class: the first part of the path.
    pub class: &'static str,
    /// Whether it writes; it then carries a key.
    pub writes: bool,
    /// The plan's name.
    pub plan: &'static str,
    /// The volume.
    pub volume: u64,
    /// The piece of data.
    pub key: u64,
    /// Its size in units.
    pub units: u32,
    /// The shard that the client believes in; -1: a new object.
    pub shard: i64,
    /// How many fronts the volume works through.
    pub hosts: u32,
    /// How long the client waits.
    pub deadline: Duration,
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Served with the answer made for it.
    Served,
    /// Refused: 429 or 503.
    Refused,
    /// Failed: any other answer.
    Failed,
    /// No answer by the deadline and a little, or a connection that ended without one, or the answer to another.
    Lost,
}

/// What came of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tally {
    /// Requests sent.
    pub requests: u64,
    /// Answered with what a node made for them.
    pub served: u64,
    /// Turned away; asking again is harmless.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Never answered, or with the answer of another.
    pub lost: u64,
}

impl Tally {
    /// Counts one; true: it was served.
    pub fn count(&mut self, came: Came) -> bool {
        self.requests += 1;
        *match came {
            Came::Served => &mut self.served,
            Came::Refused => &mut self.refused,
            Came::Failed => &mut self.failed,
            Came::Lost => &mut self.lost,
        } += 1;
        came == Came::Served
    }
}

/// The ordinary mix of classes: the class, whether it writes, and its units.
pub fn mix(dice: &mut fastrand::Rng) -> (&'static str, bool, u32) {
    match dice.u32(0..100) {
        0..=54 => ("read", false, 1),
        55..=84 => ("new-write", true, 2),
        _ => ("bulk-read", false, 4),
    }
}

/// How much longer than its deadline a client listens before it calls a request lost.
const GRACE: Duration = Duration::from_millis(500);

/// Connections that rest, and since when.
type Resting = HashMap<SocketAddr, Vec<(TcpStream, Instant)>>;

/// Clients' connections, by front.
#[derive(Clone, Default)]
pub struct Clients {
    idle: Arc<Mutex<Resting>>,
}

impl Clients {
    /// Asks a front and waits for its answer; tells what came, and after how long.
    pub async fn ask(&self, front: SocketAddr, ask: &Ask) -> (Came, Duration) {
        let began = Instant::now();
        let came = timeout(ask.deadline + GRACE, self.exchange(front, ask)).await;
        (came.unwrap_or(None).unwrap_or(Came::Lost), began.elapsed())
    }

    async fn exchange(&self, front: SocketAddr, ask: &Ask) -> Option<Came> {
        // Fronts close what idles for 2 s; one that rested for less is surely open.
        let kept = lock(&self.idle)
            .entry(front)
            .or_default()
            .pop()
            .filter(|(_, since)| since.elapsed() < Duration::from_secs(1));
        let over = |mut stream: TcpStream| async move {
            let _ = stream.set_nodelay(true);
            stream.write_all(ask.head().as_bytes()).await.ok()?;
            let answer = Reader::default().next(&mut stream).await.ok()??;
            Some((stream, answer))
        };
        // A kept connection that closes as the request goes out: it is sent once more, on a new one.
        let came = match kept {
            Some((stream, _)) => over(stream).await,
            None => None,
        };
        let (stream, answer) = match came {
            Some(came) => came,
            None => over(TcpStream::connect(front).await.ok()?).await?,
        };
        if answer.field("connection") != Some("close") {
            lock(&self.idle)
                .entry(front)
                .or_default()
                .push((stream, Instant::now()));
        }
        Some(match answer.status() {
            200 if answer.body == format!("ran {}", ask.id).as_bytes() => Came::Served,
            200 => Came::Lost,
            429 | 503 => Came::Refused,
            _ => Came::Failed,
        })
    }
}

impl Ask {
    fn head(&self) -> String {
        let (method, keyed) = match self.writes {
            true => (
                "PUT",
                format!("Idempotency-Key: k-{}\r\nContent-Length: 0\r\n", self.id),
            ),
            false => ("GET", String::new()),
        };
        format!(
            "{method} /{}/{:016x}/{:016x} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Plan: {}\r\n\
             X-Deadline: {}m\r\n{keyed}X-IO: volume={:016x},units={},shard={},hosts={}\r\n\r\n",
            self.class,
            self.volume,
            self.key,
            self.id,
            self.plan,
            self.deadline.as_millis(),
            self.volume,
            self.units,
            self.shard,
            self.hosts
        )
    }
}

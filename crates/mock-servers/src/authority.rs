//! A mock extent authority: the ground truth of where data is placed, its change history in epochs, and the poll and fetch
//! calls that fronts send. It is written from the protocol's description and shares no code with the fronts' cache. It can
//! stop answering, restart under another incarnation, and drop its history.

use crate::http1::{answer, Message, Reader};
use crate::node::{lock, Placement};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Maps with more extents than this are not sent as a snapshot: fronts fetch their volumes one by one.
const MAX_SNAPSHOT_EXTENTS: usize = 4_096;

/// An extent: a key range of a volume and the shard that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The volume that the extent is part of.
    pub volume: u64,
    /// The first key of the range.
    pub first: u64,
    /// The last key of the range, inclusive.
    pub last: u64,
    /// The shard that holds the range.
    pub shard: u32,
    /// The epoch in which the extent last changed.
    pub epoch: u64,
}

/// The current placement of all data, and the history of its changes.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// The incarnation of the authority.
    pub incarnation: u64,
    /// Number of changes in this incarnation.
    pub epoch: u64,
    extents: BTreeMap<(u64, u64), Extent>,
    history: VecDeque<Extent>,
    /// Most changes that are kept; a poll from an older epoch is answered with a reset.
    pub max_history: usize,
}

impl GroundTruth {
    /// An empty map.
    pub fn new(incarnation: u64) -> GroundTruth {
        GroundTruth {
            incarnation,
            epoch: 0,
            extents: BTreeMap::new(),
            history: VecDeque::new(),
            max_history: 10_000,
        }
    }

    /// Assigns a range to a shard: a move, a split or a merge.
    pub fn put(&mut self, volume: u64, first: u64, last: u64, shard: u32) {
        self.epoch += 1;
        let epoch = self.epoch;
        let overlapping: Vec<Extent> = self
            .extents
            .range((volume, 0)..=(volume, last))
            .map(|(_, extent)| *extent)
            .filter(|extent| extent.last >= first)
            .collect();
        for extent in overlapping {
            self.extents.remove(&(volume, extent.first));
            if extent.first < first {
                self.extents.insert(
                    (volume, extent.first),
                    Extent {
                        last: first - 1,
                        ..extent
                    },
                );
            }
            if extent.last > last {
                self.extents.insert(
                    (volume, last + 1),
                    Extent {
                        first: last + 1,
                        ..extent
                    },
                );
            }
        }
        let extent = Extent {
            volume,
            first,
            last,
            shard,
            epoch,
        };
        self.extents.insert((volume, first), extent);
        self.history.push_back(extent);
        while self.history.len() > self.max_history {
            self.history.pop_front();
        }
    }

    /// The extent that covers a key.
    pub fn extent_at(&self, volume: u64, key: u64) -> Option<Extent> {
        let (_, extent) = self
            .extents
            .range((volume, 0)..=(volume, key))
            .next_back()?;
        Some(*extent).filter(|extent| extent.last >= key)
    }

    /// The placement of a key, in the form that a node checks requests against.
    pub fn placement(&self, volume: u64, key: u64) -> Option<Placement> {
        self.extent_at(volume, key)
            .map(|extent| (extent.shard, self.incarnation, self.epoch))
    }

    /// All extents.
    pub fn extents(&self) -> impl Iterator<Item = &Extent> {
        self.extents.values()
    }

    /// The changes after an epoch, or none if the history no longer reaches back that far.
    fn changes_since(&self, incarnation: u64, epoch: u64) -> Option<Vec<Extent>> {
        let oldest_kept = self.epoch - self.history.len() as u64;
        let in_history =
            incarnation == self.incarnation && epoch >= oldest_kept && epoch <= self.epoch;
        in_history.then(|| {
            self.history
                .iter()
                .filter(|extent| extent.epoch > epoch)
                .copied()
                .collect()
        })
    }

    /// Starts another incarnation with the same extents. Epochs count from 1 again.
    pub fn restart(&mut self, incarnation: u64) {
        (self.incarnation, self.epoch) = (incarnation, 1);
        self.history.clear();
        self.extents
            .values_mut()
            .for_each(|extent| extent.epoch = 1);
    }

    /// The answer to a poll: the changes after `from`, a snapshot, or a bare reset for large maps.
    pub fn poll_answer(&self, from: Option<(u64, u64)>) -> Value {
        let version = json!({"incarnation": self.incarnation, "epoch": self.epoch});
        match from.and_then(|(incarnation, epoch)| self.changes_since(incarnation, epoch)) {
            Some(extents) => {
                json!({"version": version, "changes": extents.iter().map(extent_json).collect::<Vec<_>>()})
            }
            None if self.extents.len() <= MAX_SNAPSHOT_EXTENTS => {
                json!({"version": version, "reset": true, "whole": true,
                "changes": self.extents.values().map(extent_json).collect::<Vec<_>>()})
            }
            None => json!({"version": version, "reset": true}),
        }
    }

    /// The answer to a fetch: the extents of a volume, or the one that covers `key`.
    pub fn fetch_answer(&self, volume: u64, key: Option<u64>) -> Value {
        let covers_key =
            |extent: &&Extent| key.is_none_or(|k| (extent.first..=extent.last).contains(&k));
        let extents: Vec<&Extent> = self
            .extents
            .range((volume, 0)..=(volume, u64::MAX))
            .map(|(_, l)| l)
            .filter(covers_key)
            .collect();
        let (first, last) = match (key, extents.first()) {
            (Some(_), Some(extent)) => (extent.first, extent.last),
            (Some(key), None) => (key, key),
            (None, _) => (0, u64::MAX),
        };
        json!({"version": {"incarnation": self.incarnation, "epoch": self.epoch}, "volume": format!("{volume:x}"),
            "first": format!("{first:x}"), "last": format!("{last:x}"),
            "extents": extents.into_iter().map(extent_json).collect::<Vec<_>>()})
    }
}

fn extent_json(extent: &Extent) -> Value {
    json!({"volume": format!("{:x}", extent.volume), "first": format!("{:x}", extent.first), "last": format!("{:x}", extent.last),
        "shard": extent.shard, "epoch": extent.epoch})
}

/// Counts of the requests that fronts sent, and of the bytes in both directions.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of polls.
    pub polls: AtomicU64,
    /// Number of fetches.
    pub fetches: AtomicU64,
    /// Bytes of all requests and responses, heads included.
    pub bytes: AtomicU64,
}

/// A running authority. Dropping it stops the server.
pub struct Authority {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The placement that the authority serves.
    pub ground_truth: Arc<Mutex<GroundTruth>>,
    /// Traffic on the authority's first address.
    pub traffic: Arc<Traffic>,
    silent: watch::Sender<bool>,
    version_updates: watch::Sender<(u64, u64)>,
    handler: RequestHandler,
    task: JoinHandle<()>,
}

/// An additional address of an authority, with its own traffic counters.
pub struct AuthorityListener {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Traffic on this address.
    pub traffic: Arc<Traffic>,
    task: JoinHandle<()>,
}

impl Drop for AuthorityListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct RequestHandler {
    ground_truth: Arc<Mutex<GroundTruth>>,
    traffic: Arc<Traffic>,
    silent: watch::Receiver<bool>,
    version_updates: watch::Receiver<(u64, u64)>,
}

impl Authority {
    /// Starts an authority that serves this placement.
    pub async fn start(ground_truth: GroundTruth) -> std::io::Result<Authority> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (silent, silent_receiver) = watch::channel(false);
        let (version_updates, version_receiver) =
            watch::channel((ground_truth.incarnation, ground_truth.epoch));
        let (ground_truth, traffic) = (
            Arc::new(Mutex::new(ground_truth)),
            Arc::<Traffic>::default(),
        );
        let handler = RequestHandler {
            ground_truth: ground_truth.clone(),
            traffic: traffic.clone(),
            silent: silent_receiver,
            version_updates: version_receiver,
        };
        let task = tokio::spawn(handler.clone().serve(listener));
        Ok(Authority {
            address,
            ground_truth,
            traffic,
            silent,
            version_updates,
            handler,
            task,
        })
    }

    /// Listens on an additional address.
    pub async fn open_listener(&self) -> std::io::Result<AuthorityListener> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, traffic) = (listener.local_addr()?, Arc::<Traffic>::default());
        let handler = RequestHandler {
            traffic: traffic.clone(),
            ..self.handler.clone()
        };
        Ok(AuthorityListener {
            address,
            traffic,
            task: tokio::spawn(handler.serve(listener)),
        })
    }

    /// Changes the placement and wakes the pending long polls.
    pub fn change(&self, change: impl FnOnce(&mut GroundTruth)) {
        let now = {
            let mut ground_truth = lock(&self.ground_truth);
            change(&mut ground_truth);
            (ground_truth.incarnation, ground_truth.epoch)
        };
        self.version_updates.send_replace(now);
    }

    /// Withholds all answers while `silent` is true.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }
}

impl RequestHandler {
    async fn serve(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(self.clone().connection(stream));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn connection(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.next(&mut stream).await {
            let body = self.response_body(&request, &stream).await;
            if self.silent.wait_for(|silent| !silent).await.is_err() {
                return;
            }
            let (status, body) = match body {
                Some(body) => ("200 OK", body.to_string()),
                None => ("404 Not Found", String::new()),
            };
            let Ok(size) = answer(&mut stream, status, "", body.as_bytes()).await else {
                return;
            };
            self.traffic
                .bytes
                .fetch_add((request.size + size) as u64, Ordering::Relaxed);
        }
    }

    async fn response_body(&mut self, request: &Message, stream: &TcpStream) -> Option<Value> {
        let path = request.second().split('?').next()?;
        if let Some(volume) = path.strip_prefix("/extents/volume/") {
            self.traffic.fetches.fetch_add(1, Ordering::Relaxed);
            let hex = |text: &str| u64::from_str_radix(text, 16).ok();
            return Some(
                lock(&self.ground_truth)
                    .fetch_answer(hex(volume)?, request.query("key").and_then(hex)),
            );
        }
        if path != "/extents" {
            return None;
        }
        self.traffic.polls.fetch_add(1, Ordering::Relaxed);
        let from = request.query("from").and_then(|v| v.split_once('.'));
        let from = from.and_then(|(incarnation, epoch)| {
            Some((incarnation.parse::<u64>().ok()?, epoch.parse::<u64>().ok()?))
        });
        let hold = request
            .query("hold_ms")
            .and_then(|h| h.parse().ok())
            .unwrap_or(0);
        if let Some(from) = from {
            // A client that disconnects ends its long poll.
            tokio::select! {
                _ = timeout(Duration::from_millis(hold), self.version_updates.wait_for(|now| *now != from)) => {}
                _ = stream.readable() => {}
            }
        }
        Some(lock(&self.ground_truth).poll_answer(from))
    }
}

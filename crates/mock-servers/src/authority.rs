//! A stand-in extent authority: the truth of where data lies, its history in epochs, and the two calls by which fronts
//! learn of it. Written apart from the cache's own words, from the same page. It can fall silent, start anew in another
//! incarnation, and forget its history.

use crate::http1::{answer, Message, Reader};
use crate::node::{lock, Lies};
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

/// Maps with more extents than this are not told whole: their volumes are to be fetched one by one.
const WHOLE_MOST: usize = 4_096;

/// One extent of the truth, by its volume and first key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lot {
    /// The volume.
    pub volume: u64,
    /// The first key.
    pub first: u64,
    /// The last key.
    pub last: u64,
    /// The shard.
    pub shard: u32,
    /// The epoch of its last change.
    pub epoch: u64,
}

/// Where everything lies, and what changed since when.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Which life of the authority this is.
    pub incarnation: u64,
    /// Changes in this life.
    pub epoch: u64,
    lots: BTreeMap<(u64, u64), Lot>,
    history: VecDeque<Lot>,
    /// How many changes are kept; a poll from before them is told all anew.
    pub keep: usize,
}

impl Truth {
    /// Nothing lies anywhere.
    pub fn new(incarnation: u64) -> Truth {
        Truth {
            incarnation,
            epoch: 0,
            lots: BTreeMap::new(),
            history: VecDeque::new(),
            keep: 10_000,
        }
    }

    /// Puts a range on a shard: a move, a split or a merge.
    pub fn put(&mut self, volume: u64, first: u64, last: u64, shard: u32) {
        self.epoch += 1;
        let epoch = self.epoch;
        let under: Vec<Lot> = self
            .lots
            .range((volume, 0)..=(volume, last))
            .map(|(_, lot)| *lot)
            .filter(|lot| lot.last >= first)
            .collect();
        for lot in under {
            self.lots.remove(&(volume, lot.first));
            if lot.first < first {
                self.lots.insert(
                    (volume, lot.first),
                    Lot {
                        last: first - 1,
                        ..lot
                    },
                );
            }
            if lot.last > last {
                self.lots.insert(
                    (volume, last + 1),
                    Lot {
                        first: last + 1,
                        ..lot
                    },
                );
            }
        }
        let lot = Lot {
            volume,
            first,
            last,
            shard,
            epoch,
        };
        self.lots.insert((volume, first), lot);
        self.history.push_back(lot);
        while self.history.len() > self.keep {
            self.history.pop_front();
        }
    }

    /// The extent that covers a key.
    pub fn lot(&self, volume: u64, key: u64) -> Option<Lot> {
        let (_, lot) = self.lots.range((volume, 0)..=(volume, key)).next_back()?;
        Some(*lot).filter(|l| l.last >= key)
    }

    /// Where a piece of data lies, as a node wants to know it.
    pub fn lies(&self, volume: u64, key: u64) -> Option<Lies> {
        self.lot(volume, key)
            .map(|l| (l.shard, self.incarnation, self.epoch))
    }

    /// All extents.
    pub fn lots(&self) -> impl Iterator<Item = &Lot> {
        self.lots.values()
    }

    /// The changes after an epoch; none where they are not kept any more.
    fn since(&self, incarnation: u64, epoch: u64) -> Option<Vec<Lot>> {
        let kept = self.epoch - self.history.len() as u64;
        let known = incarnation == self.incarnation && epoch >= kept && epoch <= self.epoch;
        known.then(|| {
            self.history
                .iter()
                .filter(|l| l.epoch > epoch)
                .copied()
                .collect()
        })
    }

    /// Starts another life with the same extents: epochs count from 1 again.
    pub fn restart(&mut self, incarnation: u64) {
        (self.incarnation, self.epoch) = (incarnation, 1);
        self.history.clear();
        self.lots.values_mut().for_each(|l| l.epoch = 1);
    }

    /// What a poll is answered with.
    pub fn news(&self, from: Option<(u64, u64)>) -> Value {
        let version = json!({"incarnation": self.incarnation, "epoch": self.epoch});
        match from.and_then(|(incarnation, epoch)| self.since(incarnation, epoch)) {
            Some(lots) => {
                json!({"version": version, "changes": lots.iter().map(wording).collect::<Vec<_>>()})
            }
            None if self.lots.len() <= WHOLE_MOST => {
                json!({"version": version, "reset": true, "whole": true,
                "changes": self.lots.values().map(wording).collect::<Vec<_>>()})
            }
            None => json!({"version": version, "reset": true}),
        }
    }

    /// What a fetch is answered with.
    pub fn cover(&self, volume: u64, key: Option<u64>) -> Value {
        let mine = |l: &&Lot| key.is_none_or(|k| (l.first..=l.last).contains(&k));
        let lots: Vec<&Lot> = self
            .lots
            .range((volume, 0)..=(volume, u64::MAX))
            .map(|(_, l)| l)
            .filter(mine)
            .collect();
        let (first, last) = match (key, lots.first()) {
            (Some(_), Some(lot)) => (lot.first, lot.last),
            (Some(key), None) => (key, key),
            (None, _) => (0, u64::MAX),
        };
        json!({"version": {"incarnation": self.incarnation, "epoch": self.epoch}, "volume": format!("{volume:x}"),
            "first": format!("{first:x}"), "last": format!("{last:x}"),
            "extents": lots.into_iter().map(wording).collect::<Vec<_>>()})
    }
}

fn wording(l: &Lot) -> Value {
    json!({"volume": format!("{:x}", l.volume), "first": format!("{:x}", l.first), "last": format!("{:x}", l.last),
        "shard": l.shard, "epoch": l.epoch})
}

/// What fronts asked, and how many bytes went either way.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Polls.
    pub polls: AtomicU64,
    /// Fetches.
    pub fetches: AtomicU64,
    /// Bytes of all calls and answers, heads included.
    pub bytes: AtomicU64,
}

/// An authority at work, until it is dropped.
pub struct Authority {
    /// Where it listens.
    pub address: SocketAddr,
    /// The truth.
    pub truth: Arc<Mutex<Truth>>,
    /// What fronts asked.
    pub traffic: Arc<Traffic>,
    silent: watch::Sender<bool>,
    news: watch::Sender<(u64, u64)>,
    desk: Desk,
    task: JoinHandle<()>,
}

/// A further address of an authority, whose traffic is counted by itself.
pub struct Entrance {
    /// Where it listens.
    pub address: SocketAddr,
    /// What was asked there.
    pub traffic: Arc<Traffic>,
    task: JoinHandle<()>,
}

impl Drop for Entrance {
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
struct Desk {
    truth: Arc<Mutex<Truth>>,
    traffic: Arc<Traffic>,
    silent: watch::Receiver<bool>,
    news: watch::Receiver<(u64, u64)>,
}

impl Authority {
    /// Starts with a truth.
    pub async fn start(truth: Truth) -> std::io::Result<Authority> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (silent, quiet) = watch::channel(false);
        let (news, seen) = watch::channel((truth.incarnation, truth.epoch));
        let (truth, traffic) = (Arc::new(Mutex::new(truth)), Arc::<Traffic>::default());
        let desk = Desk {
            truth: truth.clone(),
            traffic: traffic.clone(),
            silent: quiet,
            news: seen,
        };
        let task = tokio::spawn(desk.clone().open(listener));
        Ok(Authority {
            address,
            truth,
            traffic,
            silent,
            news,
            desk,
            task,
        })
    }

    /// Opens a further address.
    pub async fn entrance(&self) -> std::io::Result<Entrance> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, traffic) = (listener.local_addr()?, Arc::<Traffic>::default());
        let desk = Desk {
            traffic: traffic.clone(),
            ..self.desk.clone()
        };
        Ok(Entrance {
            address,
            traffic,
            task: tokio::spawn(desk.open(listener)),
        })
    }

    /// Changes the truth; polls that wait hear of it.
    pub fn change(&self, how: impl FnOnce(&mut Truth)) {
        let now = {
            let mut truth = lock(&self.truth);
            how(&mut truth);
            (truth.incarnation, truth.epoch)
        };
        self.news.send_replace(now);
    }

    /// Has it answer nothing, or answer again.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }
}

impl Desk {
    async fn open(self, listener: TcpListener) {
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
            let body = self.body(&request, &stream).await;
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

    async fn body(&mut self, request: &Message, stream: &TcpStream) -> Option<Value> {
        let path = request.second().split('?').next()?;
        if let Some(volume) = path.strip_prefix("/extents/volume/") {
            self.traffic.fetches.fetch_add(1, Ordering::Relaxed);
            let hex = |text: &str| u64::from_str_radix(text, 16).ok();
            return Some(lock(&self.truth).cover(hex(volume)?, request.query("key").and_then(hex)));
        }
        if path != "/extents" {
            return None;
        }
        self.traffic.polls.fetch_add(1, Ordering::Relaxed);
        let from = request.query("from").and_then(|v| v.split_once('.'));
        let from = from.and_then(|(i, e)| Some((i.parse::<u64>().ok()?, e.parse::<u64>().ok()?)));
        let hold = request
            .query("hold_ms")
            .and_then(|h| h.parse().ok())
            .unwrap_or(0);
        if let Some(from) = from {
            // A client that leaves while it waits ends its call.
            tokio::select! {
                _ = timeout(Duration::from_millis(hold), self.news.wait_for(|now| *now != from)) => {}
                _ = stream.readable() => {}
            }
        }
        Some(lock(&self.truth).news(from))
    }
}

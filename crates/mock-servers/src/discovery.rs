//! A mock discovery service: a versioned node list with a long poll that waits for a newer version. It records when each
//! version was last sent to a front.

use crate::http1::{answer, Message, Reader};
use crate::node::lock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// A node in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The node's name.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The shard it holds.
    pub shard: u32,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: &'static str,
    /// When it started, in milliseconds of Unix time; 0 means long ago.
    pub started: u64,
}

/// The node list. Each entry has the version in which it last changed.
struct List {
    version: u64,
    entries: BTreeMap<String, (u64, Entry)>,
    /// When each version was last sent to a front that did not have it.
    last_sent: HashMap<u64, Instant>,
}

/// A running discovery service. Dropping it stops the server.
pub struct Discovery {
    /// The address that it listens on.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    version_updates: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Starts the service with an initial list.
    pub async fn start(first: Vec<Entry>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entries = first
            .into_iter()
            .map(|entry| (entry.name.clone(), (1, entry)))
            .collect();
        let list = Arc::new(Mutex::new(List {
            version: 1,
            entries,
            last_sent: HashMap::new(),
        }));
        let (version_updates, version_receiver) = watch::channel(1);
        let shared_list = list.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(connection(
                    stream,
                    shared_list.clone(),
                    version_receiver.clone(),
                ));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Discovery {
            address,
            list,
            version_updates,
            task,
        })
    }

    /// Inserts or replaces an entry and returns the version of the change.
    pub fn set(&self, entry: Entry) -> u64 {
        let version = {
            let mut list = lock(&self.list);
            list.version += 1;
            let version = list.version;
            list.entries.insert(entry.name.clone(), (version, entry));
            version
        };
        self.version_updates.send_replace(version);
        version
    }

    /// When this version was last sent to a front, if it was sent at all.
    pub fn last_sent_at(&self, version: u64) -> Option<Instant> {
        lock(&self.list).last_sent.get(&version).copied()
    }
}

async fn connection(
    mut stream: TcpStream,
    list: Arc<Mutex<List>>,
    mut version_updates: watch::Receiver<u64>,
) {
    let mut reader = Reader::default();
    while let Ok(Some(request)) = reader.next(&mut stream).await {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let from = number("from");
        if let Some(from) = from {
            let hold = Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000));
            // A client that disconnects ends its long poll.
            tokio::select! {
                _ = timeout(hold, version_updates.wait_for(|version| *version > from)) => {}
                _ = stream.readable() => {}
            }
        }
        let (body, versions) = list_json(&lock(&list), &request, from);
        if answer(
            &mut stream,
            "200 OK",
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
        .await
        .is_err()
        {
            return;
        }
        let now = Instant::now();
        let mut list = lock(&list);
        for version in versions {
            list.last_sent.insert(version, now);
        }
    }
}

fn list_json(list: &List, _: &Message, from: Option<u64>) -> (String, Vec<u64>) {
    let changed: Vec<&(u64, Entry)> = list
        .entries
        .values()
        .filter(|(version, _)| from.is_none_or(|from| *version > from))
        .collect();
    let entry_json = |(_, entry): &&(u64, Entry)| {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"room","machineType":"m","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            entry.name, entry.address, entry.shard, entry.lifecycle, entry.started
        )
    };
    let body: Vec<String> = changed.iter().map(entry_json).collect();
    let (version, reset) = (list.version, from.is_none());
    let text = format!(
        r#"{{"generation":{version},"reset":{reset},"instances":[{}]}}"#,
        body.join(",")
    );
    (text, changed.iter().map(|(version, _)| *version).collect())
}

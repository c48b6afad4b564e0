//! A stand-in discovery: the node list in versions, with the watch that holds until something newer is there. It
//! notes when each front was told of each version.

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

/// A node as the list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard it holds.
    pub shard: u32,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: &'static str,
    /// When it started, in milliseconds of Unix time; 0: long ago.
    pub started: u64,
}

/// The list and its history: each entry with the version that it changed at.
struct List {
    version: u64,
    entries: BTreeMap<String, (u64, Entry)>,
    /// When each version was last written to a front that did not have it.
    told: HashMap<u64, Instant>,
}

/// A discovery at work, until it is dropped.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    news: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Starts with a first list.
    pub async fn start(first: Vec<Entry>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entries = first
            .into_iter()
            .map(|e| (e.name.clone(), (1, e)))
            .collect();
        let list = Arc::new(Mutex::new(List {
            version: 1,
            entries,
            told: HashMap::new(),
        }));
        let (news, seen) = watch::channel(1);
        let shared = list.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(connection(stream, shared.clone(), seen.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Discovery {
            address,
            list,
            news,
            task,
        })
    }

    /// Changes or adds an entry; tells the version of the change.
    pub fn set(&self, entry: Entry) -> u64 {
        let version = {
            let mut list = lock(&self.list);
            list.version += 1;
            let version = list.version;
            list.entries.insert(entry.name.clone(), (version, entry));
            version
        };
        self.news.send_replace(version);
        version
    }

    /// When the last front was told of a version, as far as any was.
    pub fn told(&self, version: u64) -> Option<Instant> {
        lock(&self.list).told.get(&version).copied()
    }
}

async fn connection(mut stream: TcpStream, list: Arc<Mutex<List>>, mut news: watch::Receiver<u64>) {
    let mut reader = Reader::default();
    while let Ok(Some(request)) = reader.next(&mut stream).await {
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from");
        if let Some(from) = from {
            let hold = Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000));
            // A client that leaves while it waits ends its call.
            tokio::select! {
                _ = timeout(hold, news.wait_for(|v| *v > from)) => {}
                _ = stream.readable() => {}
            }
        }
        let (body, versions) = say(&lock(&list), &request, from);
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
            list.told.insert(version, now);
        }
    }
}

fn say(list: &List, _: &Message, from: Option<u64>) -> (String, Vec<u64>) {
    let news: Vec<&(u64, Entry)> = list
        .entries
        .values()
        .filter(|(v, _)| from.is_none_or(|f| *v > f))
        .collect();
    let one = |(_, e): &&(u64, Entry)| {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"room","machineType":"m","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            e.name, e.address, e.shard, e.lifecycle, e.started
        )
    };
    let body: Vec<String> = news.iter().map(one).collect();
    let (version, reset) = (list.version, from.is_none());
    let text = format!(
        r#"{{"generation":{version},"reset":{reset},"instances":[{}]}}"#,
        body.join(",")
    );
    (text, news.iter().map(|(v, _)| *v).collect())
}

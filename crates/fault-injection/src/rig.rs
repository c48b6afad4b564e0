//! Plays a script: starts the processes and what surrounds them, carries out the acts, asks for more than the limits, and
//! hands all that was seen to the checkers.

use crate::history::{now, History, Moment};
use crate::process::{Guard, Process, Start};
use crate::relay::{Fault, Relay, Way};
use crate::script::{Act, Script};
use crate::witness::{Asked, Seen, Witness, CAPACITY, FALLS, LIMIT};
use crate::RigError;
use mock_servers::discovery::{Discovery, Entry};
use mock_servers::load::{Ask, Came, Clients};
use mock_servers::node::{lock, Fate, Group, Manner, Node};
use mock_servers::settings::configuration;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Warm nodes, two to each shard, which share a memory of keyed writes.
const NODES: u32 = 4;
const SHARDS: u32 = NODES / 2;
/// One attempt in this many breaks its connection at a warm node, half of them after it ran: writes are repeated.
const RESETS: u32 = 25;
/// How many times its even part each front is asked for of each volume.
const DEMAND: f64 = 2.4;
/// Units of a request that counts against a limit.
const UNITS: u32 = 4;
/// What is told that a cold node always bears, in units within a second. The module leans on it up to twice over, as its days on
/// the bench allow; what really makes one fall is a quarter above that.
const BEARS: f64 = 60.0;
/// Once a cold node is there its shard is asked for this many units a second more, for so many seconds: several times what
/// makes it fall over.
const COLD_DEMAND: (f64, f64) = (400.0, 3.0);
/// How long a process that is told to end may take.
const ENDS: Duration = Duration::from_secs(15);
/// How long after the load the fleet may take until all that was asked is answered.
const AFTER: Duration = Duration::from_secs(6);

/// What is played, and with what.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The script.
    pub script: Script,
    /// The program.
    pub program: PathBuf,
    /// Where each process gets a folder of its own.
    pub folder: PathBuf,
    /// Settings of the section `[fleet]` beside names, addresses and keys.
    pub fleet: String,
}

/// What came of it.
pub struct Played {
    /// What the checkers need.
    pub witness: Witness,
    /// All that happened.
    pub history: Arc<History>,
}

struct Front {
    process: Option<Process>,
    twin: Option<Process>,
    /// Its process has the history's mark of a second one: every other newer process has.
    newer: bool,
    /// The socket that its processes inherit, where the script has an upgrade.
    socket: Option<std::net::TcpListener>,
    discovery: Discovery,
    news: Way,
    clients: Way,
    nodes: Vec<Way>,
    keys: Vec<String>,
    lacks: Vec<u16>,
}

struct Rig {
    plan: Plan,
    guard: Arc<Mutex<Guard>>,
    history: Arc<History>,
    relay: Relay,
    fronts: Vec<Front>,
    nodes: Vec<(Node, Option<Moment>)>,
    dice: fastrand::Rng,
    /// What the rig did to whom, for the checkers.
    deeds: Vec<(Moment, Act)>,
    cuts: Vec<bool>,
}

/// Plays a script to its end. All processes are ended whatever comes.
pub async fn play(plan: Plan) -> Result<Played, RigError> {
    plan.script.check().map_err(RigError::Script)?;
    let history = Arc::new(History::default());
    let folder = plan.folder.clone();
    let witness = match Rig::new(plan, history.clone()).await {
        Ok(mut rig) => rig.run().await,
        Err(e) => Err(e),
    };
    let _ = std::fs::remove_dir_all(&folder);
    Ok(Played {
        witness: witness?,
        history,
    })
}

impl Rig {
    async fn new(plan: Plan, history: Arc<History>) -> Result<Rig, RigError> {
        let script = &plan.script;
        let n = usize::from(script.fronts);
        let mut dice = fastrand::Rng::with_seed(script.seed);
        let relay = Relay::new(n, dice.u64(..)).await?;
        let mut nodes = Vec::new();
        let shards = shards(script);
        let groups: Vec<Group> = (0..shards).map(|_| Group::default()).collect();
        for at in 0..NODES {
            let shard = at % shards;
            // A node that forgets is met by many repeats, so that the planted fault shows each time.
            let resets = if script.spoilt { RESETS / 5 } else { RESETS };
            let manner = Manner {
                resets,
                forgets: script.spoilt,
                ..manner(shard, dice.u64(..))
            };
            let group = groups[shard as usize].clone();
            nodes.push((Node::start(manner, group).await?, None));
        }
        let mut fronts = Vec::new();
        let upgraded = script
            .acts
            .iter()
            .any(|(_, act)| matches!(act, Act::Upgrade { .. }));
        for _ in 0..n {
            let discovery = Discovery::start(Vec::new()).await?;
            let mut ways = Vec::new();
            for (i, (node, _)) in nodes.iter().enumerate() {
                let way = Way::new(Some(node.address)).await?;
                discovery.set(entry(i, way.address, i as u32 % shards, 0));
                ways.push(way);
            }
            fronts.push(Front {
                process: None,
                twin: None,
                newer: false,
                socket: match upgraded {
                    true => Some(std::net::TcpListener::bind("127.0.0.1:0")?),
                    false => None,
                },
                news: Way::new(Some(discovery.address)).await?,
                clients: Way::new(None).await?,
                discovery,
                nodes: ways,
                keys: script.keys.clone(),
                lacks: Vec::new(),
            });
        }
        let guard = Arc::new(Mutex::new(Guard::new()?));
        let cuts = vec![false; n * n];
        Ok(Rig {
            plan,
            guard,
            history,
            relay,
            fronts,
            nodes,
            dice,
            deeds: Vec::new(),
            cuts,
        })
    }

    fn start_of(&mut self, front: u16, twin: bool) -> Result<Start<'_>, RigError> {
        let at = usize::from(front);
        let script = &self.plan.script;
        let name = format!("n{front}");
        let f = &self.fronts[at];
        let seed = self.dice.u64(..);
        let told = if script.spoilt {
            1
        } else {
            u32::from(script.fronts)
        };
        let mut config: Value = configuration(&name, f.news.address, seed, told);
        config["management"] = json!("127.0.0.1:0");
        let socket = match &f.socket {
            Some(socket) => {
                config["listen"] = json!(socket.local_addr()?);
                Some(socket.try_clone()?.into())
            }
            None => None,
        };
        config["settings"]["domain"]["coldBears"] = json!(BEARS);
        config["settings"]["safety"]["tipAfter"] = json!(1000.0);
        config["settings"]["safety"]["coldFrom"] = json!(CAPACITY.1);
        config["settings"]["safety"]["fallMultiple"] = json!(FALLS);
        config["settings"]["safety"]["warmUp"] = json!(CAPACITY.2 * 1000.0);
        let mut operator = String::new();
        if script.fleet {
            operator +=
                &format!("[fleet]\nenabled = true\nname = \"{name}\"\nlisten = \"127.0.0.1:0\"\n");
            operator += &format!("keys = {}\n{}\n", json!(f.keys), self.plan.fleet);
            for j in (0..script.fronts).filter(|j| !f.lacks.contains(j)) {
                let address = self.relay.address(at, usize::from(j))?;
                operator +=
                    &format!("[[fleet.member]]\nname = \"n{j}\"\naddress = \"{address}\"\n");
            }
        }
        operator += &script.sections;
        let folder = self
            .plan
            .folder
            .join(if twin { format!("{name}-twin") } else { name });
        Ok(Start {
            program: &self.plan.program,
            folder,
            config,
            operator,
            front,
            twin,
            socket,
        })
    }

    async fn start(&mut self, front: u16) -> Result<(), RigError> {
        let at = usize::from(front);
        if self.fronts[at].process.is_some() {
            return Ok(());
        }
        let (guard, history) = (self.guard.clone(), self.history.clone());
        history.lives(front, false, true);
        let fleet = self.plan.script.fleet;
        let start = self.start_of(front, false)?;
        let process = Process::start(start, guard, history, fleet).await?;
        self.relay.target(at, process.listens.fleet);
        self.fronts[at].clients.lead(process.listens.clients);
        self.fronts[at].process = Some(process);
        Ok(())
    }

    async fn kill(&mut self, front: u16) {
        let f = &mut self.fronts[usize::from(front)];
        if let Some(process) = f.process.take() {
            f.clients.lead(None);
            process.kill().await;
            self.relay.target(usize::from(front), None);
            self.history.lives(front, f.newer, false);
            f.newer = false;
        }
    }

    /// A newer process of a front, at the addresses of its fleet that the older one leaves to it.
    async fn upgrade(&mut self, front: u16) -> Result<(), RigError> {
        let at = usize::from(front);
        let Some(old) = self.fronts[at].process.take() else {
            return Ok(());
        };
        let (was, now) = (self.fronts[at].newer, !self.fronts[at].newer);
        let (guard, history) = (self.guard.clone(), self.history.clone());
        let mut start = self.start_of(front, false)?;
        if let Some(own) = old.listens.fleet {
            let any = "listen = \"127.0.0.1:0\"";
            start.operator = start.operator.replace(any, &format!("listen = \"{own}\""));
        }
        start.twin = now;
        history.lives(front, now, true);
        // It takes the fleet's address once the older one has left it, so it is not waited for that.
        let mut new = Process::start(start, guard, history.clone(), false).await?;
        new.listens.fleet = old.listens.fleet;
        self.fronts[at].clients.lead(new.listens.clients);
        (self.fronts[at].process, self.fronts[at].newer) = (Some(new), now);
        old.signal(Signal::SIGTERM);
        tokio::spawn(async move {
            let mut old = old;
            old.ended(ENDS).await;
            drop(old);
            history.lives(front, was, false);
        });
        Ok(())
    }

    async fn act(&mut self, act: &Act) -> Result<(), RigError> {
        self.history
            .did(serde_json::to_string(act).unwrap_or_default());
        self.deeds.push((now(), act.clone()));
        let n = usize::from(self.plan.script.fronts);
        match act {
            Act::Kill { front } => self.kill(*front).await,
            Act::Start { front } => self.start(*front).await?,
            Act::Stop { front } => self.signal(*front, Signal::SIGSTOP),
            Act::Cont { front } => self.signal(*front, Signal::SIGCONT),
            Act::Term { front } => self.signal(*front, Signal::SIGTERM),
            Act::Twin { front } => {
                let (guard, history) = (self.guard.clone(), self.history.clone());
                history.lives(*front, true, true);
                let start = self.start_of(*front, true)?;
                let twin = Process::start(start, guard, history, true).await?;
                if let Some(at) = twin.listens.fleet {
                    self.relay.stray(usize::from(*front), at).await?;
                }
                self.fronts[usize::from(*front)].twin = Some(twin);
            }
            Act::NoTwin { front } => {
                if let Some(twin) = self.fronts[usize::from(*front)].twin.take() {
                    twin.kill().await;
                    self.history.lives(*front, true, false);
                }
            }
            Act::Path { from, to, fault } => {
                let at = (usize::from(*from), usize::from(*to));
                self.cuts[at.0 * n + at.1] = fault.cut;
                self.relay.set(at.0, at.1, *fault);
            }
            Act::Net { fault } => {
                self.relay.each(|_, _, f| {
                    *f = Fault {
                        cut: f.cut,
                        ..*fault
                    }
                });
            }
            Act::Split { groups } => {
                let of = |i: usize| groups.iter().position(|g| g.contains(&(i as u16)));
                for from in 0..n {
                    for to in 0..n {
                        self.cuts[from * n + to] = of(from).is_none() || of(from) != of(to);
                    }
                }
                self.recut();
            }
            Act::Mute { front } => {
                for to in 0..n {
                    self.cuts[usize::from(*front) * n + to] = true;
                }
                self.recut();
            }
            Act::Heal => {
                self.cuts.fill(false);
                self.recut();
            }
            Act::Nodes { front, cut } => {
                self.fronts[usize::from(*front)]
                    .nodes
                    .iter()
                    .for_each(|w| w.cut(*cut));
            }
            Act::Discovery { front, cut } => self.fronts[usize::from(*front)].news.cut(*cut),
            Act::Keep { on } => self.relay.keep(*on),
            Act::Again => self.relay.again().await,
            Act::Keys { front, keys } => {
                let all = 0..self.fronts.len();
                for i in all.filter(|i| front.is_none_or(|f| usize::from(f) == *i)) {
                    self.fronts[i].keys = keys.clone();
                }
            }
            Act::Forgets { front, member } => self.fronts[usize::from(*front)].lacks.push(*member),
            Act::Hang { node, on } => {
                if let Some((node, _)) = self.nodes.get(usize::from(*node)) {
                    node.hang(*on);
                }
            }
            Act::Cold => self.cold().await?,
            Act::Upgrade { front } => self.upgrade(*front).await?,
            Act::Joins { .. } => {}
        }
        Ok(())
    }

    fn recut(&self) {
        let n = self.fronts.len();
        self.relay
            .each(|from, to, f| f.cut = self.cuts[from * n + to]);
    }

    fn signal(&self, front: u16, signal: Signal) {
        if let Some(process) = &self.fronts[usize::from(front)].process {
            process.signal(signal);
        }
    }

    /// A cold node comes up for a shard of its own, and every front is told.
    async fn cold(&mut self) -> Result<(), RigError> {
        let (at, since) = (self.nodes.len(), now());
        let shard = at as u32 - NODES + shards(&self.plan.script);
        let node = Node::start(manner(shard, self.dice.u64(..)), Group::default()).await?;
        for f in &mut self.fronts {
            let way = Way::new(Some(node.address)).await?;
            f.discovery.set(entry(at, way.address, shard, since / 1000));
            f.nodes.push(way);
        }
        self.nodes.push((node, Some(since)));
        Ok(())
    }

    async fn run(&mut self) -> Result<Witness, RigError> {
        let script = self.plan.script.clone();
        if !script.late {
            for front in 0..script.fronts {
                self.start(front).await?;
            }
            if script.fleet {
                self.settled(script.fronts).await;
            }
        }
        self.history.did("the load begins".into());
        let (began, from) = (Instant::now(), now());
        // What went round while the fleet came up is not counted.
        let before: Vec<(u64, u64)> = (0..self.fronts.len()).map(|i| self.relay.sent(i)).collect();
        let span = Duration::from_secs_f64(script.seconds);
        let mut acts: Vec<(u64, Act)> = script.acts.clone();
        acts.sort_by_key(|(at, _)| *at);
        let mut acts = acts.into_iter().peekable();
        let clients = Clients::default();
        let mut asked: JoinSet<(Asked, Came)> = JoinSet::new();
        let mut done: Vec<(Asked, Came)> = Vec::new();
        let mut load = Load::new(&script, self.dice.u64(..));
        let mut loads = load.next(span);
        loop {
            let act = acts.peek().map(|(at, _)| Duration::from_millis(*at));
            let due = match (act, loads.as_ref().map(|l| l.0)) {
                (Some(a), Some(l)) => a.min(l),
                (Some(a), None) if a <= span => a,
                (_, Some(l)) => l,
                _ => break,
            };
            sleep_until(began + due).await;
            while let Some((_, act)) = acts.next_if(|(at, _)| Duration::from_millis(*at) <= due) {
                if let Act::Joins { volume, front } = act {
                    load.pairs.push((volume, front));
                }
                self.act(&act).await?;
            }
            while let Some((_, front, ask)) = loads.take_if(|l| l.0 <= due) {
                let at = self.fronts[usize::from(front)].clients.address;
                let lives = self.fronts[usize::from(front)].process.is_some();
                let clients = clients.clone();
                let what = Asked {
                    at: now(),
                    front,
                    volume: ask.volume,
                    units: ask.units,
                    limited: ask.plan == "basic",
                    writes: ask.writes,
                };
                // Where nobody listens there is nothing to lose.
                if lives {
                    asked.spawn(async move { (what, clients.ask(at, &ask).await.0) });
                }
                // A cold node's shard is asked for as soon as it is there.
                load.shards(self.nodes.len() as u32 - NODES + shards(&script));
                loads = load.next(span);
            }
            while let Some(Ok(one)) = asked.try_join_next() {
                done.push(one);
            }
        }
        let to = now();
        let rest = async {
            while let Some(Ok(one)) = asked.join_next().await {
                done.push(one);
            }
        };
        let _ = tokio::time::timeout(AFTER, rest).await;
        let all = before
            .iter()
            .enumerate()
            .map(|(i, b)| (self.relay.sent(i), b));
        let sent = all.map(|(sent, b)| (sent.0 - b.0, sent.1 - b.1)).collect();
        let seen = self.seen();
        let cpu_ms = self.cpu_ms();
        let mut started = 0;
        for (_, entry) in self.history.all() {
            started += u64::from(matches!(entry, crate::history::Entry::Lives(_, _, true)));
        }
        self.end().await;
        let (history, deeds) = (self.history.all(), std::mem::take(&mut self.deeds));
        Ok(Witness {
            span: from..to,
            history,
            deeds,
            seen,
            done,
            sent,
            processes: started,
            cpu_ms,
        })
    }

    /// Waits until all fronts agreed on a view of all, for a while.
    async fn settled(&self, fronts: u16) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let mut majority = 0;
            for f in &self.fronts {
                let Some(door) = f.process.as_ref().and_then(|p| p.listens.door) else {
                    continue;
                };
                let told = ask_door(door, "fleet").await.unwrap_or(Value::Null);
                let all = told["members"]
                    .as_array()
                    .is_some_and(|m| m.iter().all(|m| m["in_view"] == true));
                majority += u16::from(all && told["stance"] == "majority");
            }
            if majority == fronts {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// What reached the nodes, by the client's own words in the id.
    fn seen(&self) -> Vec<Seen> {
        let epoch = (Instant::now(), now());
        let mut all = Vec::new();
        for (i, (node, cold)) in self.nodes.iter().enumerate() {
            for s in lock(&node.seen).iter() {
                let at = epoch
                    .1
                    .saturating_sub(epoch.0.saturating_duration_since(s.at).as_micros() as u64);
                let (volume, units) = worded(&s.id).unwrap_or((0, 0));
                all.push(Seen {
                    at,
                    node: i,
                    cold: *cold,
                    id: s.id.clone(),
                    volume,
                    units,
                    ran: matches!(s.fate, Fate::Ran | Fate::Dropped),
                    dropped: s.fate == Fate::Dropped,
                    key: s.key.clone(),
                });
            }
        }
        all.sort_by_key(|s| s.at);
        all
    }

    /// Processor time of all that live now.
    fn cpu_ms(&self) -> f64 {
        let of = |p: &Process| p.cpu_ms().unwrap_or(0.0);
        self.fronts
            .iter()
            .filter_map(|f| f.process.as_ref())
            .map(of)
            .sum()
    }

    async fn end(&mut self) {
        for f in &mut self.fronts {
            for process in f.process.take().into_iter().chain(f.twin.take()) {
                process.kill().await;
            }
        }
    }
}

/// Shards of the warm nodes.
fn shards(script: &Script) -> u32 {
    if script.apart {
        NODES
    } else {
        SHARDS
    }
}

fn manner(shard: u32, seed: u64) -> Manner {
    Manner {
        shard,
        slots: 32,
        queue: 512,
        work: Duration::from_millis(2),
        seed,
        ..Manner::default()
    }
}

fn entry(node: usize, address: SocketAddr, shard: u32, started: u64) -> Entry {
    Entry {
        name: format!("s-{node}"),
        address,
        shard,
        lifecycle: "SERVING",
        started,
    }
}

/// Asks a front at its door for one JSON object.
pub async fn ask_door(door: SocketAddr, call: &str) -> Option<Value> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let asked = async {
        let mut stream = tokio::net::TcpStream::connect(door).await.ok()?;
        stream
            .write_all(format!("{call}\n").as_bytes())
            .await
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        serde_json::from_str(answer.lines().nth(1)?).ok()
    };
    tokio::time::timeout(Duration::from_millis(1500), asked)
        .await
        .ok()?
}

/// The requests: each front of a volume's set is asked for more than its even part, at moments by chance.
struct Load {
    dice: fastrand::Rng,
    pairs: Vec<(u16, u16)>,
    per_s: f64,
    at: f64,
    number: u64,
    hosts: u32,
    shards: u32,
    /// Until when the last shard is asked for more, in seconds.
    surge: f64,
}

impl Load {
    fn new(script: &Script, seed: u64) -> Load {
        let pairs = (0..script.volumes)
            .flat_map(|v| script.set(v).into_iter().map(move |f| (v, f)))
            .collect();
        let hosts = match script.spoilt {
            true => 1,
            false => u32::from(script.hosts.clamp(1, script.fronts)),
        };
        let each =
            LIMIT.0 / f64::from(script.hosts.clamp(1, script.fronts)) / f64::from(UNITS) * DEMAND;
        let dice = fastrand::Rng::with_seed(seed);
        let pairs: Vec<(u16, u16)> = pairs;
        let per_s = each * pairs.len() as f64 * 1.15;
        Load {
            dice,
            per_s,
            pairs,
            at: 0.0,
            number: 0,
            hosts,
            shards: shards(script),
            surge: 0.0,
        }
    }

    /// So many shards there are; one more than before is that of a cold node.
    fn shards(&mut self, shards: u32) {
        if std::mem::replace(&mut self.shards, shards) < shards {
            self.surge = self.at + COLD_DEMAND.1;
        }
    }

    fn next(&mut self, span: Duration) -> Option<(Duration, u16, Ask)> {
        let more = if self.at < self.surge {
            COLD_DEMAND.0 / f64::from(UNITS)
        } else {
            0.0
        };
        let cold = self.dice.f64() * (self.per_s + more) < more;
        self.at += -(1.0 - self.dice.f64()).ln() / (self.per_s + more);
        let at = Duration::from_secs_f64(self.at);
        if at >= span {
            return None;
        }
        self.number += 1;
        let (volume, front) = *self.dice.choice(&self.pairs)?;
        // A part of it is of volumes without a limit: it tells of fronts that don't answer.
        let limited = !cold && self.dice.u32(0..115) >= 15;
        let writes = !limited && !cold && self.dice.u32(0..4) > 0;
        let units = if limited || cold { UNITS } else { 1 };
        let volume = if limited {
            u64::from(volume) + 1
        } else {
            10_000 + u64::from(volume)
        };
        let ask = Ask {
            id: format!("{volume:08x}{units:02x}{:016x}", self.number),
            class: if writes { "new-write" } else { "read" },
            writes,
            plan: if limited { "basic" } else { "priority" },
            volume,
            key: 1 + self.dice.u64(0..1 << 40),
            units,
            shard: match (writes, cold) {
                (true, _) => -1,
                (_, true) => i64::from(self.shards) - 1,
                _ => i64::from(self.dice.u32(0..self.shards)),
            },
            hosts: self.hosts,
            deadline: Duration::from_secs(if writes { 4 } else { 2 }),
        };
        Some((at, front, ask))
    }
}

fn worded(id: &str) -> Option<(u64, u32)> {
    Some((
        u64::from_str_radix(id.get(..8)?, 16).ok()?,
        u32::from_str_radix(id.get(8..10)?, 16).ok()?,
    ))
}

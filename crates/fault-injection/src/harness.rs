//! Plays a script: starts the processes and the mock servers, carries out the acts, sends more requests than the limits
//! allow, and records everything for the checks.

use crate::history::{now, History, Moment};
use crate::process::{Guard, Process, StartOptions};
use crate::relay::{Fault, Relay, TcpRelay};
use crate::run_record::{
    NodeAttempt, RunRecord, SentRequest, LIMIT, NODE_CAPACITY, OVERLOAD_FACTOR,
};
use crate::script::{Act, Script};
use crate::HarnessError;
use mock_servers::discovery::{Discovery, Entry};
use mock_servers::load::{ClientRequest, Clients, RequestOutcome};
use mock_servers::node::{lock, AttemptOutcome, KeyedWrites, Node, NodeConfig};
use mock_servers::settings::configuration;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Number of warmed-up nodes, two for each shard. The nodes of a shard share their record of keyed writes.
const NODES: u32 = 4;
const SHARDS: u32 = NODES / 2;
/// At a warmed-up node, one attempt in this many breaks its connection, half of them after the request ran. Writes are then
/// retried.
const RESET_ONE_IN: u32 = 25;
/// Load of each volume on each front, as a multiple of the front's equal share of the limit.
const DEMAND_PER_SHARE: f64 = 2.4;
/// Cost in units of a request that counts against a limit.
const LIMITED_REQUEST_UNITS: u32 = 4;
/// The setting `coldBears`: the load in units per second that a warming-up node always bears. The policy sends up to twice
/// this. The load that overloads such a node is a quarter above that.
const SLOW_START_UNITS_PER_S: f64 = 60.0;
/// Additional load on the shard of a new warming-up node: units per second, and for how many seconds. It is several times the
/// load that overloads the node.
const SLOW_START_DEMAND: (f64, f64) = (400.0, 3.0);
/// How long a process may take to exit after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);
/// How long the fleet may take after the load until all requests are answered.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(6);

/// A script and the environment to play it in.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The script to play.
    pub script: Script,
    /// The program's path.
    pub program: PathBuf,
    /// The folder that holds a folder for each process. It is removed afterwards.
    pub folder: PathBuf,
    /// Settings of the section `[fleet]`, apart from names, addresses and keys.
    pub fleet: String,
}

/// The result of a played script.
pub struct PlayedScript {
    /// The record for the checks.
    pub run_record: RunRecord,
    /// The history of the run.
    pub history: Arc<History>,
}

struct Front {
    process: Option<Process>,
    twin: Option<Process>,
    /// Whether the history records the current process as a second one. This alternates with every upgrade.
    is_newer: bool,
    /// The listening socket that the front's processes inherit, if the script has an upgrade.
    socket: Option<std::net::TcpListener>,
    discovery: Discovery,
    discovery_relay: TcpRelay,
    client_relay: TcpRelay,
    node_relays: Vec<TcpRelay>,
    keys: Vec<String>,
    omitted_members: Vec<u16>,
}

struct Harness {
    plan: Plan,
    guard: Arc<Mutex<Guard>>,
    history: Arc<History>,
    relay: Relay,
    fronts: Vec<Front>,
    nodes: Vec<(Node, Option<Moment>)>,
    rng: fastrand::Rng,
    /// The acts that were carried out, for the checks.
    injected_acts: Vec<(Moment, Act)>,
    cuts: Vec<bool>,
}

/// Plays a script to its end. All processes are killed, even if it fails.
pub async fn play(plan: Plan) -> Result<PlayedScript, HarnessError> {
    plan.script.check().map_err(HarnessError::Script)?;
    let history = Arc::new(History::default());
    let folder = plan.folder.clone();
    let run_record = match Harness::new(plan, history.clone()).await {
        Ok(mut harness) => harness.run().await,
        Err(e) => Err(e),
    };
    let _ = std::fs::remove_dir_all(&folder);
    Ok(PlayedScript {
        run_record: run_record?,
        history,
    })
}

impl Harness {
    async fn new(plan: Plan, history: Arc<History>) -> Result<Harness, HarnessError> {
        let script = &plan.script;
        let n = usize::from(script.fronts);
        let mut rng = fastrand::Rng::with_seed(script.seed);
        let relay = Relay::new(n, rng.u64(..)).await?;
        let mut nodes = Vec::new();
        let shards = shards(script);
        let keyed_writes: Vec<KeyedWrites> = (0..shards).map(|_| KeyedWrites::default()).collect();
        for at in 0..NODES {
            let shard = at % shards;
            // With nodes that forget keyed writes, more retries make sure that the injected fault shows in each run.
            let resets = if script.spoilt {
                RESET_ONE_IN / 5
            } else {
                RESET_ONE_IN
            };
            let node_config = NodeConfig {
                resets,
                forgets_keys: script.spoilt,
                ..node_config(shard, rng.u64(..))
            };
            let group_keys = keyed_writes[shard as usize].clone();
            nodes.push((Node::start(node_config, group_keys).await?, None));
        }
        let mut fronts = Vec::new();
        let upgraded = script
            .acts
            .iter()
            .any(|(_, act)| matches!(act, Act::Upgrade { .. }));
        for _ in 0..n {
            let discovery = Discovery::start(Vec::new()).await?;
            let mut node_relays = Vec::new();
            for (i, (node, _)) in nodes.iter().enumerate() {
                let node_relay = TcpRelay::new(Some(node.address)).await?;
                discovery.set(entry(i, node_relay.address, i as u32 % shards, 0));
                node_relays.push(node_relay);
            }
            fronts.push(Front {
                process: None,
                twin: None,
                is_newer: false,
                socket: match upgraded {
                    true => Some(std::net::TcpListener::bind("127.0.0.1:0")?),
                    false => None,
                },
                discovery_relay: TcpRelay::new(Some(discovery.address)).await?,
                client_relay: TcpRelay::new(None).await?,
                discovery,
                node_relays,
                keys: script.keys.clone(),
                omitted_members: Vec::new(),
            });
        }
        let guard = Arc::new(Mutex::new(Guard::new()?));
        let cuts = vec![false; n * n];
        Ok(Harness {
            plan,
            guard,
            history,
            relay,
            fronts,
            nodes,
            rng,
            injected_acts: Vec::new(),
            cuts,
        })
    }

    fn start_options(&mut self, front: u16, twin: bool) -> Result<StartOptions<'_>, HarnessError> {
        let at = usize::from(front);
        let script = &self.plan.script;
        let name = format!("n{front}");
        let front_state = &self.fronts[at];
        let seed = self.rng.u64(..);
        let known_fronts = if script.spoilt {
            1
        } else {
            u32::from(script.fronts)
        };
        let mut config: Value = configuration(
            &name,
            front_state.discovery_relay.address,
            seed,
            known_fronts,
        );
        config["management"] = json!("127.0.0.1:0");
        let socket = match &front_state.socket {
            Some(socket) => {
                config["listen"] = json!(socket.local_addr()?);
                Some(socket.try_clone()?.into())
            }
            None => None,
        };
        config["settings"]["domain"]["coldBears"] = json!(SLOW_START_UNITS_PER_S);
        config["settings"]["safety"]["tipAfter"] = json!(1000.0);
        config["settings"]["safety"]["coldFrom"] = json!(NODE_CAPACITY.1);
        config["settings"]["safety"]["fallMultiple"] = json!(OVERLOAD_FACTOR);
        config["settings"]["safety"]["warmUp"] = json!(NODE_CAPACITY.2 * 1000.0);
        let mut operator = String::new();
        if script.fleet {
            operator +=
                &format!("[fleet]\nenabled = true\nname = \"{name}\"\nlisten = \"127.0.0.1:0\"\n");
            operator += &format!("keys = {}\n{}\n", json!(front_state.keys), self.plan.fleet);
            for j in (0..script.fronts).filter(|j| !front_state.omitted_members.contains(j)) {
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
        Ok(StartOptions {
            program: &self.plan.program,
            folder,
            config,
            operator,
            front,
            twin,
            socket,
        })
    }

    async fn start(&mut self, front: u16) -> Result<(), HarnessError> {
        let at = usize::from(front);
        if self.fronts[at].process.is_some() {
            return Ok(());
        }
        let (guard, history) = (self.guard.clone(), self.history.clone());
        history.record_running(front, false, true);
        let fleet = self.plan.script.fleet;
        let options = self.start_options(front, false)?;
        let process = Process::start(options, guard, history, fleet).await?;
        self.relay.set_target(at, process.addresses.fleet);
        self.fronts[at]
            .client_relay
            .set_target(process.addresses.clients);
        self.fronts[at].process = Some(process);
        Ok(())
    }

    async fn kill(&mut self, front: u16) {
        let front_state = &mut self.fronts[usize::from(front)];
        if let Some(process) = front_state.process.take() {
            front_state.client_relay.set_target(None);
            process.kill().await;
            self.relay.set_target(usize::from(front), None);
            self.history
                .record_running(front, front_state.is_newer, false);
            front_state.is_newer = false;
        }
    }

    /// Upgrades a front: starts a newer process, which takes over the fleet address of the older one, and ends the older one.
    async fn upgrade(&mut self, front: u16) -> Result<(), HarnessError> {
        let at = usize::from(front);
        let Some(old) = self.fronts[at].process.take() else {
            return Ok(());
        };
        let (old_mark, new_mark) = (self.fronts[at].is_newer, !self.fronts[at].is_newer);
        let (guard, history) = (self.guard.clone(), self.history.clone());
        let mut options = self.start_options(front, false)?;
        if let Some(own) = old.addresses.fleet {
            let any = "listen = \"127.0.0.1:0\"";
            options.operator = options
                .operator
                .replace(any, &format!("listen = \"{own}\""));
        }
        options.twin = new_mark;
        history.record_running(front, new_mark, true);
        // The newer process takes the fleet address once the older one has released it, so this does not wait for it.
        let mut new = Process::start(options, guard, history.clone(), false).await?;
        new.addresses.fleet = old.addresses.fleet;
        self.fronts[at]
            .client_relay
            .set_target(new.addresses.clients);
        (self.fronts[at].process, self.fronts[at].is_newer) = (Some(new), new_mark);
        old.signal(Signal::SIGTERM);
        tokio::spawn(async move {
            let mut old = old;
            old.wait_for_exit(SHUTDOWN_TIMEOUT).await;
            drop(old);
            history.record_running(front, old_mark, false);
        });
        Ok(())
    }

    async fn act(&mut self, act: &Act) -> Result<(), HarnessError> {
        self.history
            .record_act(serde_json::to_string(act).unwrap_or_default());
        self.injected_acts.push((now(), act.clone()));
        let n = usize::from(self.plan.script.fronts);
        match act {
            Act::Kill { front } => self.kill(*front).await,
            Act::Start { front } => self.start(*front).await?,
            Act::Stop { front } => self.signal(*front, Signal::SIGSTOP),
            Act::Cont { front } => self.signal(*front, Signal::SIGCONT),
            Act::Term { front } => self.signal(*front, Signal::SIGTERM),
            Act::Twin { front } => {
                let (guard, history) = (self.guard.clone(), self.history.clone());
                history.record_running(*front, true, true);
                let options = self.start_options(*front, true)?;
                let twin = Process::start(options, guard, history, true).await?;
                if let Some(at) = twin.addresses.fleet {
                    self.relay.add_twin(usize::from(*front), at).await?;
                }
                self.fronts[usize::from(*front)].twin = Some(twin);
            }
            Act::NoTwin { front } => {
                if let Some(twin) = self.fronts[usize::from(*front)].twin.take() {
                    twin.kill().await;
                    self.history.record_running(*front, true, false);
                }
            }
            Act::Path { from, to, fault } => {
                let at = (usize::from(*from), usize::from(*to));
                self.cuts[at.0 * n + at.1] = fault.cut;
                self.relay.set_fault(at.0, at.1, *fault);
            }
            Act::Net { fault } => {
                self.relay.update_all(|_, _, f| {
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
                self.apply_cuts();
            }
            Act::Mute { front } => {
                for to in 0..n {
                    self.cuts[usize::from(*front) * n + to] = true;
                }
                self.apply_cuts();
            }
            Act::Heal => {
                self.cuts.fill(false);
                self.apply_cuts();
            }
            Act::Nodes { front, cut } => {
                self.fronts[usize::from(*front)]
                    .node_relays
                    .iter()
                    .for_each(|relay| relay.set_cut(*cut));
            }
            Act::Discovery { front, cut } => self.fronts[usize::from(*front)]
                .discovery_relay
                .set_cut(*cut),
            Act::Keep { on } => self.relay.record(*on),
            Act::Again => self.relay.replay().await,
            Act::Keys { front, keys } => {
                let all = 0..self.fronts.len();
                for i in all.filter(|i| front.is_none_or(|f| usize::from(f) == *i)) {
                    self.fronts[i].keys = keys.clone();
                }
            }
            Act::Forgets { front, member } => self.fronts[usize::from(*front)]
                .omitted_members
                .push(*member),
            Act::Hang { node, on } => {
                if let Some((node, _)) = self.nodes.get(usize::from(*node)) {
                    node.hang(*on);
                }
            }
            Act::Cold => self.start_warming_up_node().await?,
            Act::Upgrade { front } => self.upgrade(*front).await?,
            Act::Joins { .. } => {}
        }
        Ok(())
    }

    fn apply_cuts(&self) {
        let n = self.fronts.len();
        self.relay
            .update_all(|from, to, f| f.cut = self.cuts[from * n + to]);
    }

    fn signal(&self, front: u16, signal: Signal) {
        if let Some(process) = &self.fronts[usize::from(front)].process {
            process.signal(signal);
        }
    }

    /// Starts a warming-up node for a new shard and lists it in every front's discovery.
    async fn start_warming_up_node(&mut self) -> Result<(), HarnessError> {
        let (at, since) = (self.nodes.len(), now());
        let shard = at as u32 - NODES + shards(&self.plan.script);
        let node =
            Node::start(node_config(shard, self.rng.u64(..)), KeyedWrites::default()).await?;
        for front_state in &mut self.fronts {
            let node_relay = TcpRelay::new(Some(node.address)).await?;
            front_state
                .discovery
                .set(entry(at, node_relay.address, shard, since / 1000));
            front_state.node_relays.push(node_relay);
        }
        self.nodes.push((node, Some(since)));
        Ok(())
    }

    async fn run(&mut self) -> Result<RunRecord, HarnessError> {
        let script = self.plan.script.clone();
        if !script.late {
            for front in 0..script.fronts {
                self.start(front).await?;
            }
            if script.fleet {
                self.wait_for_view(script.fronts).await;
            }
        }
        self.history.record_act("the load begins".into());
        let (began, from) = (Instant::now(), now());
        // Datagrams from before the load are not counted.
        let sent_before: Vec<(u64, u64)> =
            (0..self.fronts.len()).map(|i| self.relay.sent(i)).collect();
        let span = Duration::from_secs_f64(script.seconds);
        let mut acts: Vec<(u64, Act)> = script.acts.clone();
        acts.sort_by_key(|(at, _)| *at);
        let mut acts = acts.into_iter().peekable();
        let clients = Clients::default();
        let mut pending: JoinSet<(SentRequest, RequestOutcome)> = JoinSet::new();
        let mut done: Vec<(SentRequest, RequestOutcome)> = Vec::new();
        let mut load = Load::new(&script, self.rng.u64(..));
        let mut next_request = load.next(span);
        loop {
            let act = acts.peek().map(|(at, _)| Duration::from_millis(*at));
            let due = match (act, next_request.as_ref().map(|next| next.0)) {
                (Some(act), Some(request)) => act.min(request),
                (Some(act), None) if act <= span => act,
                (_, Some(request)) => request,
                _ => break,
            };
            sleep_until(began + due).await;
            while let Some((_, act)) = acts.next_if(|(at, _)| Duration::from_millis(*at) <= due) {
                if let Act::Joins { volume, front } = act {
                    load.pairs.push((volume, front));
                }
                self.act(&act).await?;
            }
            while let Some((_, front, request)) = next_request.take_if(|next| next.0 <= due) {
                let at = self.fronts[usize::from(front)].client_relay.address;
                let is_running = self.fronts[usize::from(front)].process.is_some();
                let clients = clients.clone();
                let sent_request = SentRequest {
                    at: now(),
                    front,
                    volume: request.volume,
                    units: request.units,
                    limited: request.plan == "basic",
                    writes: request.writes,
                };
                // A front without a process cannot lose requests.
                if is_running {
                    pending
                        .spawn(async move { (sent_request, clients.send(at, &request).await.0) });
                }
                // The shard of a warming-up node gets load as soon as the node is listed.
                load.shards(self.nodes.len() as u32 - NODES + shards(&script));
                next_request = load.next(span);
            }
            while let Some(Ok(finished)) = pending.try_join_next() {
                done.push(finished);
            }
        }
        let to = now();
        let rest = async {
            while let Some(Ok(finished)) = pending.join_next().await {
                done.push(finished);
            }
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
        let all = sent_before
            .iter()
            .enumerate()
            .map(|(i, b)| (self.relay.sent(i), b));
        let sent = all.map(|(sent, b)| (sent.0 - b.0, sent.1 - b.1)).collect();
        let seen = self.node_attempts();
        let cpu_ms = self.cpu_ms();
        let mut started = 0;
        for (_, entry) in self.history.entries() {
            started += u64::from(matches!(entry, crate::history::Entry::Running(_, _, true)));
        }
        self.kill_all().await;
        let (history, injected_acts) = (
            self.history.entries(),
            std::mem::take(&mut self.injected_acts),
        );
        Ok(RunRecord {
            span: from..to,
            history,
            injected_acts,
            seen,
            done,
            sent,
            processes: started,
            cpu_ms,
        })
    }

    /// Waits until all fronts have accepted a view with all members, for 30 s at most.
    async fn wait_for_view(&self, fronts: u16) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let mut majority = 0;
            for front_state in &self.fronts {
                let Some(management) = front_state
                    .process
                    .as_ref()
                    .and_then(|p| p.addresses.management)
                else {
                    continue;
                };
                let status = query_management(management, "fleet")
                    .await
                    .unwrap_or(Value::Null);
                let all = status["members"]
                    .as_array()
                    .is_some_and(|m| m.iter().all(|m| m["in_view"] == true));
                majority += u16::from(all && status["stance"] == "majority");
            }
            if majority == fronts {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// The attempts that reached the nodes. Volume and units come from the request ID.
    fn node_attempts(&self) -> Vec<NodeAttempt> {
        let epoch = (Instant::now(), now());
        let mut all = Vec::new();
        for (i, (node, cold)) in self.nodes.iter().enumerate() {
            for attempt in lock(&node.attempts).iter() {
                let at = epoch.1.saturating_sub(
                    epoch.0.saturating_duration_since(attempt.at).as_micros() as u64,
                );
                let (volume, units) = parse_request_id(&attempt.id).unwrap_or((0, 0));
                all.push(NodeAttempt {
                    at,
                    node: i,
                    cold: *cold,
                    id: attempt.id.clone(),
                    volume,
                    units,
                    ran: matches!(
                        attempt.outcome,
                        AttemptOutcome::Ran | AttemptOutcome::Deduplicated
                    ),
                    dropped: attempt.outcome == AttemptOutcome::Deduplicated,
                    key: attempt.key.clone(),
                });
            }
        }
        all.sort_by_key(|attempt| attempt.at);
        all
    }

    /// CPU time of all processes that run now, in milliseconds.
    fn cpu_ms(&self) -> f64 {
        let cpu_ms = |process: &Process| process.cpu_ms().unwrap_or(0.0);
        self.fronts
            .iter()
            .filter_map(|front_state| front_state.process.as_ref())
            .map(cpu_ms)
            .sum()
    }

    async fn kill_all(&mut self) {
        for front_state in &mut self.fronts {
            for process in front_state
                .process
                .take()
                .into_iter()
                .chain(front_state.twin.take())
            {
                process.kill().await;
            }
        }
    }
}

/// Number of shards of the warmed-up nodes.
fn shards(script: &Script) -> u32 {
    if script.apart {
        NODES
    } else {
        SHARDS
    }
}

fn node_config(shard: u32, seed: u64) -> NodeConfig {
    NodeConfig {
        shard,
        slots: 32,
        queue: 512,
        mean_work: Duration::from_millis(2),
        seed,
        ..NodeConfig::default()
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

/// Sends a command to a front's management address and returns the JSON object that it answers with.
pub async fn query_management(management: SocketAddr, call: &str) -> Option<Value> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let exchange = async {
        let mut stream = tokio::net::TcpStream::connect(management).await.ok()?;
        stream
            .write_all(format!("{call}\n").as_bytes())
            .await
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        serde_json::from_str(answer.lines().nth(1)?).ok()
    };
    tokio::time::timeout(Duration::from_millis(1500), exchange)
        .await
        .ok()?
}

/// The load generator. Requests arrive as a Poisson process. Each front of a volume gets more than its equal share of the
/// limit.
struct Load {
    rng: fastrand::Rng,
    pairs: Vec<(u16, u16)>,
    requests_per_s: f64,
    at: f64,
    number: u64,
    hosts: u32,
    shards: u32,
    /// Until when the newest shard gets additional load, in seconds.
    surge_until_s: f64,
}

impl Load {
    fn new(script: &Script, seed: u64) -> Load {
        let pairs = (0..script.volumes)
            .flat_map(|v| script.fronts_of(v).into_iter().map(move |f| (v, f)))
            .collect();
        let hosts = match script.spoilt {
            true => 1,
            false => u32::from(script.hosts.clamp(1, script.fronts)),
        };
        let each = LIMIT.0
            / f64::from(script.hosts.clamp(1, script.fronts))
            / f64::from(LIMITED_REQUEST_UNITS)
            * DEMAND_PER_SHARE;
        let rng = fastrand::Rng::with_seed(seed);
        let pairs: Vec<(u16, u16)> = pairs;
        let requests_per_s = each * pairs.len() as f64 * 1.15;
        Load {
            rng,
            requests_per_s,
            pairs,
            at: 0.0,
            number: 0,
            hosts,
            shards: shards(script),
            surge_until_s: 0.0,
        }
    }

    /// Sets the number of shards. A higher number than before means a new warming-up node.
    fn shards(&mut self, shards: u32) {
        if std::mem::replace(&mut self.shards, shards) < shards {
            self.surge_until_s = self.at + SLOW_START_DEMAND.1;
        }
    }

    fn next(&mut self, span: Duration) -> Option<(Duration, u16, ClientRequest)> {
        let warm_up_requests_per_s = if self.at < self.surge_until_s {
            SLOW_START_DEMAND.0 / f64::from(LIMITED_REQUEST_UNITS)
        } else {
            0.0
        };
        let to_warming_up_node = self.rng.f64() * (self.requests_per_s + warm_up_requests_per_s)
            < warm_up_requests_per_s;
        self.at += -(1.0 - self.rng.f64()).ln() / (self.requests_per_s + warm_up_requests_per_s);
        let at = Duration::from_secs_f64(self.at);
        if at >= span {
            return None;
        }
        self.number += 1;
        let (volume, front) = *self.rng.choice(&self.pairs)?;
        // 15 of 115 requests go to volumes without a limit. They show whether a front answers at all.
        let limited = !to_warming_up_node && self.rng.u32(0..115) >= 15;
        let writes = !limited && !to_warming_up_node && self.rng.u32(0..4) > 0;
        let units = if limited || to_warming_up_node {
            LIMITED_REQUEST_UNITS
        } else {
            1
        };
        let volume = if limited {
            u64::from(volume) + 1
        } else {
            10_000 + u64::from(volume)
        };
        let request = ClientRequest {
            id: format!("{volume:08x}{units:02x}{:016x}", self.number),
            class: if writes { "new-write" } else { "read" },
            writes,
            plan: if limited { "basic" } else { "priority" },
            volume,
            key: 1 + self.rng.u64(0..1 << 40),
            units,
            shard: match (writes, to_warming_up_node) {
                (true, _) => -1,
                (_, true) => i64::from(self.shards) - 1,
                _ => i64::from(self.rng.u32(0..self.shards)),
            },
            hosts: self.hosts,
            deadline: Duration::from_secs(if writes { 4 } else { 2 }),
        };
        Some((at, front, request))
    }
}

fn parse_request_id(id: &str) -> Option<(u64, u32)> {
    Some((
        u64::from_str_radix(id.get(..8)?, 16).ok()?,
        u32::from_str_radix(id.get(8..10)?, 16).ok()?,
    ))
}

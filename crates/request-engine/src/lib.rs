//! The core: one [`Balancer`], the open requests, the node table and the timers. It knows no wire. Fronts hand it
//! requests and reports through a [`Handle`] and carry out the [`Order`]s it gives them.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod clock;
mod nodes;
mod permit;
mod places;

pub use clock::Clock;
pub use nodes::{Listing, Target};
pub use permit::SendPermit;

use lupinrack_extent_map::{self as extents, Version};
use lupinrack_policy::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Events that may wait for the core's next turn; who would add more waits.
const INBOX: usize = 4096;
/// Probes that may wait for the prober.
const PROBES: usize = 64;

/// What reaches the core.
#[derive(Debug)]
enum Input {
    Open(Request, mpsc::Sender<Order>),
    Ended {
        request: RequestId,
        attempt: u16,
        outcome: Outcome,
        load: Option<LoadReport>,
    },
    TurnedAway {
        request: RequestId,
        attempt: u16,
        hint: Option<Version>,
    },
    Extents(extents::Input),
    Began(RequestId, u16),
    More(RequestId, f64),
    Moved(RequestId, u64),
    ClientGone(RequestId),
    Dropped(RequestId),
    List(NodeListKind, Vec<Listing>),
    Probed {
        node: NodeId,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<LoadReport>,
    },
    Settings(Settings),
    Part(f64, oneshot::Sender<()>),
    QuotaShares(Box<QuotaShares>, oneshot::Sender<()>),
    Serving(oneshot::Sender<Vec<Served>>),
    Targets(oneshot::Sender<(usize, usize)>),
    Silent(oneshot::Sender<Silent>),
    Trials(Vec<Arc<str>>, Micros),
    Back(Arc<str>),
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// Served whole.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The client left first.
    ClientGone,
}

/// A finished request or transfer.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The request as it was opened.
    pub request: Request,
    /// When it was opened.
    pub opened: Micros,
    /// When it ended for its client.
    pub ended: Micros,
    /// All units that it was let to move.
    pub units: f64,
    /// Bytes passed on to the client.
    pub bytes: u64,
    /// Attempts sent.
    pub attempts: u16,
    /// How it ended.
    pub end: FlowEnd,
}

/// What the core has a request's owner do.
#[derive(Debug)]
pub enum Order {
    /// Start this attempt, and report its end exactly once.
    Send(Attempt),
    /// Stop waiting for an attempt.
    Cancel(u16),
    /// Move the units that were asked for.
    Grant,
    /// Final: refused; the client may come back after the time given.
    Refuse(Option<Duration>),
    /// Final: failed.
    Fail,
}

/// The nodes that do not answer, by name, and those that said something since the last such question.
pub type Silent = (Vec<Arc<str>>, Vec<Arc<str>>);

/// A volume with a limit that this front served of late, and through how many fronts it works.
pub type Served = (VolumeId, f64);

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt {
    /// Its number among the request's attempts.
    pub number: u16,
    /// Where to.
    pub to: Target,
    /// When to stop waiting.
    pub until: Micros,
    /// From this reading on it may not be begun: the right that it draws on has ended, or nodes may have forgotten what it repeats.
    pub begin_by: Micros,
    /// For its one sending.
    pub permit: SendPermit,
}

/// A front's end of the core.
#[derive(Clone)]
pub struct Handle {
    inbox: mpsc::Sender<Input>,
    numbers: Arc<AtomicU32>,
    orders: Arc<AtomicUsize>,
    /// The clock that all readings are on.
    pub clock: Clock,
}

/// One open request, held by the task that owns it. Dropped early, its attempts count as broken.
pub struct Ticket {
    teller: Teller,
    orders: mpsc::Receiver<Order>,
    settled: bool,
}

/// The way back from a request to the core.
#[derive(Clone)]
pub struct Teller {
    id: RequestId,
    inbox: mpsc::Sender<Input>,
}

impl Handle {
    /// Opens a request; the core numbers it.
    pub async fn open(&self, mut request: Request) -> Ticket {
        request.id = RequestId(self.numbers.fetch_add(1, Ordering::Relaxed));
        let (to, orders) = mpsc::channel(self.orders.load(Ordering::Relaxed));
        let _ = self.inbox.send(Input::Open(request, to)).await;
        let teller = Teller {
            id: request.id,
            inbox: self.inbox.clone(),
        };
        Ticket {
            teller,
            orders,
            settled: false,
        }
    }

    /// Hands on news of the node list.
    pub async fn list(&self, kind: NodeListKind, nodes: Vec<Listing>) {
        let _ = self.inbox.send(Input::List(kind, nodes)).await;
    }

    /// Hands on what the extent authority or a peer said.
    pub async fn extents(&self, input: extents::Input) {
        let _ = self.inbox.send(Input::Extents(input)).await;
    }

    /// Hands on new settings; requests opened after this are under them.
    pub async fn settings(&self, settings: Settings) {
        self.orders.fetch_max(orders(&settings), Ordering::Relaxed);
        let _ = self.inbox.send(Input::Settings(settings)).await;
    }

    /// Has the module use this part of what is this front's; done once it does.
    pub async fn part(&self, part: f64) {
        let (tell, told) = oneshot::channel();
        if self.inbox.send(Input::Part(part, tell)).await.is_ok() {
            let _ = told.await;
        }
    }

    /// Hands on what this front may use of what its fleet shares; done once the module goes by it.
    pub async fn rights(&self, rights: QuotaShares) {
        let (tell, done) = oneshot::channel();
        if self
            .inbox
            .send(Input::QuotaShares(Box::new(rights), tell))
            .await
            .is_ok()
        {
            let _ = done.await;
        }
    }

    /// The volumes with limits that were served since the last such question; none once the core is gone.
    pub async fn serving(&self) -> Option<Vec<Served>> {
        let (tell, told) = oneshot::channel();
        self.inbox.send(Input::Serving(tell)).await.ok()?;
        told.await.ok()
    }

    /// How many nodes are listed, and how many of them the module avoids now; none once the core is gone.
    pub async fn targets(&self) -> Option<(usize, usize)> {
        let (tell, told) = oneshot::channel();
        self.inbox.send(Input::Targets(tell)).await.ok()?;
        told.await.ok()
    }

    /// The listed nodes that do not answer, and those that said something since the last such question; none once the core is gone.
    pub async fn silent(&self) -> Option<Silent> {
        let (tell, told) = oneshot::channel();
        self.inbox.send(Input::Silent(tell)).await.ok()?;
        told.await.ok()
    }

    /// From here on nodes that do not answer are tried as the fleet grants it: each of these once, until this moment.
    pub async fn trials(&self, granted: Vec<Arc<str>>, until: Micros) {
        let _ = self.inbox.send(Input::Trials(granted, until)).await;
    }

    /// Another front saw this node answer again.
    pub async fn back(&self, node: Arc<str>) {
        let _ = self.inbox.send(Input::Back(node)).await;
    }

    /// Reports the end of a probe.
    pub async fn probed(
        &self,
        node: NodeId,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<LoadReport>,
    ) {
        let _ = self
            .inbox
            .send(Input::Probed {
                node,
                outcome,
                elapsed,
                load,
            })
            .await;
    }
}

impl Ticket {
    /// The next order; none once the request is over and nothing of it is out.
    pub async fn order(&mut self) -> Option<Order> {
        let order = self.orders.recv().await;
        self.settled |= order.is_none();
        order
    }

    /// The way back to the core, for whoever makes the attempts.
    pub fn teller(&self) -> Teller {
        self.teller.clone()
    }
}

impl Teller {
    /// Reports that the answer of an attempt has begun to pass on: from here on it belongs to the client.
    pub async fn began(&self, attempt: u16) {
        let _ = self.inbox.send(Input::Began(self.id, attempt)).await;
    }

    /// Asks to move more units of a transfer in hand; [`Order::Grant`] answers.
    pub async fn more(&self, units: f64) {
        let _ = self.inbox.send(Input::More(self.id, units)).await;
    }

    /// Reports bytes passed on to the client.
    pub async fn moved(&self, bytes: u64) {
        let _ = self.inbox.send(Input::Moved(self.id, bytes)).await;
    }

    /// Reports how an attempt ended.
    pub async fn ended(&self, attempt: u16, outcome: Outcome, load: Option<LoadReport>) {
        let _ = self
            .inbox
            .send(Input::Ended {
                request: self.id,
                attempt,
                outcome,
                load,
            })
            .await;
    }

    /// Reports that a node turned an attempt away unrun because the data lies elsewhere, as of `hint`.
    pub async fn turned_away(&self, attempt: u16, hint: Option<Version>) {
        let _ = self
            .inbox
            .send(Input::TurnedAway {
                request: self.id,
                attempt,
                hint,
            })
            .await;
    }

    /// Reports that the client left; nothing is owed any more.
    pub async fn client_gone(&self) {
        let _ = self.inbox.send(Input::ClientGone(self.id)).await;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        // An owner that ends early (its connection's task was dropped) must not leave the module waiting.
        if !self.settled {
            let (inbox, id) = (self.teller.inbox.clone(), self.teller.id);
            if inbox.try_send(Input::Dropped(id)).is_err() {
                if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                    runtime.spawn(async move { inbox.send(Input::Dropped(id)).await.is_ok() });
                }
            }
        }
    }
}

/// An open request as the core sees it.
struct Open {
    orders: mpsc::Sender<Order>,
    request: Request,
    opened: Micros,
    end: Option<(FlowEnd, Micros)>,
    units: f64,
    asked: f64,
    bytes: u64,
    tries: u16,
    /// The attempts out: number, node, when it was sent, and the shard that it was sent for.
    out: Vec<(u16, NodeId, Micros, Option<Shard>)>,
    /// The shard that its client named.
    said: Option<Shard>,
}

/// A Send and a Cancel for each attempt, one Grant at a time, and one final answer: the queue of orders never overflows.
fn orders(settings: &Settings) -> usize {
    2 * settings.max_attempts.clamp(1, 1024) as usize + 3
}

/// The loop round the [`Balancer`].
pub struct Core {
    balancer: Balancer,
    grace: Micros,
    clock: Clock,
    inbox: mpsc::Receiver<Input>,
    probes: mpsc::Sender<Target>,
    nodes: Nodes,
    open: BTreeMap<RequestId, Open>,
    flows: Option<mpsc::Sender<Flow>>,
    timers: BinaryHeap<Reverse<(Micros, u32)>>,
    actions: Vec<Action>,
    places: Option<Places>,
    /// What the fleet lets this front use, and what it served; none where there is no fleet.
    fleet: Option<Fleet>,
    /// Nodes that said something since the last question; none where nobody asks.
    heard: Option<BTreeSet<NodeId>>,
    limited: Vec<bool>,
}

/// What is kept for a fleet between two questions.
#[derive(Default)]
struct Fleet {
    until: Micros,
    served: BTreeMap<VolumeId, f64>,
}

/// Volumes that are noted between two questions; further ones are noted after the next.
const SERVED_MOST: usize = 4096;

fn limited(settings: &Settings) -> Vec<bool> {
    settings.plans.iter().map(|p| p.limit.is_some()).collect()
}

use nodes::Nodes;
use places::Places;

impl Core {
    /// A core, the handle for its fronts, and the queue of nodes to probe.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
    ) -> (Core, Handle, mpsc::Receiver<Target>) {
        let (inbox, input) = mpsc::channel(INBOX);
        let (probes, to_probe) = mpsc::channel(PROBES);
        let orders = Arc::new(AtomicUsize::new(orders(&settings)));
        let core = Core {
            grace: settings.drain_grace,
            limited: limited(&settings),
            fleet: None,
            heard: None,
            balancer: Balancer::new(settings, seed),
            clock,
            inbox: input,
            probes,
            nodes: Nodes::default(),
            open: BTreeMap::new(),
            flows: None,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            places: None,
        };
        (
            core,
            Handle {
                inbox,
                numbers: Arc::new(AtomicU32::new(1)),
                orders,
                clock,
            },
            to_probe,
        )
    }

    /// Has each finished request told here; where the queue is full, it is dropped.
    pub fn tell_flows(mut self, to: mpsc::Sender<Flow>) -> Core {
        self.flows = Some(to);
        self
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            let places = self.places.as_ref().and_then(|p| p.wake);
            let due = self
                .timers
                .peek()
                .map(|t| t.0 .0)
                .into_iter()
                .chain(places)
                .min();
            let due = due.map(|at| self.clock.instant(at));
            let sleep = async {
                match due {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                n = self.inbox.recv_many(&mut batch, INBOX) => if n == 0 { return },
                () = sleep => {}
            }
            // One reading a turn: all that is drained now happened at this moment.
            let now = self.clock.now();
            for input in batch.drain(..) {
                self.take(now, input);
            }
            while self.timers.peek().is_some_and(|t| t.0 .0 <= now) {
                if let Some(Reverse((_, token))) = self.timers.pop() {
                    self.tell(now, Event::Timer(token));
                }
            }
            self.settle_places(now);
        }
    }

    fn take(&mut self, now: Micros, input: Input) {
        match input {
            Input::Open(request, orders) => {
                let (units, asked, bytes, tries, out) = (request.units, 0.0, 0, 0, Vec::new());
                let (said, request) = (request.shard, self.placed(now, request));
                let open = Open {
                    orders,
                    request,
                    opened: now,
                    end: None,
                    units,
                    asked,
                    bytes,
                    tries,
                    out,
                    said,
                };
                self.open.insert(request.id, open);
                if let Some(fleet) = &mut self.fleet {
                    let counts = self.limited.get(request.plan as usize) == Some(&true);
                    if counts
                        && (fleet.served.len() < SERVED_MOST
                            || fleet.served.contains_key(&request.volume))
                    {
                        fleet.served.insert(request.volume, request.hosts);
                    }
                }
                self.tell(now, Event::RequestArrived(request));
            }
            Input::Ended {
                request,
                attempt,
                outcome,
                load,
            } => self.ended(now, request, attempt, outcome, load),
            Input::TurnedAway {
                request,
                attempt,
                hint,
            } => self.turned_away(now, request, attempt, hint),
            Input::Extents(input) => self.on_extents(now, input),
            Input::Began(request, attempt) => {
                self.tell(now, Event::ResponseStarted { request, attempt })
            }
            Input::More(request, units) => {
                self.open.entry(request).and_modify(|o| o.asked = units);
                self.tell(now, Event::UnitsRequested { request, units });
            }
            Input::Moved(id, bytes) => {
                self.open.entry(id).and_modify(|o| o.bytes += bytes);
            }
            Input::ClientGone(id) => self.client_gone(now, id),
            Input::Dropped(id) => {
                self.client_gone(now, id);
                let out = self.open.get(&id).map_or(Vec::new(), |o| o.out.clone());
                for (attempt, ..) in out {
                    self.ended(now, id, attempt, Outcome::Reset, None);
                }
            }
            Input::List(kind, list) => {
                let entries = self.nodes.apply(now, self.grace, kind, list);
                self.tell(now, Event::NodeList { kind, entries });
            }
            Input::Settings(settings) => {
                self.grace = settings.drain_grace;
                self.limited = limited(&settings);
                self.tell(now, Event::Settings(Box::new(settings)));
            }
            Input::Part(part, tell) => {
                self.tell(now, Event::ProcessShare(part));
                let _ = tell.send(());
            }
            Input::QuotaShares(rights, done) => {
                self.fleet.get_or_insert_default().until = rights.valid_until;
                self.tell(now, Event::QuotaShares(rights));
                let _ = done.send(());
            }
            Input::Serving(tell) => {
                let served = self.fleet.as_mut().map(|f| std::mem::take(&mut f.served));
                let _ = tell.send(served.into_iter().flatten().collect());
            }
            Input::Targets(tell) => {
                let avoided = self.balancer.targets().filter(|t| t.1).count();
                let _ = tell.send((self.balancer.targets().count(), avoided));
            }
            Input::Silent(tell) => {
                let name = |id: NodeId| Some(self.nodes.target(id)?.name);
                let silent = self
                    .balancer
                    .targets()
                    .filter(|t| t.2)
                    .filter_map(|t| name(t.0))
                    .collect();
                let heard = self.heard.get_or_insert_default();
                let _ = tell.send((
                    silent,
                    std::mem::take(heard).into_iter().filter_map(name).collect(),
                ));
            }
            Input::Trials(names, until) => {
                let granted = names
                    .iter()
                    .filter_map(|name| Some((self.nodes.id(name)?, until)))
                    .collect();
                self.tell(now, Event::ProbationGrants(granted));
            }
            Input::Back(name) => {
                if let Some(node) = self.nodes.id(&name) {
                    self.tell(now, Event::NodeRecovered(node));
                }
            }
            Input::Probed {
                node,
                outcome,
                elapsed,
                load,
            } => {
                self.tell(
                    now,
                    Event::HealthChecked {
                        node,
                        outcome,
                        elapsed,
                        load,
                    },
                );
            }
        }
    }

    fn client_gone(&mut self, now: Micros, id: RequestId) {
        // The module may have ended it a moment ago: then the news is of no use to it.
        if let Some(o) = self.open.get_mut(&id).filter(|o| o.end.is_none()) {
            o.end = Some((FlowEnd::ClientGone, now));
            self.tell(now, Event::ClientGone(id));
            self.settle(id);
        }
    }

    fn ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u16,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let Some(o) = self.open.get_mut(&id) else {
            return;
        };
        // Exactly one outcome for each Send: a second report finds nothing out.
        let Some(at) = o.out.iter().position(|a| a.0 == attempt) else {
            return;
        };
        let (_, node, sent, _) = o.out.swap_remove(at);
        self.heard
            .iter_mut()
            .for_each(|h| h.extend(outcome.is_node_response().then_some(node)));
        if outcome == Outcome::Ok {
            o.end = o.end.or(Some((FlowEnd::Served, now)));
        }
        let answer = AttemptEnd {
            request: id,
            attempt,
            node,
            outcome,
            elapsed: now - sent,
            request_finished: o.end.is_some(),
            volume_usage: None,
            units_through_other_hosts: 0.0,
            load,
        };
        self.tell(now, Event::AttemptEnded(answer));
        self.settle(id);
    }

    /// Lets go of a request that is over with nothing out; its owner then sees the end of its orders.
    fn settle(&mut self, id: RequestId) {
        let Some((end, ended)) = self
            .open
            .get(&id)
            .filter(|o| o.out.is_empty())
            .and_then(|o| o.end)
        else {
            return;
        };
        let Some(o) = self.open.remove(&id) else {
            return;
        };
        if let Some(flows) = &self.flows {
            let (request, opened, units, bytes, attempts) =
                (o.request, o.opened, o.units, o.bytes, o.tries);
            let _ = flows.try_send(Flow {
                request,
                opened,
                ended,
                units,
                bytes,
                attempts,
                end,
            });
        }
    }

    /// Tells the module and carries out what it answers, and what comes of that at once.
    fn tell(&mut self, now: Micros, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(now, action));
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Micros, action: Action) -> Vec<Event> {
        match action {
            Action::Send {
                request,
                node,
                timeout,
                begin_by,
            } => return self.send(now, request, node, timeout, begin_by),
            Action::Cancel { request, attempt } => {
                if let Some(o) = self.open.get(&request) {
                    let _ = o.orders.try_send(Order::Cancel(attempt));
                }
            }
            Action::Grant { request } => {
                if let Some(o) = self.open.get_mut(&request) {
                    o.units += std::mem::take(&mut o.asked);
                    let _ = o.orders.try_send(Order::Grant);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let after = retry_after.map(|t| Duration::from_micros(t.max(0) as u64));
                self.finish(now, request, FlowEnd::Refused, Order::Refuse(after));
            }
            Action::Fail { request } => self.finish(now, request, FlowEnd::Failed, Order::Fail),
            Action::SetTimer { at, token } => self.timers.push(Reverse((at, token))),
            Action::HealthCheck(node) => {
                // Dropped where the prober is behind: a probe is a look, not a duty.
                if let Some(target) = self.nodes.target(node) {
                    let _ = self.probes.try_send(target);
                }
            }
            // The watch of the list runs from the start to the end; there is nothing to ask for.
            Action::Subscribe | Action::FetchList => {}
            Action::Log(line) => tracing::info!("{line}"),
        }
        Vec::new()
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        node: NodeId,
        timeout: Option<Micros>,
        begin_by: Micros,
    ) -> Vec<Event> {
        let Some(request) = self.open.get(&id).map(|o| o.request) else {
            return Vec::new();
        };
        let moved = self.moved(now, &request);
        let Some(o) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let number = o.tries;
        o.tries += 1;
        // A right that ends while the attempt is on its way ends the attempt; what draws on the reserve has no end.
        let right = self
            .fleet
            .as_ref()
            .map(|f| f.until)
            .filter(|u| now < *u)
            .unwrap_or(Micros::MAX);
        let begin_by = right.min(begin_by);
        let until = timeout.map_or(o.request.client_deadline, |t| {
            o.request.client_deadline.min(now + t)
        });
        let sent = self
            .nodes
            .target(node)
            .filter(|_| o.end.is_none() && moved.is_none())
            .is_some_and(|to| {
                let permit = SendPermit::for_order();
                o.orders
                    .try_send(Order::Send(Attempt {
                        number,
                        to,
                        until,
                        begin_by,
                        permit,
                    }))
                    .is_ok()
            });
        if sent {
            o.out.push((number, node, now, o.request.shard));
            return Vec::new();
        }
        // Nobody is there to carry it out, or its data lies elsewhere by now. It was never sent, and the module hears so.
        let never = Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt: number,
            node,
            outcome: if moved.is_some() {
                Outcome::WrongShard
            } else {
                Outcome::NotSent
            },
            elapsed: 0,
            request_finished: o.end.is_some(),
            volume_usage: None,
            units_through_other_hosts: 0.0,
            load: None,
        });
        let Some(shard) = moved else {
            return vec![never];
        };
        (o.request.shard, o.request.shard_unknown) = (Some(shard), false);
        vec![
            never,
            Event::ShardChanged {
                request: id,
                shard: Some(shard),
            },
        ]
    }

    fn finish(&mut self, now: Micros, id: RequestId, end: FlowEnd, order: Order) {
        if let Some(o) = self.open.get_mut(&id).filter(|o| o.end.is_none()) {
            o.end = Some((end, now));
            let _ = o.orders.try_send(order);
            self.settle(id);
        }
    }
}

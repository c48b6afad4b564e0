//! The words the decision module speaks: settings at start, events in, actions out. No logic lives here.
//!
//! Times are integer microseconds on the embedder's clock, which may start anywhere and only advances.

/// Microseconds: a clock reading or a span.
pub type Micros = i64;

/// A request, as the embedder numbers it; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// A storage node; the same before and after a restart of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);
/// A volume: the stream that reserve, limit and share are counted for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);
/// A piece of data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);
/// The part of the data that a node (or the node that succeeds it) holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);
/// A place: nodes of one zone share their links to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Zone(pub u8);

/// Which nodes drop the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every node.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Cell,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing more than the first did.
    Safe,
    /// Dropped by the nodes of the group, for a while after the first attempt that may have run.
    Keyed {
        /// Which nodes drop it.
        group: Group,
        /// For how long.
        window: Micros,
    },
    /// The effect again.
    Unsafe,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns its full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// Whether a repeat is harmless.
    pub effect: Effect,
    /// Requests with one key run one at a time, in the order taken.
    pub in_order: bool,
    /// The answer is a stream.
    pub streamed: bool,
    /// Worth of a request answered within its aim.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_share: f64,
    /// It writes.
    pub writes: bool,
}

/// A bucket that all hosts together draw from.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// The most it holds; full at first.
    pub burst: f64,
    /// How far it may fall below zero.
    pub slack: f64,
}

/// A plan: figures for each of its volumes, over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Weight of the volume's share.
    pub weight: f64,
    /// Units a second that earn their full worth.
    pub reserve: f64,
    /// Units a second the volume is sized for.
    pub nominal: f64,
    /// Multiplier on the worth.
    pub price: f64,
    /// The limit, where there is one.
    pub limit: Option<Limit>,
}

/// How news of nodes arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    #[default]
    Push,
    /// After a subscription or a fetch. A host without either for `within` counts as informed all the same.
    Ask {
        /// The time after which a silent host counts as informed.
        within: Micros,
    },
}

/// The rule on nodes that have just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Units within `window`, from all hosts together, that a node just started always bears.
    pub bears: f64,
    /// Share of its capacity that a node starts with, at the least.
    pub from: f64,
    /// Sent more than this many times what it can do for the length of `window`, it falls over; 0: not told.
    pub multiple: f64,
    /// It is warm after this, at the latest.
    pub warm_up: Micros,
    /// The time over which the work sent is added up.
    pub window: Micros,
}

/// The rule on attempts past each request's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Allowed in any window, however light the traffic.
    pub spare: f64,
    /// Allowed for each request taken within the window.
    pub ratio: f64,
    /// The window.
    pub window: Micros,
}

/// What a host knows from its first moment.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many hosts there are.
    pub hosts: u32,
    /// The zone of this host.
    pub zone: Zone,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// How news of nodes arrives.
    pub discovery: Discovery,
    /// The cold rule, where it holds.
    pub cold: Option<ColdRule>,
    /// The retry budget, where one is stated.
    pub budget: Option<RetryBudget>,
    /// How long a key rests after an attempt that may still be running.
    pub settle: Micros,
    /// How long after hearing of a drain a node may still get something new.
    pub drain_grace: Micros,
    /// The shortest time between two looks at the world.
    pub tick: Micros,
    /// Most attempts for one request.
    pub most_tries: u32,
    /// Most requests open at once; 0: no bound.
    pub most_held: u32,
    /// Two attempts of one request may be out together.
    pub parallel_tries: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Clients hear how long to stay away.
    pub retry_after: bool,
    /// The longest time that a client stays away.
    pub max_retry_after: Micros,
    /// The most units one request counts.
    pub max_units: f64,
    /// The mean units of a request.
    pub mean_units: f64,
    /// Share of the worth that units beyond the reserve, within the share, earn.
    pub fair_worth: f64,
    /// Share of the worth that units beyond both earn.
    pub spare_worth: f64,
    /// Period of the meter that tells a volume's use everywhere; 0: none.
    pub meter: Micros,
}

/// What this host may use of what is shared, as its fleet agreed: times its even part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rights {
    /// Until this moment, exclusive, `factors` and `cold` hold; from it on, the reserve.
    pub until: Micros,
    /// What it may use whatever happens.
    pub reserve: f64,
    /// Of cold nodes' budgets.
    pub cold: f64,
    /// Of volumes' limits.
    pub factors: std::collections::BTreeMap<VolumeId, f64>,
    /// Of the limits of all other volumes: 1, or less where other hosts may use more for not knowing of this one.
    pub rest: f64,
}

impl Rights {
    /// Of a volume's limit.
    pub fn of(&self, volume: VolumeId) -> f64 {
        self.factors.get(&volume).copied().unwrap_or(self.rest)
    }
}

/// A node as the list has it.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Which node.
    pub node: NodeId,
    /// What it is doing.
    pub state: NodeState,
    /// Its zone.
    pub zone: Zone,
    /// The shard it holds.
    pub shard: Shard,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
    /// Its size against that of others; no unit.
    pub size: f64,
}

/// State of a listed node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Takes requests.
    Ready,
    /// Finishes its work.
    Draining,
    /// Removed.
    Gone,
}

/// What a piece of news of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this host last saw it; it may be old.
    Cached,
    /// A call failed or the subscription ended; the old list stands.
    Failed,
}

/// A request as it lands.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: u16,
    /// Its volume's plan.
    pub plan: u32,
    /// Its volume.
    pub volume: VolumeId,
    /// Hosts that the volume's requests come through.
    pub hosts: f64,
    /// Its size.
    pub units: f64,
    /// The piece of data, where it names one.
    pub key: Option<Key>,
    /// The shard whose node holds the data; none: a new object, any node may take it.
    pub shard: Option<Shard>,
    /// When the client gives up.
    pub give_up: Micros,
    /// Marked as a client's repeat.
    pub repeat: bool,
    /// Where its data lies is not known yet: it waits until [`Event::Moved`] tells the shard.
    pub astray: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The node answered with an error; it may have run.
    Error,
    /// Turned away unseen; it did not run.
    Full,
    /// Turned away because the data lies elsewhere; it did not run. Its request waits for [`Event::Moved`].
    Moved,
    /// Nothing came in time; it may have run or be running.
    Timeout,
    /// No connection came up; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    Moot,
    /// It was never sent: the moment by which it was to begin had passed.
    Lapsed,
}

impl Outcome {
    /// Whether the node itself said something.
    pub fn heard(self) -> bool {
        matches!(
            self,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Moved
        )
    }
}

/// What a node tells of its load; late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in hand.
    pub outstanding: Option<f64>,
    /// Requests waiting.
    pub backlog: Option<f64>,
    /// Share of its processor in use.
    pub utilization: Option<f64>,
    /// Recent service time.
    pub service_time: Option<Micros>,
    /// Requests served a second.
    pub throughput: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub attempt: u16,
    /// The node it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was out.
    pub waited: Micros,
    /// The request needs no final answer any more.
    pub finished: bool,
    /// The volume's use everywhere in a past period, as a multiple of the plan's nominal rate.
    pub volume_use: Option<f64>,
    /// Units this node served for the volume through other hosts since its last answer here.
    pub served_elsewhere: f64,
    /// The node's load report, if one came.
    pub load: Option<Load>,
}

/// What a host sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    Nodes {
        /// What kind of news.
        kind: ListKind,
        /// The entries.
        entries: Vec<NodeEntry>,
    },
    /// New settings. Classes and plans keep their indices, and what is open keeps its attempts.
    Settings(Box<Settings>),
    /// The part of what is this host's that this process may use from here on, 0 to 1: another one is the same host too.
    Part(f64),
    /// What this host may use of what is shared.
    Rights(Box<Rights>),
    /// From here on nodes that do not answer are tried as the fleet grants it, not at this host's own pace: each of these once, until
    /// its moment, exclusive.
    Trials(std::collections::BTreeMap<NodeId, Micros>),
    /// Another host of the fleet saw a node answer again.
    Back(NodeId),
    /// A request lands.
    Request(Request),
    /// A stream has begun: its attempt belongs to the client.
    Began {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// A transfer in hand is to move this many more units; [`Action::Grant`] lets it.
    More {
        /// The request.
        request: RequestId,
        /// The units, at most the most units of one request.
        units: f64,
    },
    /// Where the data of a request lies now.
    Moved {
        /// The request.
        request: RequestId,
        /// The shard; none: any node may take it.
        shard: Option<Shard>,
    },
    /// An attempt ended.
    Answer(Answer),
    /// The client left, or the answer is overdue; nothing is owed any more.
    ClientGone(RequestId),
    /// A wake-up asked for is due.
    Timer(u32),
    /// A probe ended.
    Probed {
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was out.
        waited: Micros,
        /// The load report, if one came.
        load: Option<Load>,
    },
    /// A peer's message. Hosts share nothing here; it is ignored.
    PeerNote,
}

/// What a host does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; it times out after `timeout`, or when the client gives up if that is none.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        node: NodeId,
        /// The attempt's time-out.
        timeout: Option<Micros>,
        /// From this moment on it may not be begun; [`Outcome::Lapsed`] says that it was not.
        begin_by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Final: refused; asking again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Micros>,
    },
    /// Final: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Let a transfer in hand move the units it asked for.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// Ask for a [`Event::Timer`].
    Wake {
        /// When.
        at: Micros,
        /// The number it brings back.
        token: u32,
    },
    /// Look at a node.
    Probe(NodeId),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
    /// A line for the staff.
    Log(String),
}

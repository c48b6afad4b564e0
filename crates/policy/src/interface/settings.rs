//! The settings of a host. They may be replaced while it runs.

use super::ids::{Micros, Zone};

/// Which nodes recognise and drop the repetition of a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    AllNodes,
    /// The nodes of one zone.
    Zone,
    /// The nodes that store one shard.
    Shard,
}

/// What sending a request a second time does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotence {
    /// Nothing more than sending it once.
    Idempotent,
    /// Nodes within the scope drop the repetition, for a while after the first attempt that may
    /// have run.
    Deduplicated {
        /// Which nodes drop it.
        scope: DeduplicationScope,
        /// For how long, from the moment at which the first attempt was sent.
        window: Micros,
    },
    /// It takes effect again.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency target (SLO): an answer within this time earns the full value of the request.
    pub latency_target: Micros,
    /// The latency target grows by this multiple of the request's own work. Not used by this
    /// policy.
    pub latency_target_stretch: f64,
    /// How long a client waits, over all its own attempts.
    pub deadline: Micros,
    /// Whether an attempt may be repeated.
    pub idempotence: Idempotence,
    /// Requests with the same key run one at a time, in the order in which they arrived.
    pub in_order: bool,
    /// The answer is a stream. Not used by this policy.
    pub streamed: bool,
    /// The value (priority weight) of a request that is answered within its latency target.
    pub value: f64,
    /// The share of the value that a late answer earns. Not used by this policy.
    pub late_value_share: f64,
    /// Requests of this class write.
    pub writes: bool,
}

/// A token bucket that all hosts together draw from.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Units a second.
    pub rate: f64,
    /// The capacity of the bucket in units. It is full at first.
    pub burst: f64,
    /// How many units the bucket may be overdrawn by.
    pub overdraft: f64,
}

/// A plan: what each of its volumes gets, over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The weight of the volume's share.
    pub weight: f64,
    /// The reservation: units a second that earn their full value.
    pub reserved_rate: f64,
    /// Units a second for which the volume is sized. Not used by this policy.
    pub nominal_rate: f64,
    /// Multiplies the value of the volume's requests.
    pub value_multiplier: f64,
    /// The rate limit; `None`: unlimited.
    pub limit: Option<RateLimit>,
}

/// How updates of the node list reach the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// They are pushed to it.
    #[default]
    Push,
    /// The host subscribes to them or fetches them.
    Poll {
        /// A host that has done neither for this long counts as informed of an update.
        informed_after: Micros,
    },
}

/// Slow start: the limit on the load of a node that has just started.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Units that a node can always take in a `window` after its start, from all hosts together.
    pub guaranteed_units: f64,
    /// The share of its capacity that a node starts with, at least.
    pub initial_share: f64,
    /// A node fails if it is sent more than this many times its present capacity during a `window`;
    /// 0: not known.
    pub overload_multiple: f64,
    /// After this time a node has its full capacity, at the latest.
    pub duration: Micros,
    /// The time over which the units sent are summed.
    pub window: Micros,
}

/// The budget of retries, which are all attempts of a request after its first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in any window, whatever the traffic.
    pub min_retries: f64,
    /// Retries allowed for each request that arrived within the window.
    pub retry_ratio: f64,
    /// The window.
    pub window: Micros,
}

/// All settings of a host.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many hosts there are.
    pub hosts: u32,
    /// The zone of this host. Not used by this policy.
    pub zone: Zone,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The plans, by index.
    pub plans: Vec<Plan>,
    /// How updates of the node list arrive.
    pub discovery: DiscoveryMode,
    /// The slow start of nodes; `None`: a node has its full capacity at once.
    pub slow_start: Option<SlowStart>,
    /// The budget of retries; `None`: unlimited.
    pub retry_budget: Option<RetryBudget>,
    /// For how long no other request with the same key is sent after an attempt that may still be
    /// running.
    pub key_cooldown: Micros,
    /// How long after learning that a node is draining a host may still send it something new.
    pub drain_grace: Micros,
    /// The shortest time to which a timer may be set.
    pub timer_resolution: Micros,
    /// The largest number of attempts for one request.
    pub max_attempts: u32,
    /// The largest number of requests open at once; 0: unlimited. Not used by this policy.
    pub max_open_requests: u32,
    /// Two attempts of one request may be in flight at once.
    pub parallel_attempts: bool,
    /// Attempts may be cancelled. Not used by this policy.
    pub cancel_attempts: bool,
    /// Nodes may be health-checked. Not used by this policy.
    pub health_checks: bool,
    /// A rejected client is told when to come back.
    pub send_retry_after: bool,
    /// The longest time after which a client is told to come back.
    pub max_retry_after: Micros,
    /// The largest number of units that one request counts for.
    pub max_units: f64,
    /// The mean units of a request.
    pub mean_units: f64,
    /// The share of their value that units above the reservation earn while the volume stays within
    /// its fair share.
    pub fair_share_value: f64,
    /// The share of their value that units above both the reservation and the fair share earn. Not used by this policy.
    pub excess_value: f64,
    /// The period over which a volume's use through all hosts is measured; 0: not measured. Not used
    /// by this policy.
    pub usage_period: Micros,
}

//! Every decision of the scheduler, event by event. Its settings, events and actions: `src/interface.rs`.
//!
//! The usual path of a request is HYBRID-DSFQ: it is placed at a node, gets a start tag there, and is sent
//! in start-tag order while fewer than D attempts are in flight at the node.

mod attempts;
mod dispatch;
mod health;
mod limits;
mod placement;
mod state;

use crate::asking::DiscoverySchedule;
use crate::interface::*;
use state::{FirstAttempt, Flow, KeyQueue, Node, OpenRequest, TokenBucket, Volume};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tags and counts of a volume are dropped after it has been idle for this long.
const VOLUME_IDLE_TIMEOUT: Micros = 10_000_000;
/// D of a node that is not known yet, and the largest D.
const INITIAL_DEPTH: f64 = 4.0;
const MAX_DEPTH: f64 = 24.0;
/// With more hosts than this, each takes a share of what one host may do: in the smallest D, and in probes
/// of an unhealthy node.
const MAX_UNSCALED_HOSTS: f64 = 12.0;
/// How often D is updated. In PARDA's rule the gain is γ and the increment is β.
const DEPTH_UPDATE_INTERVAL: Micros = 150_000;
const DEPTH_GAIN: f64 = 0.25;
const DEPTH_INCREMENT: f64 = 0.5;
/// PARDA's latency threshold, as a share of the shortest latency target of all classes.
const LATENCY_THRESHOLD_SHARE: f64 = 0.25;
/// Shortest and longest wait between probes of a node whose circuit breaker is open.
const MIN_PROBE_BACKOFF: Micros = 150_000;
const MAX_PROBE_BACKOFF: Micros = 1_200_000;
/// How often queues are looked at again while requests wait in them.
const QUEUE_POLL_INTERVAL: Micros = 10_000;

/// What the host has to do, in this order.
type Actions = Vec<Action>;

/// One host's decisions: see [`Balancer::handle`].
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    seed: u64,
    /// The sum of the weights of all plans.
    total_weight: f64,
    /// The shortest latency target of all classes, in µs.
    min_latency_target: f64,
    /// PARDA's latency threshold, in µs.
    latency_threshold: f64,
    /// The number of hosts over [`MAX_UNSCALED_HOSTS`], at least 1.
    host_scale: f64,
    /// The largest value of a request under these settings.
    max_value: f64,
    /// Running mean of the latency of all nodes, in µs.
    fleet_latency: f64,
    nodes: BTreeMap<NodeId, Node>,
    volumes: BTreeMap<VolumeId, Volume>,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts in flight, also of requests that have their final answer: the node, and the key if the
    /// class is ordered.
    attempts: BTreeMap<(RequestId, u16), (NodeId, Option<Key>)>,
    key_queues: BTreeMap<Key, KeyQueue>,
    /// Open requests that no node may take now.
    unplaced: BTreeSet<RequestId>,
    /// Transfers that wait for [`Action::Grant`].
    awaiting_grant: BTreeSet<RequestId>,
    /// The deadlines of open requests.
    deadlines: BTreeSet<(Micros, RequestId)>,
    /// For each class, the longest time that a client has left a request on arrival.
    longest_client_timeouts: Vec<Micros>,
    /// When requests arrived and retries were sent, within the window of the retry budget.
    arrival_times: VecDeque<Micros>,
    retry_times: VecDeque<Micros>,
    /// The token buckets of volumes that are not known yet fill from this moment on; `None`: no event yet.
    buckets_fill_from: Option<Micros>,
    last_sequence: u64,
    timer_token: u32,
    timer_at: Option<Micros>,
    discovery: DiscoverySchedule,
    /// The share of this host's quota that this process may use.
    process_share: f64,
    quota: QuotaShares,
    /// Which node may be probed until when; `None`: the fleet grants no probes, each host probes at its own
    /// pace.
    probe_grants: Option<BTreeMap<NodeId, Micros>>,
    swept_at: Micros,
    /// Units that nodes past their slow start have served since `served_since`.
    served_units: f64,
    served_since: Micros,
    /// The number of nodes that take new requests, at least 1.
    ready_nodes: f64,
}

impl Balancer {
    /// A host at its start. The same settings, seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let quota = QuotaShares {
            valid_until: Micros::MAX,
            slow_start: 1.0,
            default_volume_factor: 1.0,
            ..QuotaShares::default()
        };
        let mut balancer = Balancer {
            seed,
            process_share: 1.0,
            quota,
            ..Balancer::default()
        };
        balancer.apply_settings(settings);
        balancer
    }

    /// Applies settings, at the start and whenever they change. Open requests, tags, token buckets and the
    /// health of nodes are kept.
    fn apply_settings(&mut self, settings: Settings) {
        self.total_weight = settings
            .plans
            .iter()
            .map(|plan| valid_weight(plan.weight))
            .sum::<f64>()
            .max(1e-9);
        self.longest_client_timeouts
            .resize(settings.classes.len(), 0);
        self.min_latency_target = settings
            .classes
            .iter()
            .map(|class| class.latency_target)
            .filter(|target| *target > 0)
            .min()
            .unwrap_or(500_000) as f64;
        (self.latency_threshold, self.host_scale) = (
            self.min_latency_target * LATENCY_THRESHOLD_SHARE,
            (f64::from(settings.hosts) / MAX_UNSCALED_HOSTS).max(1.0),
        );
        let value_multiplier = settings
            .plans
            .iter()
            .map(|plan| plan.value_multiplier)
            .fold(0.0, f64::max);
        self.max_value = valid_weight(
            settings
                .classes
                .iter()
                .map(|class| class.value * value_multiplier)
                .fold(0.0, f64::max),
        );
        self.settings = settings;
    }

    /// The number of entries that are kept of volumes, nodes, requests and attempts.
    pub fn tracked_entries(&self) -> usize {
        let of_node = |n: &Node| 1 + n.flows.len() + n.queue.len() + n.in_flight.len();
        let nodes: usize = self.nodes.values().map(of_node).sum();
        nodes
            + self.volumes.len()
            + self.requests.len()
            + self.attempts.len()
            + self.deadlines.len()
    }

    /// The status of each listed node.
    pub fn node_statuses(&self) -> impl Iterator<Item = NodeStatus> + '_ {
        let listed = self.nodes.iter().filter(|(_, node)| !node.gone);
        listed.map(|(id, node)| NodeStatus {
            node: *id,
            is_avoided: node.breaker_open || node.draining_since.is_some(),
            is_unresponsive: node.breaker_open,
        })
    }

    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(1);
        fastrand::Rng::with_seed(self.seed).f64()
    }

    /// Handles one event at the time `now` and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.buckets_fill_from.is_none() {
            (self.buckets_fill_from, self.swept_at, self.served_since) = (Some(now), now, now);
            self.discovery.start(now, self.settings.discovery);
        }
        match event {
            Event::NodeList { kind, entries } => self.on_node_list(now, kind, entries),
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::ProcessShare(share) => {
                (self.process_share, self.buckets_fill_from) = (share.clamp(0.0, 1.0), Some(now));
                self.volumes
                    .values_mut()
                    .for_each(|v| v.limit.refilled_at = now);
            }
            Event::QuotaShares(quota) => {
                // The time until now is credited by the old factors, or not at all if they have expired.
                let old_credit = if now < self.quota.valid_until {
                    1.0
                } else {
                    0.0
                };
                self.volumes.values_mut().for_each(|v| {
                    v.limit
                        .refill(now, v.limit_rate * old_credit, v.limit_capacity)
                });
                self.buckets_fill_from = self
                    .buckets_fill_from
                    .filter(|_| old_credit > 0.0)
                    .or(Some(now));
                self.quota = *quota;
            }
            Event::ProbationGrants(grants) => {
                self.probe_grants.get_or_insert_default().extend(grants)
            }
            Event::NodeRecovered(node) => {
                self.nodes.entry(node).and_modify(|n| n.latency_ewma = 0.0);
                // Counts as an answer, and changes neither the latency nor the errors.
                self.record_outcome(now, node, Outcome::WrongShard, 0, actions);
            }
            Event::RequestArrived(request) => self.on_request(now, request, actions),
            Event::ShardChanged { request, shard } => {
                self.on_shard_changed(now, request, shard, actions)
            }
            Event::ResponseStarted { request, attempt } => {
                self.on_response_started(now, request, attempt, actions)
            }
            Event::UnitsRequested { request, units } => {
                self.requests
                    .entry(request)
                    .and_modify(|open| open.requested_units = Some(units.max(0.0)));
                self.awaiting_grant.insert(request);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, actions),
            Event::ClientGone(id) => self.close(id),
            Event::Timer(token) if token == self.timer_token => self.timer_at = None,
            Event::Timer(_) | Event::HealthChecked { .. } | Event::PeerMessage => {}
        }
        self.run_due_work(now, actions);
        self.arm_timer(now, actions);
    }

    /// What follows each event: requests past their deadline, a call to discovery that is due, grants, and
    /// at each node the update of D and the requests that may be sent.
    fn run_due_work(&mut self, now: Micros, actions: &mut Actions) {
        while let Some((deadline, id)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.finish(id, None, actions);
            self.deadlines.remove(&(deadline, id));
        }
        actions.extend(self.discovery.take_due(now).then_some(Action::Subscribe));
        if now - self.swept_at > VOLUME_IDLE_TIMEOUT {
            self.sweep(now);
        }
        self.awaiting_grant
            .clone()
            .into_iter()
            .for_each(|id| self.grant(now, id, actions));
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.update_depth(now, id);
            self.release(now, id, actions);
        }
    }

    /// Keeps one timer set to the next moment at which something may be due.
    fn arm_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.deadlines.first().map(|deadline| deadline.0);
        let mut not_after = |t: Micros| next = Some(next.map_or(t, |n| n.min(t)));
        self.discovery
            .next_call_at()
            .into_iter()
            .for_each(&mut not_after);
        if !self.awaiting_grant.is_empty() || self.nodes.values().any(|n| !n.queue.is_empty()) {
            not_after(now + QUEUE_POLL_INTERVAL);
        } else if self.nodes.values().any(|n| !n.in_flight.is_empty()) {
            not_after(now + DEPTH_UPDATE_INTERVAL);
        }
        let Some(at) = next.map(|t| t.max(now + self.settings.timer_resolution.max(1))) else {
            return;
        };
        if self.timer_at.is_none_or(|set| at < set || set <= now) {
            self.timer_token = self.timer_token.wrapping_add(1);
            self.timer_at = Some(at);
            actions.push(Action::SetTimer {
                at,
                token: self.timer_token,
            });
        }
    }

    /// Drops the state of idle volumes, keys without requests, and nodes that are gone. Halves the period
    /// of
    /// `served_units`, so that old traffic counts less.
    fn sweep(&mut self, now: Micros) {
        (self.swept_at, self.served_since, self.served_units) = (
            now,
            now - (now - self.served_since) / 2,
            self.served_units / 2.0,
        );
        self.nodes.values_mut().for_each(|n| {
            n.flows
                .retain(|_, flow| now - flow.last_used < VOLUME_IDLE_TIMEOUT)
        });
        // A volume with a limit is kept until its bucket must be full again: a new bucket fills from
        // `buckets_fill_from`, so dropping it sooner would hand out units that were already spent.
        let refill_time = |v: &Volume| (v.limit_capacity / v.limit_rate.max(1e-9) * 1e6) as Micros;
        self.volumes
            .retain(|_, v| now - v.last_used < refill_time(v).max(VOLUME_IDLE_TIMEOUT));
        let keys: Vec<Key> = self.key_queues.keys().copied().collect();
        keys.into_iter().for_each(|key| _ = self.drop_finished(key));
        self.key_queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.cooldown_until > now);
        self.nodes
            .retain(|_, n| !n.gone || !n.in_flight.is_empty() || !n.queue.is_empty());
    }
}

/// A weight or value that is not a positive number counts as 1.
fn valid_weight(weight: f64) -> f64 {
    Some(weight)
        .filter(|weight| *weight > 0.0 && weight.is_finite())
        .unwrap_or(1.0)
}

/// Whether this node drops the repetition of a request that may have run on the node of its first attempt.
fn repeats_safely(idempotence: Idempotence, first: FirstAttempt, node: &Node) -> bool {
    match idempotence {
        Idempotence::Deduplicated {
            scope: DeduplicationScope::Zone,
            ..
        } => first.zone == node.zone,
        Idempotence::Deduplicated {
            scope: DeduplicationScope::Shard,
            ..
        } => first.shard == node.shard,
        Idempotence::NotIdempotent => false,
        _ => true,
    }
}

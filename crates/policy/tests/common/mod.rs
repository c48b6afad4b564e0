//! Settings, node entries and a simulated host that the tests share.
#![allow(dead_code)]

use lupinrack_policy::*;

/// Settings of a host with one idempotent class and one plan. Tests change what they need.
pub fn settings() -> Settings {
    Settings {
        hosts: 1,
        zone: Zone(0),
        classes: vec![class(Idempotence::Idempotent)],
        plans: vec![plan(1.0)],
        discovery: DiscoveryMode::Push,
        slow_start: None,
        retry_budget: None,
        key_cooldown: 0,
        drain_grace: 1_000_000,
        timer_resolution: 2_000,
        max_attempts: 4,
        max_open_requests: 0,
        parallel_attempts: false,
        cancel_attempts: true,
        health_checks: false,
        send_retry_after: true,
        max_retry_after: 2_000_000,
        max_units: 8.0,
        mean_units: 2.0,
        fair_share_value: 0.4,
        excess_value: 0.05,
        usage_period: 0,
    }
}

pub fn class(idempotence: Idempotence) -> Class {
    Class {
        latency_target: 300_000,
        latency_target_stretch: 0.0,
        deadline: 2_000_000,
        idempotence,
        in_order: false,
        streamed: false,
        value: 1.0,
        late_value_share: 0.2,
        writes: false,
    }
}

pub fn plan(weight: f64) -> Plan {
    Plan {
        weight,
        reserved_rate: 2.0,
        nominal_rate: 4.0,
        value_multiplier: 1.0,
        limit: None,
    }
}

pub fn entry(node: u32, shard: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(node),
        state: NodeState::Ready,
        zone: Zone(0),
        shard: Shard(shard),
        started: None,
        weight: 1.0,
    }
}

/// A balancer with a clock, and all actions that it has returned.
pub struct Host {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
}

impl Host {
    /// A host that knows these nodes from a cached list.
    pub fn new(settings: Settings, nodes: Vec<NodeEntry>) -> Self {
        let mut host = Host {
            balancer: Balancer::new(settings, 1),
            now: 1_000_000,
            actions: Vec::new(),
        };
        host.event(Event::NodeList {
            kind: NodeListKind::Cached,
            entries: nodes,
        });
        host
    }
    pub fn event(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }
    /// Advances the clock. A timer expires every two ticks of 2 ms.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + 4_000).min(end);
            self.event(Event::Timer(0));
        }
    }
    pub fn node_list(&mut self, kind: NodeListKind, entries: Vec<NodeEntry>) {
        self.event(Event::NodeList { kind, entries });
    }
    pub fn request(&mut self, id: u32) {
        self.request_with(id, |_| {});
    }
    pub fn request_with(&mut self, id: u32, change: impl FnOnce(&mut Request)) {
        let mut request = Request {
            id: RequestId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(1),
            hosts: 1.0,
            units: 2.0,
            key: None,
            shard: Some(Shard(0)),
            client_deadline: self.now + 2_000_000,
            is_client_retry: false,
            shard_unknown: false,
        };
        change(&mut request);
        self.event(Event::RequestArrived(request));
    }
    pub fn end_attempt(&mut self, id: u32, attempt: u16, node: u32, outcome: Outcome) {
        self.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt,
            node: NodeId(node),
            outcome,
            elapsed: 40_000,
            request_finished: outcome == Outcome::Ok,
            volume_usage: None,
            units_through_other_hosts: 0.0,
            load: None,
        }));
    }
    /// The first attempt of a request is served after `elapsed`.
    pub fn serve_after(&mut self, id: u32, node: u32, elapsed: Micros) {
        self.end_first_attempt_after(id, node, elapsed, Outcome::Ok);
    }
    /// The first attempt of a request ends with `outcome` after `elapsed`.
    pub fn end_first_attempt_after(
        &mut self,
        id: u32,
        node: u32,
        elapsed: Micros,
        outcome: Outcome,
    ) {
        self.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: 0,
            node: NodeId(node),
            outcome,
            elapsed,
            request_finished: outcome == Outcome::Ok,
            volume_usage: None,
            units_through_other_hosts: 0.0,
            load: None,
        }));
    }
    /// Everything sent so far: request and node.
    pub fn sends(&self) -> Vec<(u32, u32)> {
        self.actions
            .iter()
            .filter_map(|a| match a {
                Action::Send { request, node, .. } => Some((request.0, node.0)),
                _ => None,
            })
            .collect()
    }
    /// The number of attempts of a request.
    pub fn send_count(&self, id: u32) -> usize {
        self.sends().iter().filter(|s| s.0 == id).count()
    }
    pub fn rejected(&self, id: u32) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
    }
    pub fn failed(&self, id: u32) -> bool {
        self.actions.contains(&Action::Fail {
            request: RequestId(id),
        })
    }
    /// The number of final answers that a request got from the balancer.
    pub fn final_answers(&self, id: u32) -> usize {
        let is_final = |a: &&Action| match a {
            Action::Reject { request, .. } | Action::Fail { request } => request.0 == id,
            _ => false,
        };
        self.actions.iter().filter(is_final).count()
    }
}

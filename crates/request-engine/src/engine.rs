//! The engine and its event loop.

mod balancer_loop;
mod extents;
mod inputs;

use crate::clock::Clock;
use crate::engine_handle::EngineHandle;
use crate::extent_router::{ExtentRouter, DRIVER_QUEUE_LENGTH};
use crate::fleet_quota::{limited_plans, FleetQuota};
use crate::flow::Flow;
use crate::input::Input;
use crate::node_table::{NodeTable, NodeTarget};
use crate::open_requests::OpenRequests;
use crate::timers::Timers;
use lupinrack_extent_map::{self as extent_map, Cache, Counters};
use lupinrack_policy::{Action, Balancer, Event, Micros, NodeId, Settings};
use std::collections::BTreeSet;
use tokio::sync::{mpsc, watch};

/// Inputs that may be queued for the next turn; senders wait while the queue is full.
const INPUT_QUEUE_LENGTH: usize = 4096;
/// Health checks that may be queued for the task that makes them; further ones are dropped.
const HEALTH_CHECK_QUEUE_LENGTH: usize = 64;

/// The loop around the [`Balancer`]; other tasks reach it through an [`EngineHandle`].
pub struct Engine {
    balancer: Balancer,
    clock: Clock,
    inputs: mpsc::Receiver<Input>,
    health_checks: mpsc::Sender<NodeTarget>,
    nodes: NodeTable,
    requests: OpenRequests,
    timers: Timers,
    /// `None`: a request's shard is the one that its client named.
    extents: Option<ExtentRouter>,
    /// `None`: this front is in no fleet.
    fleet: Option<FleetQuota>,
    /// Nodes that responded since [`EngineHandle::take_node_responses`] was last called; `None` until its first call.
    responded: Option<BTreeSet<NodeId>>,
    /// Which plans have a rate limit, by index.
    limited_plans: Vec<bool>,
    /// A buffer for the balancer's actions, empty between two events.
    actions: Vec<Action>,
}

/// An engine that is not running yet, and the far ends of its queues.
pub struct EngineParts {
    /// The engine, to be run.
    pub engine: Engine,
    /// The handle through which other tasks use it.
    pub handle: EngineHandle,
    /// The nodes for which the balancer ordered a health check.
    pub health_checks: mpsc::Receiver<NodeTarget>,
}

/// The channels between the engine and the driver of the map of extents.
pub struct ExtentMapChannels {
    /// The actions that the cache orders from its driver.
    pub actions: mpsc::Receiver<extent_map::Action>,
    /// The counters of the cache.
    pub counters: watch::Receiver<Counters>,
}

impl EngineParts {
    /// Makes an engine that starts with these settings, and with this seed for the balancer's random numbers.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Self {
        let (sender, inputs) = mpsc::channel(INPUT_QUEUE_LENGTH);
        let (health_checks, health_check_targets) = mpsc::channel(HEALTH_CHECK_QUEUE_LENGTH);
        let handle = EngineHandle::new(sender, &settings, clock);
        let engine = Engine {
            nodes: NodeTable::new(settings.drain_grace),
            limited_plans: limited_plans(&settings),
            balancer: Balancer::new(settings, seed),
            clock,
            inputs,
            health_checks,
            requests: OpenRequests::default(),
            timers: Timers::default(),
            extents: None,
            fleet: None,
            responded: None,
            actions: Vec::new(),
        };
        EngineParts {
            engine,
            handle,
            health_checks: health_check_targets,
        }
    }
}

impl Engine {
    /// Sends a record of each finished request to this queue. When the queue is full, the record is dropped.
    #[must_use]
    pub fn export_flows(mut self, to: mpsc::Sender<Flow>) -> Engine {
        self.requests.export_to(to);
        self
    }

    /// Routes requests by this cache of the map of extents.
    #[must_use]
    pub fn with_extent_map(mut self, cache: Cache) -> (Engine, ExtentMapChannels) {
        let (driver, actions) = mpsc::channel(DRIVER_QUEUE_LENGTH);
        let (counters_sender, counters) = watch::channel(Counters::default());
        self.extents = Some(ExtentRouter::new(
            cache,
            driver,
            counters_sender,
            self.clock.now(),
        ));
        (self, ExtentMapChannels { actions, counters })
    }

    /// Runs until every handle has been dropped.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            let wake_at = self.wake_at().map(|at| self.clock.instant(at));
            let sleep = async {
                match wake_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                taken = self.inputs.recv_many(&mut batch, INPUT_QUEUE_LENGTH) => if taken == 0 { return },
                () = sleep => {}
            }
            self.turn(&mut batch);
        }
    }

    /// When the next turn is due without any input.
    fn wake_at(&self) -> Option<Micros> {
        let extents = self.extents.as_ref().and_then(ExtentRouter::wake_at);
        self.timers.next_at().into_iter().chain(extents).min()
    }

    /// Runs one turn. The clock is read once, so that all inputs of a turn have the same time.
    fn turn(&mut self, batch: &mut Vec<Input>) {
        let now = self.clock.now();
        for input in batch.drain(..) {
            self.apply(now, input);
        }
        while let Some(token) = self.timers.take_expired(now) {
            self.notify_balancer(now, Event::Timer(token));
        }
        self.finish_extent_turn(now);
    }
}

//! The cache of the map of extents, and the queues to its driver.

use lupinrack_extent_map::{
    self as extent_map, Action, Cache, Counters, Location, Reroute, Version,
};
use lupinrack_policy::{Micros, Request, Shard};
use tokio::sync::{mpsc, watch};

/// Actions that may be queued for the driver of the map: a poll, every call in flight, and datagrams.
pub const DRIVER_QUEUE_LENGTH: usize = 2 * extent_map::MAX_IN_FLIGHT_FETCHES;

/// The failure reported to the cache for a call that finds the driver's queue full.
const DRIVER_QUEUE_FULL: &str = "the queue of calls is full";

/// Owns the cache, and collects the cache's actions until the engine takes them.
pub(crate) struct ExtentRouter {
    cache: Cache,
    driver: mpsc::Sender<Action>,
    counters: watch::Sender<Counters>,
    wake_at: Option<Micros>,
    actions: Vec<Action>,
}

impl ExtentRouter {
    /// A router whose cache runs its timer in the first turn.
    pub(crate) fn new(
        cache: Cache,
        driver: mpsc::Sender<Action>,
        counters: watch::Sender<Counters>,
        now: Micros,
    ) -> Self {
        ExtentRouter {
            cache,
            driver,
            counters,
            wake_at: Some(now),
            actions: Vec::new(),
        }
    }

    /// When the cache's timer expires.
    pub(crate) fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// The shard of a request's data; `None`: the request has no key.
    pub(crate) fn locate(&mut self, now: Micros, request: &Request) -> Option<Location> {
        let key = request.key?;
        Some(
            self.cache
                .locate(now, request.volume, key, &mut self.actions),
        )
    }

    /// Handles the rejection of a request by a node of `shard` because its data is on another shard, as of version `hint` of the map.
    pub(crate) fn wrong_shard(
        &mut self,
        now: Micros,
        request: &Request,
        shard: Shard,
        hint: Option<Version>,
    ) -> Reroute {
        let Some(key) = request.key else {
            return Reroute::Unchanged;
        };
        self.cache
            .on_wrong_shard(now, (request.volume, key), shard, hint, &mut self.actions)
    }

    /// Applies an input from the driver.
    pub(crate) fn handle(&mut self, now: Micros, input: extent_map::Input) {
        self.cache.handle(now, input, &mut self.actions);
    }

    /// Runs the cache's timer if it has expired. Returns whether there are actions to carry out.
    pub(crate) fn finish_turn(&mut self, now: Micros) -> bool {
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.handle(now, extent_map::Input::Timer);
        }
        if self.actions.is_empty() {
            return false;
        }
        self.cache.run_due(now, &mut self.actions);
        true
    }

    pub(crate) fn has_actions(&self) -> bool {
        !self.actions.is_empty()
    }

    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the timer, or passes an action to the driver. When the driver's queue is full, a poll or a fetch counts as failed.
    pub(crate) fn carry_out(&mut self, now: Micros, action: Action) {
        if let Action::Wake(at) = action {
            self.wake_at = Some(self.wake_at.map_or(at, |wake_at| wake_at.min(at)));
            return;
        }
        let dropped = self.driver.try_send(action);
        let failed = || DRIVER_QUEUE_FULL.to_string();
        match dropped.map_err(mpsc::error::TrySendError::into_inner) {
            Err(Action::Poll { .. }) => {
                self.handle(now, extent_map::Input::Polled(Err(failed())));
            }
            Err(Action::Fetch { volume, .. }) => {
                let answer = Err(failed());
                self.handle(now, extent_map::Input::Fetched { volume, answer });
            }
            _ => {}
        }
    }

    /// Publishes the counters of the cache if they have changed.
    pub(crate) fn publish_counters(&self) {
        let counters = self.cache.counters();
        self.counters
            .send_if_modified(|published| std::mem::replace(published, counters) != counters);
    }
}

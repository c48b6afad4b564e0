//! The cache of the map of extents, and the queues to its driver.

use lupinrack_extent_map::{
    self as extent_map, Action, Cache, Counters, Location, Reroute, Version,
};
use lupinrack_policy::{Micros, Request, Shard};
use tokio::sync::{mpsc, watch};

/// Actions that may wait for the driver of the map: a poll, every call in flight, and datagrams.
pub const DRIVER_QUEUE_LENGTH: usize = 2 * extent_map::MAX_IN_FLIGHT_FETCHES;

/// The reason given to the cache for a call that the driver had no capacity for.
const DRIVER_BEHIND: &str = "the calls that are out take too long";

/// Owns the cache. Its methods gather the cache's actions until the engine takes them.
pub(crate) struct ExtentRouter {
    cache: Cache,
    driver: mpsc::Sender<Action>,
    counters: watch::Sender<Counters>,
    wake_at: Option<Micros>,
    actions: Vec<Action>,
}

impl ExtentRouter {
    /// The cache is due at once.
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

    /// When the cache is due without any input.
    pub(crate) fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// Where the data of a request is; `None`: it names no key.
    pub(crate) fn locate(&mut self, now: Micros, request: &Request) -> Option<Location> {
        let key = request.key?;
        Some(
            self.cache
                .locate(now, request.volume, key, &mut self.actions),
        )
    }

    /// A node of `shard` rejected the request because its data is elsewhere, as of `hint`.
    pub(crate) fn wrong_turn(
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

    /// Takes what the driver brings.
    pub(crate) fn handle(&mut self, now: Micros, input: extent_map::Input) {
        self.cache.handle(now, input, &mut self.actions);
    }

    /// Does what is due at the end of a turn. True: there are actions to carry out.
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

    /// Sets the alarm, or hands a call to the driver. A driver that is behind by a whole queue is, to the cache, a call that failed.
    pub(crate) fn carry_out(&mut self, now: Micros, action: Action) {
        if let Action::Wake(at) = action {
            self.wake_at = Some(self.wake_at.map_or(at, |wake_at| wake_at.min(at)));
            return;
        }
        let dropped = self.driver.try_send(action);
        let failed = || DRIVER_BEHIND.to_string();
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

    /// Publishes what the cache counted, where that has changed.
    pub(crate) fn publish_counters(&self) {
        let counters = self.cache.counters();
        self.counters
            .send_if_modified(|seen| std::mem::replace(seen, counters) != counters);
    }
}

//! Where data lies, in the core's turns: requests are resolved by the [`Cache`] when they are taken, looked at again
//! when what is known of their range changes, and once more when they are sent. The cache decides what is known, the
//! [`Balancer`] what becomes of a request; here each hears of the other.

use super::{Core, FlowEnd};
use lupinrack_extent_map::{self as extents, Cache, Counters, Party, Place, Turn, Version};
use lupinrack_policy::*;
use tokio::sync::{mpsc, watch};

/// Actions that may wait for the driver: a poll, every flight, and datagrams.
pub const DRIVER_QUEUE: usize = 2 * extents::FLIGHTS_MOST;

/// The cache, and the ways out of it.
pub(super) struct Places {
    cache: Cache,
    driver: mpsc::Sender<extents::Action>,
    counters: watch::Sender<Counters>,
    pub(super) wake: Option<Micros>,
    actions: Vec<extents::Action>,
}

impl Core {
    /// Has requests routed by this cache. Its actions come out of the first queue, what it did out of the second.
    pub fn with_extents(
        mut self,
        cache: Cache,
    ) -> (
        Core,
        mpsc::Receiver<extents::Action>,
        watch::Receiver<Counters>,
    ) {
        let (driver, actions) = mpsc::channel(DRIVER_QUEUE);
        let (counters, seen) = watch::channel(Counters::default());
        self.places = Some(Places {
            cache,
            driver,
            counters,
            wake: Some(self.clock.now()),
            actions: Vec::new(),
        });
        (self, actions, seen)
    }

    /// A request as it is told to the module: on the shard that the map has, or waiting to be told.
    pub(super) fn placed(&mut self, now: Micros, request: Request) -> Request {
        let (Some(places), Some(key)) = (&mut self.places, request.key) else {
            return request;
        };
        match places
            .cache
            .locate(now, request.volume, key, &mut places.actions)
        {
            Place::At(shard) => Request {
                shard: Some(shard),
                ..request
            },
            Place::Uncovered => request,
            Place::Unknown => Request {
                shard_unknown: true,
                ..request
            },
        }
    }

    /// Where a request that is about to be sent lies by now, if elsewhere.
    pub(super) fn moved(&mut self, now: Micros, request: &Request) -> Option<Shard> {
        let (places, key) = (self.places.as_mut()?, request.key?);
        match places
            .cache
            .locate(now, request.volume, key, &mut places.actions)
        {
            Place::At(shard) if request.shard != Some(shard) => Some(shard),
            _ => None,
        }
    }

    /// A node turned an attempt away unrun: its data lies elsewhere, the node says.
    pub(super) fn turned_away(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u16,
        hint: Option<Version>,
    ) {
        let Some(o) = self.open.get(&id) else { return };
        let asked = o.out.iter().find(|a| a.0 == attempt).and_then(|a| a.3);
        let turn = match (&mut self.places, o.request.key, asked) {
            (Some(places), Some(key), Some(asked)) => places.cache.wrong_turn(
                now,
                (o.request.volume, key),
                asked,
                hint,
                &mut places.actions,
            ),
            // A node that speaks of extents where nobody knows them is one that had no room.
            _ => Turn::Stands,
        };
        let outcome = if turn == Turn::Stands {
            Outcome::Rejected
        } else {
            Outcome::WrongShard
        };
        if outcome == Outcome::WrongShard {
            self.open
                .entry(id)
                .and_modify(|o| o.request.shard_unknown = true);
        }
        self.ended(now, id, attempt, outcome, None);
        if let Turn::At(shard) = turn {
            self.lies(now, id, Some(shard));
        }
    }

    /// Takes what the driver brings.
    pub(super) fn on_extents(&mut self, now: Micros, input: extents::Input) {
        if let Some(places) = &mut self.places {
            places.cache.handle(now, input, &mut places.actions);
        }
        self.carry_out(now);
    }

    /// The end of a turn: what the cache has due, and all that comes of it.
    pub(super) fn settle_places(&mut self, now: Micros) {
        let Some(places) = &mut self.places else {
            return;
        };
        if places.wake.is_some_and(|at| at <= now) {
            places.wake = None;
            places
                .cache
                .handle(now, extents::Input::Timer, &mut places.actions);
        }
        if !places.actions.is_empty() {
            places.cache.on_time(now, &mut places.actions);
            self.carry_out(now);
        }
    }

    fn carry_out(&mut self, now: Micros) {
        while let Some(places) = self.places.as_mut().filter(|p| !p.actions.is_empty()) {
            for action in std::mem::take(&mut places.actions) {
                self.carry_one(now, action);
            }
        }
        if let Some(places) = &self.places {
            let counters = places.cache.counters();
            places
                .counters
                .send_if_modified(|seen| std::mem::replace(seen, counters) != counters);
        }
    }

    fn carry_one(&mut self, now: Micros, action: extents::Action) {
        match action {
            extents::Action::Changed {
                volume,
                first,
                last,
            } => self.look_again(now, |r| {
                r.volume == volume && r.key.is_some_and(|k| (first..=last).contains(&k.0))
            }),
            extents::Action::ChangedAll => self.look_again(now, |_| true),
            extents::Action::Wake(at) => {
                if let Some(places) = &mut self.places {
                    places.wake = Some(places.wake.map_or(at, |w| w.min(at)));
                }
            }
            extents::Action::Complain { who, why } => match who {
                Party::Authority => tracing::warn!("extent authority: {why}"),
                Party::Peer(peer) => tracing::warn!("extents: peer {peer}: {why}"),
                Party::Node(shard) => {
                    tracing::warn!("extents: the node of shard {}: {why}", shard.0)
                }
            },
            call => {
                let Some(places) = &mut self.places else {
                    return;
                };
                // The driver is behind by a whole queue: to the cache that is a call that failed.
                let busy = || "the calls that are out take too long".to_string();
                match places
                    .driver
                    .try_send(call)
                    .map_err(mpsc::error::TrySendError::into_inner)
                {
                    Err(extents::Action::Poll { .. }) => {
                        places.cache.handle(
                            now,
                            extents::Input::Polled(Err(busy())),
                            &mut places.actions,
                        );
                    }
                    Err(extents::Action::Fetch { volume, .. }) => {
                        let input = extents::Input::Fetched {
                            volume,
                            answer: Err(busy()),
                        };
                        places.cache.handle(now, input, &mut places.actions);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Looks again where the open requests of a range lie.
    fn look_again(&mut self, now: Micros, within: impl Fn(&Request) -> bool) {
        let open = self
            .open
            .iter()
            .filter(|(_, o)| o.end.is_none() && within(&o.request));
        let ids: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        for id in ids {
            let (Some(places), Some(o)) = (&mut self.places, self.open.get(&id)) else {
                continue;
            };
            let Some(key) = o.request.key else { continue };
            match places
                .cache
                .locate(now, o.request.volume, key, &mut places.actions)
            {
                Place::At(shard) if o.request.shard_unknown || o.request.shard != Some(shard) => {
                    self.lies(now, id, Some(shard));
                }
                // What no extent covers lies where its client says.
                Place::Uncovered if o.request.shard_unknown => self.lies(now, id, o.said),
                _ => {}
            }
        }
    }

    fn lies(&mut self, now: Micros, request: RequestId, shard: Option<Shard>) {
        if let Some(o) = self
            .open
            .get_mut(&request)
            .filter(|o| !matches!(o.end, Some((FlowEnd::Served, _))))
        {
            (o.request.shard, o.request.shard_unknown) = (shard, false);
            self.tell(now, Event::ShardChanged { request, shard });
        }
    }
}

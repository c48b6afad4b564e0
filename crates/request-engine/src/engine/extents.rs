//! Routing of requests by the map of extents.
//!
//! The cache routes a request when it arrives, again when the extents of its range change, and once more when an attempt is sent. The
//! cache decides on which shard the data is, the balancer what happens to the request; this module connects the two.

use super::Engine;
use crate::flow::FlowEnd;
use lupinrack_extent_map::{self as extent_map, Location, Reroute, Source, Version};
use lupinrack_policy::{Event, Micros, Outcome, Request, RequestId, Shard};

impl Engine {
    /// The request as it is passed to the balancer: with the shard from the map, or with the shard marked as unknown.
    pub(super) fn routed(&mut self, now: Micros, request: Request) -> Request {
        let place = self
            .extents
            .as_mut()
            .and_then(|extents| extents.locate(now, &request));
        match place {
            Some(Location::OnShard(shard)) => Request {
                shard: Some(shard),
                ..request
            },
            Some(Location::Unknown) => Request {
                shard_unknown: true,
                ..request
            },
            Some(Location::Uncovered) | None => request,
        }
    }

    /// The shard of a request that is about to be sent, if the map now has another one than the request.
    pub(super) fn changed_shard(&mut self, now: Micros, request: &Request) -> Option<Shard> {
        match self.extents.as_mut()?.locate(now, request)? {
            Location::OnShard(shard) if request.shard != Some(shard) => Some(shard),
            _ => None,
        }
    }

    /// Handles the rejection of an attempt by a node that does not store the data. The attempt did not run.
    pub(super) fn wrong_shard(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u16,
        hint: Option<Version>,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let sent = open.in_flight.iter().find(|sent| sent.number == attempt);
        let sent_to = sent.and_then(|sent| sent.shard);
        let turn = match (&mut self.extents, sent_to) {
            (Some(extents), Some(shard)) => extents.wrong_shard(now, &open.request, shard, hint),
            // Without a map, a rejection for the wrong shard counts as one for lack of capacity.
            _ => Reroute::Unchanged,
        };
        if turn == Reroute::Unchanged {
            return self.attempt_ended(now, id, attempt, Outcome::Rejected, None);
        }
        open.request.shard_unknown = true;
        self.attempt_ended(now, id, attempt, Outcome::WrongShard, None);
        if let Reroute::To(shard) = turn {
            self.set_shard(now, id, Some(shard));
        }
    }

    /// Applies an input from the driver of the map.
    pub(super) fn extent_map_input(&mut self, now: Micros, input: extent_map::Input) {
        if let Some(extents) = &mut self.extents {
            extents.handle(now, input);
        }
        self.carry_out_extent_actions(now);
    }

    /// Ends a turn: runs the cache's timer if it is due, and carries out the cache's actions.
    pub(super) fn finish_extent_turn(&mut self, now: Micros) {
        let Some(extents) = &mut self.extents else {
            return;
        };
        if extents.finish_turn(now) {
            self.carry_out_extent_actions(now);
        }
    }

    fn carry_out_extent_actions(&mut self, now: Micros) {
        while let Some(extents) = self
            .extents
            .as_mut()
            .filter(|extents| extents.has_actions())
        {
            for action in extents.take_actions() {
                self.carry_out_extent_action(now, action);
            }
        }
        if let Some(extents) = &self.extents {
            extents.publish_counters();
        }
    }

    fn carry_out_extent_action(&mut self, now: Micros, action: extent_map::Action) {
        match action {
            extent_map::Action::Changed {
                volume,
                first,
                last,
            } => self.reroute(now, |request| {
                let key = request.key.filter(|_| request.volume == volume);
                key.is_some_and(|key| (first..=last).contains(&key.0))
            }),
            extent_map::Action::ChangedAll => self.reroute(now, |_| true),
            extent_map::Action::Warn { source, reason } => match source {
                Source::Authority => tracing::warn!("extent authority: {reason}"),
                Source::Peer(peer) => tracing::warn!("extents: peer {peer}: {reason}"),
                Source::Node(shard) => {
                    tracing::warn!("extents: the node of shard {}: {reason}", shard.0);
                }
            },
            action => {
                if let Some(extents) = &mut self.extents {
                    extents.carry_out(now, action);
                }
            }
        }
    }

    /// Looks up the shards of these open requests again.
    fn reroute(&mut self, now: Micros, is_affected: impl Fn(&Request) -> bool) {
        let affected: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|open| open.end.is_none() && is_affected(&open.request))
            .map(|open| open.request.id)
            .collect();
        for id in affected {
            let (Some(extents), Some(open)) = (&mut self.extents, self.requests.get(id)) else {
                continue;
            };
            let (request, client_shard) = (open.request, open.client_shard);
            match extents.locate(now, &request) {
                Some(Location::OnShard(shard))
                    if request.shard_unknown || request.shard != Some(shard) =>
                {
                    self.set_shard(now, id, Some(shard));
                }
                // Data that no extent covers is on the shard that the client named.
                Some(Location::Uncovered) if request.shard_unknown => {
                    self.set_shard(now, id, client_shard);
                }
                _ => {}
            }
        }
    }

    /// Changes a request's shard and notifies the balancer, unless the request was served.
    fn set_shard(&mut self, now: Micros, request: RequestId, shard: Option<Shard>) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        if open.end.is_some_and(|end| end.end == FlowEnd::Served) {
            return;
        }
        open.request.shard = shard;
        open.request.shard_unknown = false;
        self.notify_balancer(now, Event::ShardChanged { request, shard });
    }
}

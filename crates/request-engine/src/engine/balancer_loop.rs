//! Passes events to the balancer and carries out its actions.

use super::Engine;
use crate::flow::FlowEnd;
use crate::open_requests::InFlightAttempt;
use crate::order::{Attempt, Order};
use crate::send_permit::SendPermit;
use lupinrack_policy::{Action, Event, Micros, NodeId, Outcome, RequestId};
use std::collections::VecDeque;
use std::time::Duration;

/// An attempt that the balancer ordered.
struct SendOrder {
    request: RequestId,
    node: NodeId,
    timeout: Option<Micros>,
    begin_by: Micros,
}

impl Engine {
    /// Passes an event to the balancer and carries out its actions. Events that these cause immediately are passed on as well.
    pub(super) fn notify_balancer(&mut self, now: Micros, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.carry_out(now, action));
            }
            self.actions = actions;
        }
    }

    /// Carries out one action, and returns the events that it causes immediately.
    fn carry_out(&mut self, now: Micros, action: Action) -> Vec<Event> {
        match action {
            Action::Send {
                request,
                node,
                timeout,
                begin_by,
            } => {
                let order = SendOrder {
                    request,
                    node,
                    timeout,
                    begin_by,
                };
                return self.send(now, &order);
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.requests.get(request) {
                    open.give(Order::Cancel(attempt));
                }
            }
            Action::Grant { request } => {
                if let Some(open) = self.requests.get_mut(request) {
                    open.grant();
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let after = retry_after.map(|after| Duration::from_micros(after.max(0) as u64));
                self.finish(now, request, FlowEnd::Rejected, Order::Reject(after));
            }
            Action::Fail { request } => self.finish(now, request, FlowEnd::Failed, Order::Fail),
            Action::SetTimer { at, token } => self.timers.set(at, token),
            Action::HealthCheck(node) => {
                if let Some(target) = self.nodes.target(node) {
                    // Dropped when the queue of health checks is full: no decision depends on a single health check.
                    let _ = self.health_checks.try_send(target);
                }
            }
            // Discovery pushes the node list for as long as the engine runs, so there is nothing to request.
            Action::Subscribe | Action::FetchList => {}
            Action::Log(line) => tracing::info!("{line}"),
        }
        Vec::new()
    }

    /// Orders an attempt from the owner of its request. If the owner cannot take it or the data has moved to another shard, the
    /// attempt counts as not sent, and the returned events report this to the balancer.
    fn send(&mut self, now: Micros, order: &SendOrder) -> Vec<Event> {
        let Some(request) = self.requests.get(order.request).map(|open| open.request) else {
            return Vec::new();
        };
        let new_shard = self.changed_shard(now, &request);
        let quota_valid_until = self.fleet.as_ref().map(|fleet| fleet.begin_by(now));
        let Some(open) = self.requests.get_mut(order.request) else {
            return Vec::new();
        };
        let number = open.attempts_sent;
        open.attempts_sent += 1;
        let in_flight = InFlightAttempt {
            number,
            node: order.node,
            sent: now,
            shard: request.shard,
        };
        let may_send = open.end.is_none() && new_shard.is_none();
        let target = self.nodes.target(order.node).filter(|_| may_send);
        let sent = target.is_some_and(|target| {
            let deadline = request.client_deadline;
            open.give(Order::Send(Attempt {
                number,
                target,
                timeout_at: order
                    .timeout
                    .map_or(deadline, |timeout| deadline.min(now + timeout)),
                begin_by: quota_valid_until.unwrap_or(Micros::MAX).min(order.begin_by),
                permit: SendPermit::for_order(),
            }))
        });
        if sent {
            open.in_flight.push(in_flight);
            return Vec::new();
        }
        let outcome = match new_shard {
            Some(_) => Outcome::WrongShard,
            None => Outcome::NotSent,
        };
        let mut events = vec![Event::AttemptEnded(
            in_flight.ended(now, open, outcome, None),
        )];
        if let Some(shard) = new_shard {
            open.request.shard = Some(shard);
            open.request.shard_unknown = false;
            events.push(Event::ShardChanged {
                request: order.request,
                shard: Some(shard),
            });
        }
        events
    }

    /// Gives the final answer to the owner of a request, unless the request has ended already.
    fn finish(&mut self, now: Micros, id: RequestId, end: FlowEnd, order: Order) {
        let open = self.requests.get_mut(id).filter(|open| open.end.is_none());
        let Some(open) = open else { return };
        open.end_for_client(now, end);
        open.give(order);
        self.requests.remove_if_ended(id);
    }
}

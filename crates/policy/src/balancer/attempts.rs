//! The life of a request: its arrival, the ends of its attempts, its retries, its final answer.

use super::*;

/// An open request gets its final answer this many timer ticks before its client gives up.
const DEADLINE_MARGIN_TICKS: Micros = 2;
/// A request that was never sent is answered after this share of its client's time, or at the end of its
/// latency target if that is later. The client then still has time to go elsewhere.
const UNSENT_TIMEOUT_SHARE: f64 = 0.45;
/// The shortest time after which a rejected client is told to come back.
const MIN_RETRY_AFTER: Micros = 100_000;

impl Balancer {
    /// Takes a request: computes its deadline and value, places it at a node, and sends it if it may go. A
    /// request whose volume is so far over its limit that it would miss its latency target is rejected.
    pub(super) fn on_request(&mut self, now: Micros, request: Request, actions: &mut Actions) {
        let (id, units, volume) = (request.id, request.units, request.volume);
        self.arrival_times
            .extend(self.settings.retry_budget.map(|_| now));
        if self.requests.contains_key(&id) {
            return;
        }
        let queue = self
            .ordered_key(&request)
            .map(|key| self.key_queues.entry(key).or_default());
        queue
            .into_iter()
            .for_each(|queue| queue.requests.push_back(id));
        self.last_sequence += 1;
        let latency_target_at = self.latency_target_at(now, &request);
        let value = self.request_value(now, &request);
        let unsent_deadline =
            now + ((request.client_deadline - now) as f64 * UNSENT_TIMEOUT_SHARE) as Micros;
        let deadline = unsent_deadline
            .max(latency_target_at)
            .min(self.sent_deadline(&request));
        let (sequence, max_attempts) = (self.last_sequence, self.settings.max_attempts);
        self.requests.insert(
            id,
            OpenRequest {
                request,
                sequence,
                max_attempts,
                latency_target_at,
                deadline,
                value,
                ..OpenRequest::default()
            },
        );
        self.deadlines.insert((deadline, id));
        if let Some((level, rate)) = self.limit_level(now, &request) {
            let volume = self.volumes.entry(volume).or_default();
            let wait = ((volume.waiting_units + units - level) / rate.max(1e-9) * 1e6)
                .clamp(0.0, 1e12) as Micros;
            volume.waiting_units += units;
            if now + wait > latency_target_at {
                return self.finish(id, Some(wait), actions);
            }
        }
        self.place(now, id);
        let Some(node) = self.requests.get(&id).and_then(|open| open.node) else {
            return;
        };
        self.release(now, node, actions);
        self.shed(now, node, actions);
    }

    /// By when a request that was sent needs its final answer.
    pub(super) fn sent_deadline(&self, request: &Request) -> Micros {
        request.client_deadline - DEADLINE_MARGIN_TICKS * self.settings.timer_resolution
    }

    /// When the latency target of a request ends. A retry of the client has part of its latency target
    /// behind it: it leaves less time than the client's first request, and the difference has passed.
    fn latency_target_at(&mut self, now: Micros, request: &Request) -> Micros {
        let Some(class) = self.settings.classes.get(request.class as usize) else {
            return request.client_deadline;
        };
        let time_left = request.client_deadline - now;
        let longest_timeout = &mut self.longest_client_timeouts[request.class as usize];
        *longest_timeout = time_left.max(*longest_timeout);
        // Less than half of the longest time is a client with a short timeout, not a retry.
        let time_passed = if time_left * 2 < *longest_timeout {
            0
        } else {
            *longest_timeout - time_left
        };
        (now + class.latency_target - time_passed).min(request.client_deadline)
    }

    /// Records what the end of an attempt says about its node and its request. A request that was not
    /// served and has no other attempt in flight is retried or gets its final answer.
    pub(super) fn on_attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Actions) {
        let Some((node, key)) = self.attempts.remove(&(end.request, end.attempt)) else {
            return;
        };
        self.nodes.entry(node).and_modify(|node| {
            node.in_flight
                .retain(|attempt, _| *attempt != (end.request, end.attempt))
        });
        let may_still_run = |_: &Key| {
            matches!(
                end.outcome,
                Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
            )
        };
        let queue = key
            .filter(may_still_run)
            .and_then(|key| self.key_queues.get_mut(&key));
        queue.into_iter().for_each(|queue| {
            queue.cooldown_until = queue.cooldown_until.max(now + self.settings.key_cooldown)
        });
        // The duration of a transfer depends on its size and its client. Only a broken one says something
        // about the node.
        let response_started = self
            .requests
            .get(&end.request)
            .is_some_and(|open| open.response_started);
        if !response_started || !matches!(end.outcome, Outcome::Ok | Outcome::Timeout) {
            self.record_outcome(now, end.node, end.outcome, end.elapsed, actions);
        }
        let warming_up = self
            .nodes
            .get(&node)
            .is_some_and(|node| self.slow_start_age(now, node).is_some());
        let Some(open) = self.requests.get_mut(&end.request) else {
            return;
        };
        self.served_units += if warming_up || end.outcome != Outcome::Ok {
            0.0
        } else {
            open.request.units
        };
        open.in_flight = open.in_flight.saturating_sub(1);
        match end.outcome {
            Outcome::WrongShard => open.request.shard_unknown = true,
            Outcome::Expired => open.limit_charged = open.may_have_run,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => {}
            _ => open.may_have_run = true,
        }
        open.first_attempt = open
            .first_attempt
            .filter(|_| open.in_flight > 0 || open.may_have_run);
        if end.request_finished {
            self.close(end.request);
        } else if open.in_flight == 0 && open.queue_key.is_none() {
            self.retry(now, end.request, end.outcome, actions);
        }
    }

    /// Turns a request into a transfer in progress. The time to its first bytes counts as the node's
    /// latency, and from now on it takes no slot of D.
    pub(super) fn on_response_started(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        actions: &mut Actions,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.response_started = true;
        let Some((node, _)) = self.attempts.get(&(request, attempt)).copied() else {
            return;
        };
        let sent_at = self
            .nodes
            .get_mut(&node)
            .and_then(|node| node.in_flight.remove(&(request, attempt)));
        sent_at.into_iter().for_each(|sent_at| {
            self.record_outcome(now, node, Outcome::Ok, now - sent_at, actions)
        });
    }

    /// After an attempt that did not serve the request: queues the request again, or finishes it if no
    /// other attempt is allowed. It goes back to the same node where that is still the right one.
    fn retry(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Actions) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let exhausted = u32::from(open.attempts) >= open.max_attempts
            || now >= open.request.client_deadline - 4 * self.settings.timer_resolution;
        let (may_have_run, new_object) =
            (open.first_attempt.is_some(), open.request.shard.is_none());
        let node = open.node.and_then(|node| self.nodes.get(&node));
        let not_repeatable =
            may_have_run && node.is_none_or(|node| !self.idempotence_allows(now, open, node));
        if exhausted
            || not_repeatable
            || (outcome == Outcome::NotSent && !new_object)
            || open.response_started
        {
            return self.finish(id, None, actions);
        }
        let stores_data = |node: &Node| {
            !open.request.shard_unknown
                && open.request.shard.is_none_or(|shard| shard == node.shard)
        };
        let usable = node
            .is_some_and(|node| !node.gone && node.draining_since.is_none() && stores_data(node));
        let same_node = usable && (may_have_run || !new_object) && outcome != Outcome::NotSent;
        let Some(node) = open
            .node
            .filter(|_| same_node)
            .and_then(|node| self.nodes.get_mut(&node))
        else {
            return self.place_or_fail(now, id, actions);
        };
        let queue_key = (node.virtual_time.min(open.finish_tag), open.sequence);
        node.queue.insert(queue_key, id);
        self.requests
            .entry(id)
            .and_modify(|open| open.queue_key = Some(queue_key));
    }

    /// The only place that gives a final answer: rejected if a retry by the client is harmless, else
    /// failed. The client is told to come back after `wait`. A transfer with an attempt in flight is left
    /// to its client.
    pub(super) fn finish(&mut self, id: RequestId, wait: Option<Micros>, actions: &mut Actions) {
        let Some(open) = self
            .requests
            .get(&id)
            .filter(|open| !open.response_started || open.in_flight == 0)
        else {
            return;
        };
        if self.may_reject(open) {
            let wait = wait.unwrap_or(MIN_RETRY_AFTER).clamp(
                MIN_RETRY_AFTER,
                self.settings.max_retry_after.max(MIN_RETRY_AFTER),
            );
            let retry_after = self.settings.send_retry_after.then_some(wait);
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id);
    }

    /// Removes a request that needs no other answer. Its attempts in flight are kept until they end.
    pub(super) fn close(&mut self, id: RequestId) {
        self.dequeue(id, true);
        self.awaiting_grant.remove(&id);
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(open.deadline, id));
        let uncharged_units = if open.limit_charged {
            0.0
        } else {
            open.request.units
        };
        self.volumes
            .entry(open.request.volume)
            .and_modify(|volume| {
                volume.waiting_units = (volume.waiting_units - uncharged_units).max(0.0)
            });
    }
}

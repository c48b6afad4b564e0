//! The open requests and their attempts in flight.

use crate::flow::{Flow, FlowEnd};
use crate::order::Order;
use lupinrack_policy::{
    AttemptEnd, LoadReport, Micros, NodeId, Outcome, Request, RequestId, Shard,
};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// An attempt whose outcome has not been reported.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: u16,
    pub(crate) node: NodeId,
    pub(crate) sent: Micros,
    /// The shard that the request had when the attempt was sent.
    pub(crate) shard: Option<Shard>,
}

impl InFlightAttempt {
    /// The balancer's record of its outcome.
    pub(crate) fn ended(
        &self,
        now: Micros,
        request: &OpenRequest,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) -> AttemptEnd {
        AttemptEnd {
            request: request.request.id,
            attempt: self.number,
            node: self.node,
            outcome,
            elapsed: now - self.sent,
            request_finished: request.end.is_some(),
            volume_usage: None,
            units_through_other_hosts: 0.0,
            load,
        }
    }
}

/// How and when a request ended for its client.
#[derive(Clone, Copy)]
pub(crate) struct ClientEnd {
    pub(crate) end: FlowEnd,
    pub(crate) at: Micros,
}

/// An open request.
pub(crate) struct OpenRequest {
    /// The request with its current shard, which may have changed since the request was opened.
    pub(crate) request: Request,
    /// The shard that its client named.
    pub(crate) client_shard: Option<Shard>,
    /// Set once the request has ended for its client; attempts may still be in flight.
    pub(crate) end: Option<ClientEnd>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) attempts_sent: u16,
    orders: mpsc::Sender<Order>,
    opened: Micros,
    units_granted: f64,
    units_requested: f64,
    bytes_forwarded: u64,
}

impl OpenRequest {
    /// A request that arrives now; `client_shard` is the shard that its client named.
    pub(crate) fn new(
        now: Micros,
        request: Request,
        client_shard: Option<Shard>,
        orders: mpsc::Sender<Order>,
    ) -> Self {
        OpenRequest {
            request,
            client_shard,
            end: None,
            in_flight: Vec::new(),
            attempts_sent: 0,
            orders,
            opened: now,
            units_granted: request.units,
            units_requested: 0.0,
            bytes_forwarded: 0,
        }
    }

    /// Gives an order to the owner. Returns false if the owner has ended. The queue is never full; see
    /// [`order_queue_length`](crate::order::order_queue_length).
    pub(crate) fn give(&self, order: Order) -> bool {
        self.orders.try_send(order).is_ok()
    }

    pub(crate) fn request_units(&mut self, units: f64) {
        self.units_requested = units;
    }

    /// Grants the units that were requested.
    pub(crate) fn grant(&mut self) {
        self.units_granted += std::mem::take(&mut self.units_requested);
        self.give(Order::Grant);
    }

    pub(crate) fn add_bytes(&mut self, bytes: u64) {
        self.bytes_forwarded += bytes;
    }

    /// Marks the request as ended for its client, unless it has ended already.
    pub(crate) fn end_for_client(&mut self, now: Micros, end: FlowEnd) {
        self.end = self.end.or(Some(ClientEnd { end, at: now }));
    }

    fn flow(self, end: ClientEnd) -> Flow {
        Flow {
            request: self.request,
            opened: self.opened,
            ended: end.at,
            units: self.units_granted,
            bytes: self.bytes_forwarded,
            attempts: self.attempts_sent,
            end: end.end,
        }
    }
}

/// All open requests, by number.
#[derive(Default)]
pub(crate) struct OpenRequests {
    by_id: BTreeMap<RequestId, OpenRequest>,
    finished: Option<mpsc::Sender<Flow>>,
}

impl OpenRequests {
    /// Sends a record of each finished request to this queue. When the queue is full, the record is dropped.
    pub(crate) fn export_to(&mut self, finished: mpsc::Sender<Flow>) {
        self.finished = Some(finished);
    }

    pub(crate) fn insert(&mut self, open: OpenRequest) {
        self.by_id.insert(open.request.id, open);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.by_id.values()
    }

    /// Removes a request that has ended and has no attempt in flight. This closes its queue of orders.
    pub(crate) fn remove_if_ended(&mut self, id: RequestId) {
        let Some(end) = self
            .get(id)
            .filter(|open| open.in_flight.is_empty())
            .and_then(|open| open.end)
        else {
            return;
        };
        let Some(open) = self.by_id.remove(&id) else {
            return;
        };
        if let Some(finished) = &self.finished {
            // A slow exporter loses records; it never delays the engine.
            let _ = finished.try_send(open.flow(end));
        }
    }
}

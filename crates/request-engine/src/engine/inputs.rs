//! Applies the inputs.

use super::Engine;
use crate::fleet_quota::{limited_plans, FleetQuota};
use crate::flow::FlowEnd;
use crate::input::{Input, Query, Report};
use crate::node_queries::{NodeCounts, NodeResponses};
use crate::open_requests::OpenRequest;
use crate::order::Order;
use lupinrack_policy::{
    Event, LoadReport, Micros, NodeId, Outcome, QuotaShares, Request, RequestId, Settings,
};
use std::sync::Arc;
use tokio::sync::mpsc;

impl Engine {
    pub(super) fn apply(&mut self, now: Micros, input: Input) {
        match input {
            Input::Open { request, orders } => self.open(now, request, orders),
            Input::Report { request, report } => self.apply_report(now, request, report),
            Input::ExtentMap(input) => self.extent_map_input(now, input),
            Input::NodeList { kind, nodes } => {
                let entries = self.nodes.update(now, kind, nodes);
                self.notify_balancer(now, Event::NodeList { kind, entries });
            }
            Input::HealthChecked {
                node,
                outcome,
                elapsed,
                load,
            } => {
                let event = Event::HealthChecked {
                    node,
                    outcome,
                    elapsed,
                    load,
                };
                self.notify_balancer(now, event);
            }
            Input::Settings(settings) => self.update_settings(now, settings),
            Input::ProcessShare { share, applied } => {
                self.notify_balancer(now, Event::ProcessShare(share));
                // An error means that the caller no longer waits.
                let _ = applied.send(());
            }
            Input::QuotaShares { shares, applied } => {
                self.set_quota_shares(now, shares);
                let _ = applied.send(());
            }
            Input::ProbationGrants { nodes, until } => self.grant_probation(now, &nodes, until),
            Input::NodeRecovered(name) => {
                if let Some(node) = self.nodes.id(&name) {
                    self.notify_balancer(now, Event::NodeRecovered(node));
                }
            }
            Input::Query(query) => self.answer(query),
        }
    }

    fn apply_report(&mut self, now: Micros, request: RequestId, report: Report) {
        match report {
            Report::AttemptEnded {
                attempt,
                outcome,
                load,
            } => self.attempt_ended(now, request, attempt, outcome, load),
            Report::WrongShard { attempt, hint } => self.wrong_shard(now, request, attempt, hint),
            Report::ResponseStarted { attempt } => {
                self.notify_balancer(now, Event::ResponseStarted { request, attempt });
            }
            Report::UnitsRequested(units) => self.units_requested(now, request, units),
            Report::BytesForwarded(bytes) => {
                if let Some(open) = self.requests.get_mut(request) {
                    open.add_bytes(bytes);
                }
            }
            Report::ClientGone => self.client_gone(now, request),
            Report::OwnerGone => self.owner_gone(now, request),
        }
    }

    fn answer(&mut self, query: Query) {
        // The answer is dropped if the caller no longer waits.
        match query {
            Query::CountNodes(to) => drop(to.send(self.count_nodes())),
            Query::TakeNodeResponses(to) => drop(to.send(self.take_node_responses())),
            Query::TakeServedVolumes(to) => {
                let served = self.fleet.as_mut().map(FleetQuota::take_served);
                drop(to.send(served.unwrap_or_default()));
            }
        }
    }

    fn open(&mut self, now: Micros, request: Request, orders: mpsc::Sender<Order>) {
        let client_shard = request.shard;
        let request = self.routed(now, request);
        self.requests
            .insert(OpenRequest::new(now, request, client_shard, orders));
        let is_limited = self.limited_plans.get(request.plan as usize) == Some(&true);
        if let Some(fleet) = self.fleet.as_mut().filter(|_| is_limited) {
            fleet.record_served(&request);
        }
        self.notify_balancer(now, Event::RequestArrived(request));
    }

    /// Records the outcome of an attempt. Each attempt has one outcome: a second report finds no such attempt in flight and is ignored.
    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u16,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let index = open
            .in_flight
            .iter()
            .position(|sent| sent.number == attempt);
        let Some(index) = index else { return };
        let sent = open.in_flight.swap_remove(index);
        if let Some(responded) = self
            .responded
            .as_mut()
            .filter(|_| outcome.is_node_response())
        {
            responded.insert(sent.node);
        }
        if outcome == Outcome::Ok {
            open.end_for_client(now, FlowEnd::Served);
        }
        let ended = sent.ended(now, open, outcome, load);
        self.notify_balancer(now, Event::AttemptEnded(ended));
        self.requests.remove_if_ended(id);
    }

    fn units_requested(&mut self, now: Micros, request: RequestId, units: f64) {
        if let Some(open) = self.requests.get_mut(request) {
            open.request_units(units);
        }
        self.notify_balancer(now, Event::UnitsRequested { request, units });
    }

    fn client_gone(&mut self, now: Micros, id: RequestId) {
        // The balancer may have ended the request already; it then ignores a client that disconnects.
        let open = self.requests.get_mut(id).filter(|open| open.end.is_none());
        let Some(open) = open else { return };
        open.end_for_client(now, FlowEnd::ClientGone);
        self.notify_balancer(now, Event::ClientGone(id));
        self.requests.remove_if_ended(id);
    }

    fn owner_gone(&mut self, now: Micros, id: RequestId) {
        self.client_gone(now, id);
        let in_flight = self.requests.get(id).map(|open| open.in_flight.clone());
        for sent in in_flight.unwrap_or_default() {
            self.attempt_ended(now, id, sent.number, Outcome::Reset, None);
        }
    }

    fn update_settings(&mut self, now: Micros, settings: Settings) {
        self.nodes.set_drain_grace(settings.drain_grace);
        self.limited_plans = limited_plans(&settings);
        self.notify_balancer(now, Event::Settings(Box::new(settings)));
    }

    fn set_quota_shares(&mut self, now: Micros, shares: Box<QuotaShares>) {
        let fleet = self.fleet.get_or_insert_default();
        fleet.set_valid_until(shares.valid_until);
        self.notify_balancer(now, Event::QuotaShares(shares));
    }

    fn grant_probation(&mut self, now: Micros, names: &[Arc<str>], until: Micros) {
        let grants = names
            .iter()
            .filter_map(|name| Some((self.nodes.id(name)?, until)))
            .collect();
        self.notify_balancer(now, Event::ProbationGrants(grants));
    }

    fn count_nodes(&self) -> NodeCounts {
        let mut counts = NodeCounts::default();
        for node in self.balancer.node_statuses() {
            counts.listed += 1;
            counts.avoided += usize::from(node.is_avoided);
        }
        counts
    }

    fn take_node_responses(&mut self) -> NodeResponses {
        let name = |node: NodeId| Some(self.nodes.target(node)?.name);
        let unresponsive = self
            .balancer
            .node_statuses()
            .filter(|status| status.is_unresponsive)
            .filter_map(|status| name(status.node))
            .collect();
        let responded = std::mem::take(self.responded.get_or_insert_default());
        NodeResponses {
            unresponsive,
            responded: responded.into_iter().filter_map(name).collect(),
        }
    }
}

//! One incarnation of a server.

use crate::resources::sum;
use crate::run_id::RunId;
use crate::servers::reported_ends::ReportedEnds;
use crate::servers::session::{OrderId, ReportTimes, Session};
use crate::wait_report::Exclusion;
use lupinrack_cluster_api::agent::{Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The index of the rack in a server's labels. The label before it is the server's kind.
const RACK_LABEL: usize = 1;

/// A run that a server lists as running although it is not an open run there.
#[derive(Clone, Debug)]
pub(crate) struct UnexpectedRun {
    /// The capacity that it uses; the server's total capacity if its job is not known.
    pub(crate) needs: Resources,
    /// The latest message with the order to stop it.
    pub(crate) stop_order: Option<OrderId>,
}

/// The kind of message that a heartbeat arrived with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOrigin {
    /// The attachment that started the session. `orders_seen` counts messages of an earlier
    /// session.
    Attachment,
    /// A report. `orders_seen` counts messages of the current session.
    Report,
}

/// A heartbeat that no round has read yet.
#[derive(Clone, Debug)]
pub(crate) struct UnreadHeartbeat {
    pub(crate) heartbeat: Heartbeat,
    /// The kind of message that it arrived with.
    pub(crate) origin: HeartbeatOrigin,
    pub(crate) received_at: Millis,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    /// The facts that the server reports about itself.
    pub(crate) facts: Arc<ServerFacts>,
    /// The address of the agent on its machine.
    pub(crate) agent: PeerAddress,
    /// The session with its agent, if there is one.
    pub(crate) session: Option<Session>,
    /// Whether its binding to the agent is recorded and earlier incarnations of this agent's server
    /// were removed.
    pub(crate) binding_checked: bool,
    /// The highest sequence number of its heartbeats. Heartbeats with lower numbers are late and
    /// ignored.
    pub(crate) sequence: u64,
    /// When it began to drain. Draining cannot be revoked.
    pub(crate) draining_since: Option<Millis>,
    /// While it is draining, the time until which it at least keeps running, if it reports that.
    pub(crate) drain_deadline: Option<Millis>,
    /// Its latest heartbeat, until a round reads it.
    pub(crate) unread: Option<UnreadHeartbeat>,
    /// The runs that it lists although they are not open runs there.
    pub(crate) unexpected: BTreeMap<RunId, UnexpectedRun>,
    pub(crate) ends: ReportedEnds,
    /// When the last message from its agent was received.
    pub(crate) last_contact: Millis,
    /// The time by which all its leases have expired, by the owner's clock.
    pub(crate) lease_bound: Millis,
    /// Whether it has changed since its orders were last written, so that its agent may need a
    /// message.
    pub(crate) may_need_orders: bool,
}

impl Server {
    /// Creates a server that attaches for the first time. It may have leases from earlier owners
    /// until `lease_bound`.
    pub(crate) fn new(
        facts: Arc<ServerFacts>,
        agent: PeerAddress,
        now: Millis,
        lease_bound: Millis,
    ) -> Server {
        Server {
            facts,
            agent,
            session: None,
            binding_checked: false,
            sequence: 0,
            draining_since: None,
            drain_deadline: None,
            unread: None,
            unexpected: BTreeMap::new(),
            ends: ReportedEnds::default(),
            last_contact: now,
            lease_bound,
            may_need_orders: true,
        }
    }

    /// The capacity that its unexpected runs use.
    pub(crate) fn unexpected_usage(&self) -> Resources {
        self.unexpected
            .values()
            .fold(Resources::default(), |total, run| sum(&total, &run.needs))
    }

    /// Records a report from its agent.
    pub(crate) fn record_report(&mut self, report: ReportTimes) {
        self.last_contact = report.received_at;
        self.may_need_orders = true;
        if let Some(session) = &mut self.session {
            session.report = report;
        }
    }

    /// Stores a heartbeat for the next round. A late one is dropped.
    pub(crate) fn receive_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        origin: HeartbeatOrigin,
        received_at: Millis,
    ) {
        if heartbeat.sequence < self.sequence {
            return;
        }
        self.sequence = heartbeat.sequence;
        if heartbeat.draining {
            self.draining_since.get_or_insert(received_at);
        }
        self.drain_deadline = heartbeat
            .remaining_ms
            .map(|remaining_ms| received_at.plus(remaining_ms));
        self.unread = Some(UnreadHeartbeat {
            heartbeat,
            origin,
            received_at,
        });
    }

    /// Records a message sent to its agent. The lease that the message grants expires by
    /// `lease_bound`.
    pub(crate) fn record_sent(
        &mut self,
        message: &OwnerMessage,
        order: OrderId,
        lease_bound: Millis,
    ) {
        for (task, attempt) in &message.stop {
            if let Some(run) = self.unexpected.get_mut(&RunId::new(*task, *attempt)) {
                run.stop_order = Some(order);
            }
        }
        self.lease_bound = self.lease_bound.max(lease_bound);
        if let Some(session) = &mut self.session {
            session.record_sent(message);
        }
    }

    /// Whether a message from its agent was received within the timeout.
    pub(crate) fn is_reachable(&self, now: Millis, timeout_ms: u64) -> bool {
        now.since(self.last_contact) <= timeout_ms
    }

    /// Whether it accepts new work.
    pub(crate) fn is_schedulable(&self, now: Millis, timeout_ms: u64) -> bool {
        self.unschedulable_reason(now, timeout_ms).is_none()
    }

    /// Why it accepts no new work; `None` if it does.
    pub(crate) fn unschedulable_reason(&self, now: Millis, timeout_ms: u64) -> Option<Exclusion> {
        let Some(session) = &self.session else {
            return Some(Exclusion::NoSession);
        };
        if self.draining_since.is_some() {
            Some(Exclusion::Draining)
        } else if !self.is_reachable(now, timeout_ms) {
            Some(Exclusion::NotHeardFrom)
        } else if session.answered.is_none() {
            Some(Exclusion::SessionNotAnswered)
        } else {
            None
        }
    }
}

/// The label of a server's rack; empty if it has none.
pub(crate) fn rack_of(facts: &ServerFacts) -> &str {
    facts.labels.get(RACK_LABEL).map_or("", String::as_str)
}

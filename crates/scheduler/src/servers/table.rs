//! The table of servers.

use crate::resources::sum;
use crate::run_id::RunId;
use crate::servers::server::{HeartbeatOrigin, Server, UnreadHeartbeat};
use crate::servers::session::{ReportTimes, Session, SessionId};
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The message that starts a session.
#[derive(Debug)]
pub(crate) struct Attachment {
    /// The address of the agent.
    pub(crate) agent: PeerAddress,
    pub(crate) connection: u64,
    /// The facts that the server reports about itself.
    pub(crate) facts: ServerFacts,
    /// The latest heartbeat of the server.
    pub(crate) heartbeat: Heartbeat,
    /// When the message was sent and received.
    pub(crate) report: ReportTimes,
}

/// A server whose leases have all expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExpiredServer {
    pub(crate) id: ServerId,
    /// Whether its agent still has a session.
    pub(crate) has_session: bool,
}

/// All known servers, by incarnation. An agent has a session for at most one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    /// The incarnation for which each agent last attached.
    by_agent: BTreeMap<PeerAddress, ServerId>,
    /// The number of the latest session.
    last_session: u64,
}

impl ServerTable {
    /// Starts a session. A server that was not known before may have leases from earlier owners
    /// until `lease_bound`.
    pub(crate) fn attach(&mut self, attachment: Attachment, lease_bound: Millis) {
        let Attachment {
            agent,
            connection,
            facts,
            heartbeat,
            report,
        } = attachment;
        let id = facts.id.clone();
        let session = Session::new(self.next_session(), connection, report);
        self.end_other_session_of(agent, &id);
        let facts = Arc::new(facts);
        let server = self
            .servers
            .entry(id.clone())
            .or_insert_with(|| Server::new(facts.clone(), agent, report.received_at, lease_bound));
        // Attachments on two connections may arrive out of order.
        if heartbeat.sequence >= server.sequence {
            server.facts = facts;
        }
        server.agent = agent;
        server.session = Some(session);
        server.binding_checked = false;
        server.record_report(report);
        server.receive_heartbeat(heartbeat, HeartbeatOrigin::Attachment, report.received_at);
        self.by_agent.insert(agent, id);
    }

    /// Resets the session of a server on its connection, so that its next message is complete.
    pub(crate) fn reset_session(&mut self, id: &ServerId) {
        let session_id = self.next_session();
        let session = self.get_mut(id).and_then(|server| server.session.as_mut());
        if let Some(session) = session {
            session.reset(session_id);
        }
    }

    /// Ends the session of this connection.
    pub(crate) fn detach(&mut self, agent: PeerAddress, connection: u64) {
        if let Some(server) = self.get_by_connection(agent, connection) {
            server.session = None;
        }
    }

    /// The server whose current session is on this connection.
    pub(crate) fn get_by_connection(
        &mut self,
        agent: PeerAddress,
        connection: u64,
    ) -> Option<&mut Server> {
        let server = self.servers.get_mut(self.by_agent.get(&agent)?)?;
        let is_current = server
            .session
            .as_ref()
            .is_some_and(|session| session.connection == connection);
        is_current.then_some(server)
    }

    pub(crate) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Mutable access to a server. Marks it as possibly needing orders.
    pub(crate) fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        let server = self.servers.get_mut(id)?;
        server.may_need_orders = true;
        Some(server)
    }

    /// Notes that all messages due to the server's agent have been written.
    pub(crate) fn set_orders_written(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.may_need_orders = false;
        }
    }

    pub(crate) fn remove(&mut self, id: &ServerId) {
        let Some(server) = self.servers.remove(id) else {
            return;
        };
        if self.by_agent.get(&server.agent) == Some(id) {
            self.by_agent.remove(&server.agent);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.servers.iter()
    }

    /// The servers that have a session.
    pub(crate) fn attached(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.iter().filter(|(_, server)| server.session.is_some())
    }

    /// The servers that accept new work.
    pub(crate) fn schedulable(
        &self,
        now: Millis,
        timeout_ms: u64,
    ) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.iter()
            .filter(move |(_, server)| server.is_schedulable(now, timeout_ms))
    }

    /// Moves the times of the last contacts forward by the time that this owner stood still.
    pub(crate) fn exclude_stall(&mut self, stalled_ms: u64, now: Millis) {
        for server in self.servers.values_mut() {
            server.last_contact = server.last_contact.plus(stalled_ms).min(now);
        }
    }

    pub(crate) fn has_draining(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.draining_since.is_some())
    }

    /// The servers whose leases have all expired and whose agents have sent nothing within the
    /// timeout.
    pub(crate) fn expired(&self, now: Millis, timeout_ms: u64) -> Vec<ExpiredServer> {
        self.iter()
            .filter(|(_, server)| now > server.lease_bound && !server.is_reachable(now, timeout_ms))
            .map(|(id, server)| ExpiredServer {
                id: id.clone(),
                has_session: server.session.is_some(),
            })
            .collect()
    }

    /// The other incarnations that belong to the same agent.
    pub(crate) fn other_incarnations_of(
        &self,
        agent: PeerAddress,
        incarnation: &ServerId,
    ) -> Vec<ServerId> {
        self.iter()
            .filter(|(id, server)| server.agent == agent && *id != incarnation)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes the latest heartbeat of each server that has sent one since the last call.
    pub(crate) fn take_unread(&mut self) -> Vec<(ServerId, UnreadHeartbeat)> {
        self.servers
            .iter_mut()
            .filter_map(|(id, server)| {
                let unread = server.unread.take()?;
                Some((id.clone(), unread))
            })
            .collect()
    }

    /// Marks the ends of this run as recorded on every server that reported one.
    pub(crate) fn set_end_recorded(&mut self, run: RunId) {
        for server in self.servers.values_mut() {
            server.ends.set_recorded(run);
            server.may_need_orders = true;
        }
    }

    /// The number of servers.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// The capacity of all servers together.
    pub(crate) fn total_capacity(&self) -> Resources {
        self.servers
            .values()
            .fold(Resources::default(), |total, server| {
                sum(&total, &server.facts.capacity)
            })
    }

    /// The number of sessions that were begun.
    pub(crate) fn session_count(&self) -> u64 {
        self.last_session
    }

    fn next_session(&mut self) -> SessionId {
        self.last_session += 1;
        SessionId(self.last_session)
    }

    /// Ends the agent's session for another incarnation. An agent reports for one incarnation at a
    /// time.
    fn end_other_session_of(&mut self, agent: PeerAddress, incarnation: &ServerId) {
        let other = self
            .by_agent
            .get(&agent)
            .filter(|other| *other != incarnation);
        if let Some(server) = other.and_then(|other| self.servers.get_mut(other)) {
            server.session = None;
        }
    }
}

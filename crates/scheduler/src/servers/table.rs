//! The server table: what the agents have told of each server, and until when it may hold what runs there.

use crate::resources::sum;
use crate::runs::table::SentIn;
use crate::servers::reported_ends::EndList;
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, PeerAddress, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Which of a server's labels names its rack; the one before it names its kind.
const RACK_LABEL: usize = 1;

/// A report of an agent: when it was sent by the agent's clock, and when it was received by the owner's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTimes {
    /// By the agent's clock.
    pub sent_at: Millis,
    /// By the owner's clock.
    pub received_at: Millis,
}

/// A connection to an agent, from its attachment on.
#[derive(Clone, Debug)]
pub struct Session {
    /// Differs between all sessions of this owner.
    pub id: u64,
    /// The connection.
    pub connection: u64,
    /// The number of the next message.
    pub next_number: u64,
    /// The newest report.
    pub report: ReportTimes,
    /// The report that the newest message answered; none before the first message.
    pub granted: Option<ReportTimes>,
    /// The bound on observed ends in the newest message.
    pub observed_sent: u64,
    /// The cadence in the newest message.
    pub heartbeat_sent: u64,
}

impl Session {
    fn new(id: u64, connection: u64, report: ReportTimes) -> Session {
        Session {
            id,
            connection,
            next_number: 1,
            report,
            granted: None,
            observed_sent: 0,
            heartbeat_sent: 0,
        }
    }
}

/// A run that a server lists although no record asks for it.
#[derive(Clone, Debug)]
pub struct ForeignRun {
    /// What it takes; all that the server has where its job is not known.
    pub needs: Resources,
    /// Which message carried its stop.
    pub stop_sent: Option<SentIn>,
}

/// A server, in one of its lives.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it says of itself.
    pub facts: Arc<ServerFacts>,
    /// The agent on its machine.
    pub agent: PeerAddress,
    /// The connection to its agent, while there is one.
    pub session: Option<Session>,
    /// The highest sequence number of a heartbeat of it; what comes under a lower one is late and tells nothing.
    pub sequence: u64,
    /// Since when it drains, if it does. That does not end.
    pub draining_since: Option<Millis>,
    /// While it drains, until when it stays at least.
    pub leaves_at: Option<Millis>,
    /// The newest heartbeat, until a round has read it; with whether it belongs to the session's orders.
    pub unread: Option<UnreadHeartbeat>,
    /// Runs that no record asks for.
    pub foreign: BTreeMap<(TaskId, Attempt), ForeignRun>,
    /// The ends that it lists.
    pub ends: EndList,
    /// When its agent was last heard of.
    pub last_contact: Millis,
    /// The latest moment up to which it may hold anything.
    pub lease_bound: Millis,
}

/// A heartbeat that was received and not read yet.
#[derive(Clone, Debug)]
pub struct UnreadHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether its `orders_seen` counts messages of the present session; one that came with an attachment does not.
    pub of_session: bool,
    /// When it was received.
    pub received_at: Millis,
}

impl Server {
    /// What the runs take that no record asks for.
    pub fn foreign_use(&self) -> Resources {
        self.foreign
            .values()
            .fold(Resources::default(), |total, run| sum(&total, &run.needs))
    }

    /// Notes that something was heard from its agent.
    pub fn heard(&mut self, report: ReportTimes) {
        self.last_contact = report.received_at;
        if let Some(session) = &mut self.session {
            session.report = report;
        }
    }

    /// Notes a heartbeat for the next round; a late one is dropped.
    pub fn take_heartbeat(&mut self, heartbeat: Heartbeat, of_session: bool, received_at: Millis) {
        if heartbeat.sequence < self.sequence {
            return;
        }
        self.sequence = heartbeat.sequence;
        if heartbeat.draining {
            self.draining_since.get_or_insert(received_at);
        }
        self.leaves_at = heartbeat.remaining_ms.map(|left| received_at.plus(left));
        self.unread = Some(UnreadHeartbeat {
            heartbeat,
            of_session,
            received_at,
        });
    }

    /// Whether it may be given something new.
    pub fn is_schedulable(&self, now: Millis, heartbeat_timeout_ms: u64) -> bool {
        let ordered = self
            .session
            .as_ref()
            .is_some_and(|session| session.granted.is_some());
        ordered
            && self.draining_since.is_none()
            && now.since(self.last_contact) <= heartbeat_timeout_ms
    }
}

/// The label of a server's rack; empty where it has none.
pub fn rack_of(facts: &ServerFacts) -> &str {
    facts.labels.get(RACK_LABEL).map_or("", String::as_str)
}

/// The servers that are known, by their lives.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    by_agent: BTreeMap<PeerAddress, ServerId>,
    sessions: u64,
}

/// Who attaches.
pub struct Attachment {
    /// The agent.
    pub agent: PeerAddress,
    /// Its connection.
    pub connection: u64,
    /// What the server says of itself.
    pub facts: ServerFacts,
    /// The server's newest heartbeat.
    pub heartbeat: Heartbeat,
    /// The moments of the attachment.
    pub report: ReportTimes,
}

impl ServerTable {
    /// Begins a session. `lease_bound` is until when a server that was not known may hold what earlier owners granted.
    pub fn attach(&mut self, attachment: Attachment, lease_bound: Millis) {
        let Attachment {
            agent,
            connection,
            facts,
            heartbeat,
            report,
        } = attachment;
        let id = facts.id.clone();
        self.sessions += 1;
        self.end_session_beside(agent, &id);
        let facts = Arc::new(facts);
        let server = self.servers.entry(id.clone()).or_insert_with(|| Server {
            facts: facts.clone(),
            agent,
            session: None,
            sequence: 0,
            draining_since: None,
            leaves_at: None,
            unread: None,
            foreign: BTreeMap::new(),
            ends: EndList::default(),
            last_contact: report.received_at,
            lease_bound,
        });
        if heartbeat.sequence >= server.sequence {
            server.facts = facts;
        }
        server.agent = agent;
        server.session = Some(Session::new(self.sessions, connection, report));
        server.heard(report);
        server.take_heartbeat(heartbeat, false, report.received_at);
        self.by_agent.insert(agent, id);
    }

    /// Begins the session of a server anew on its connection: its next message holds everything.
    pub fn renew_session(&mut self, id: &ServerId) {
        self.sessions += 1;
        let session = self
            .servers
            .get_mut(id)
            .and_then(|server| server.session.as_mut());
        if let Some(session) = session {
            session.id = self.sessions;
            session.granted = None;
        }
    }

    /// An agent speaks for one life at a time.
    fn end_session_beside(&mut self, agent: PeerAddress, incarnation: &ServerId) {
        let before = self
            .by_agent
            .get(&agent)
            .filter(|before| *before != incarnation);
        if let Some(server) = before.and_then(|before| self.servers.get_mut(before)) {
            server.session = None;
        }
    }

    /// Ends the session of this connection.
    pub fn detach(&mut self, agent: PeerAddress, connection: u64) {
        if let Some(server) = self.in_session(agent, connection) {
            server.session = None;
        }
    }

    /// The server of the session on this connection.
    pub fn in_session(&mut self, agent: PeerAddress, connection: u64) -> Option<&mut Server> {
        let server = self.servers.get_mut(self.by_agent.get(&agent)?)?;
        let current = server
            .session
            .as_ref()
            .is_some_and(|session| session.connection == connection);
        current.then_some(server)
    }

    /// A server.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// A server, to be changed.
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Forgets a life.
    pub fn remove(&mut self, id: &ServerId) -> Option<Server> {
        let server = self.servers.remove(id)?;
        if self.by_agent.get(&server.agent) == Some(id) {
            self.by_agent.remove(&server.agent);
        }
        Some(server)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.servers.iter()
    }

    /// All servers, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ServerId, &mut Server)> {
        self.servers.iter_mut()
    }

    /// What all servers have together.
    pub fn total_capacity(&self) -> Resources {
        self.servers
            .values()
            .fold(Resources::default(), |total, server| {
                sum(&total, &server.facts.capacity)
            })
    }
}

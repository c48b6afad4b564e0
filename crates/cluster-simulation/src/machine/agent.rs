//! The agent beside a server: the program's state machine without sockets.

use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::agent::machine::{AgentEffect, AgentMachine};
use lupinrack_worker_agent::{AgentSettings, ServerHeartbeat};

/// Identifies a server's heartbeat, so that the reply can be matched to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeartbeatCall {
    /// The server's incarnation.
    pub server: ServerId,
    /// When the server sent it.
    pub sent_at: u64,
    /// The highest number among the ends that it lists; 0 if it lists none.
    pub highest_end: u64,
}

/// An effect of an agent process.
pub(crate) type HeartbeatAgentEffect = AgentEffect<HeartbeatCall>;

/// The process of an agent.
#[derive(Debug)]
pub(crate) struct AgentProcess {
    machine: AgentMachine<HeartbeatCall>,
    /// The processes that membership reports as alive, which may be wrong.
    table: LiveTable,
    has_ended: bool,
}

impl AgentProcess {
    /// Starts the process now. It keeps this membership table until it ends.
    pub(crate) fn new(
        own: LiveMember,
        table: LiveTable,
        seeds: Vec<PeerAddress>,
        config: AgentSettings,
        now: Millis,
    ) -> AgentProcess {
        AgentProcess {
            machine: AgentMachine::new(own, seeds, None, config, now),
            table,
            has_ended: false,
        }
    }

    /// Handles a received frame.
    pub(crate) fn on_frame(
        &mut self,
        from: PeerAddress,
        frame: Frame,
        now: Millis,
    ) -> Vec<HeartbeatAgentEffect> {
        self.machine.on_frame(from, frame, now)
    }

    /// Handles the end of a connection.
    pub(crate) fn on_closed(
        &mut self,
        from: PeerAddress,
        now: Millis,
    ) -> Vec<HeartbeatAgentEffect> {
        self.machine.on_closed(from, now)
    }

    /// Handles a heartbeat of the server.
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: ServerHeartbeat,
        sent_at: u64,
        now: Millis,
    ) -> Vec<HeartbeatAgentEffect> {
        let call = HeartbeatCall {
            server: heartbeat.facts.id.clone(),
            sent_at,
            highest_end: heartbeat
                .heartbeat
                .finished
                .iter()
                .map(|end| end.number)
                .max()
                .unwrap_or(0),
        };
        self.machine.on_heartbeat(heartbeat, call, now)
    }

    /// Answers the open heartbeat, whose waiting time has passed.
    pub(crate) fn on_answer_due(&mut self, now: Millis) -> Vec<HeartbeatAgentEffect> {
        self.machine.on_response_due(now)
    }

    /// Whether the open heartbeat has to be answered now.
    pub(crate) fn is_answer_due(&self, now: Millis) -> bool {
        self.machine
            .response_due_at()
            .is_some_and(|until| now >= until)
    }

    /// Handles the graceful shutdown of the server.
    pub(crate) fn on_deregister(
        &mut self,
        server: ServerId,
        now: Millis,
    ) -> Vec<HeartbeatAgentEffect> {
        self.machine.on_deregister(server, now)
    }

    /// Shuts down at once.
    pub(crate) fn on_terminate(&mut self) -> Vec<HeartbeatAgentEffect> {
        self.has_ended = true;
        Vec::new()
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Handles the passing of time.
    pub(crate) fn on_tick(&mut self, now: Millis) -> Vec<HeartbeatAgentEffect> {
        self.machine.on_tick(&self.table, now)
    }
}

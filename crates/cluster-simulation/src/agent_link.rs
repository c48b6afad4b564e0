//! Messages between servers and their agents.

use crate::machine::ProcessEvent;
use crate::world::{AgentLinkMessage, World};
use lupinrack_worker_agent::ServerHeartbeat;

impl World {
    pub(crate) fn deliver_agent_link(&mut self) {
        while let Some(entry) = self.local.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (slot, message) = entry.remove();
            let side = self.agent_of(slot);
            match message {
                AgentLinkMessage::Heartbeat(heartbeat, sent_at) => {
                    self.dispatch(side, ProcessEvent::Heartbeat { heartbeat, sent_at });
                }
                AgentLinkMessage::Answer(incarnation, answer) => {
                    self.answer(slot, incarnation, &answer);
                }
                AgentLinkMessage::Deregistered(server) => {
                    self.dispatch(side, ProcessEvent::Deregistered(server));
                }
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.now;
        for slot in 0..self.server_slots.len() {
            let Some(server) = &mut self.server_slots[slot].server else {
                continue;
            };
            if !server.is_heartbeat_due(now) {
                continue;
            }
            let heartbeat = server.heartbeat(now);
            let heartbeat = ServerHeartbeat {
                ends_listed: heartbeat.finished.len(),
                facts: server.facts.clone(),
                heartbeat,
                unknown_runs: Vec::new(),
                address: String::new(),
                slots: 8,
                warm_up_remaining_ms: 0,
                clock_ms: now,
            };
            self.send_to_agent_link(slot, AgentLinkMessage::Heartbeat(Box::new(heartbeat), now));
        }
    }
}

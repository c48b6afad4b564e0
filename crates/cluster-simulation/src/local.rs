//! What passes between servers and their agents.

use crate::machine::ProcessEvent;
use crate::world::{LocalMessage, World};
use lupinrack_worker_agent::ServerHeartbeat;

impl World {
    pub(crate) fn deliver_local(&mut self) {
        while let Some(entry) = self.local.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (place, message) = entry.remove();
            let side = self.side_of(place);
            match message {
                LocalMessage::Heartbeat(beat, sent_at) => {
                    self.dispatch(side, ProcessEvent::Heartbeat { beat, sent_at });
                }
                LocalMessage::Answer(incarnation, answer) => {
                    self.answer(place, incarnation, &answer)
                }
                LocalMessage::Left(server) => self.dispatch(side, ProcessEvent::Left(server)),
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.now;
        for place in 0..self.places.len() {
            let Some(server) = &mut self.places[place].server else {
                continue;
            };
            if !server.wants_heartbeat(now) {
                continue;
            }
            let heartbeat = server.beat(now);
            let beat = ServerHeartbeat {
                ends_listed: heartbeat.finished.len(),
                facts: server.facts.clone(),
                heartbeat,
                unknown_runs: Vec::new(),
                address: String::new(),
                slots: 8,
                warm_up_remaining_ms: 0,
                clock_ms: now,
            };
            self.send_local(place, LocalMessage::Heartbeat(Box::new(beat), now));
        }
    }
}

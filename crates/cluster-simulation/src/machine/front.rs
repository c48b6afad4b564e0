//! A front, without its sockets: the machine of the real one, and what its driver decides by the clock.

use crate::faults::schedule::GRACE_MS;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::control_api::HeadCall;
use lupinrack_cluster_node::front::known_configuration::negative_answer_validity_ms;
use lupinrack_cluster_node::front::machine::{
    FrontEffect, FrontMachine, ACCEPT_CALLS_PERCENT, EXIT_PERCENT, READY_TIMEOUT_MS,
};

/// How soon a change is in force at every machine in touch, in milliseconds, as the settings of a deployment say.
const CONFIGURATION_APPLY_MS: u64 = 2_000;

/// The process of a front.
#[derive(Debug)]
pub(crate) struct FrontProcess {
    machine: FrontMachine,
    /// The fronts that membership reports as alive, whether they are or not.
    table: LiveTable,
    ending_since: Option<Millis>,
}

impl FrontProcess {
    /// Starts now, with this membership table until it ends.
    pub(crate) fn new(
        own: LiveMember,
        table: LiveTable,
        seeds: Vec<PeerAddress>,
        now: Millis,
    ) -> FrontProcess {
        FrontProcess {
            machine: FrontMachine::new(own, seeds, now),
            table,
            ending_since: None,
        }
    }

    /// Whether it takes new connections.
    pub(crate) fn is_ready(&self, now: Millis) -> bool {
        self.ending_since.is_none()
            && self
                .machine
                .known()
                .is_confirmed_within(READY_TIMEOUT_MS, now)
    }

    /// The newest view that it knows.
    pub(crate) fn view(&self) -> &View {
        self.machine.view()
    }

    /// It is asked to shut down, and goes on serving for a part of its grace.
    pub(crate) fn on_terminate(&mut self, now: Millis) -> Vec<FrontEffect> {
        self.ending_since.get_or_insert(now);
        Vec::new()
    }

    /// Whether the process, asked to shut down, has ended.
    pub(crate) fn has_ended(&self, now: Millis) -> bool {
        let Some(waited) = self.ending_since.map(|since| now.since(since)) else {
            return false;
        };
        let served_on = waited >= GRACE_MS * ACCEPT_CALLS_PERCENT / 100;
        (served_on && self.machine.is_idle()) || waited >= GRACE_MS * EXIT_PERCENT / 100
    }

    /// A frame came.
    pub(crate) fn on_frame(
        &mut self,
        from: PeerAddress,
        connection: u64,
        frame: Frame,
        now: Millis,
    ) -> Vec<FrontEffect> {
        self.machine.on_frame(from, connection, frame, now)
    }

    /// A connection ended.
    pub(crate) fn on_closed(
        &mut self,
        from: PeerAddress,
        connection: u64,
        now: Millis,
    ) -> Vec<FrontEffect> {
        self.machine.on_closed(from, connection, now)
    }

    /// A client's call; answered at once where the queue is known not to exist.
    pub(crate) fn on_call(&mut self, call: HeadCall, now: Millis) -> Vec<FrontEffect> {
        let negative_answer_validity_ms = negative_answer_validity_ms(CONFIGURATION_APPLY_MS);
        let lacks_queue = |target| {
            self.machine
                .known()
                .lacks_queue(target, negative_answer_validity_ms, now)
        };
        if target_of(&call.request).is_some_and(lacks_queue) {
            // A client that has gone needs no answer.
            let _ = call.reply_to.send(Reply::Error(ErrorKind::UnknownQueue));
            return Vec::new();
        }
        self.machine.on_call(call, now)
    }

    /// Time has passed.
    pub(crate) fn on_tick(&mut self, now: Millis) -> Vec<FrontEffect> {
        self.machine.on_tick(&self.table, now)
    }
}

fn target_of(request: &Request) -> Option<&Target> {
    match request {
        Request::SubmitJob { target, .. }
        | Request::ReadJob { target, .. }
        | Request::CancelJob { target, .. }
        | Request::ReadQueue { target } => Some(target),
        _ => None,
    }
}

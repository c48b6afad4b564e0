//! A front: the program's state machine without sockets, with its driver's timed decisions.

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

/// Time until a change is in force on every connected machine, in milliseconds, as in a deployment's settings.
const CONFIGURATION_APPLY_MS: u64 = 2_000;

/// The process of a front.
#[derive(Debug)]
pub(crate) struct FrontProcess {
    machine: FrontMachine,
    /// The fronts that membership reports as alive, which may be wrong.
    table: LiveTable,
    ending_since: Option<Millis>,
}

impl FrontProcess {
    /// Starts the process now. It keeps this membership table until it ends.
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

    /// Whether it accepts new connections.
    pub(crate) fn is_ready(&self, now: Millis) -> bool {
        self.ending_since.is_none()
            && self
                .machine
                .known()
                .is_confirmed_within(READY_TIMEOUT_MS, now)
    }

    /// The newest view known to it.
    pub(crate) fn view(&self) -> &View {
        self.machine.view()
    }

    /// Begins the graceful shutdown; the front keeps serving for a part of its grace.
    pub(crate) fn on_terminate(&mut self, now: Millis) -> Vec<FrontEffect> {
        self.ending_since.get_or_insert(now);
        Vec::new()
    }

    /// Whether the process has ended after its shutdown signal.
    pub(crate) fn has_ended(&self, now: Millis) -> bool {
        let Some(waited) = self.ending_since.map(|since| now.since(since)) else {
            return false;
        };
        let served_on = waited >= GRACE_MS * ACCEPT_CALLS_PERCENT / 100;
        (served_on && self.machine.is_idle()) || waited >= GRACE_MS * EXIT_PERCENT / 100
    }

    /// Handles a received frame.
    pub(crate) fn on_frame(
        &mut self,
        from: PeerAddress,
        connection: u64,
        frame: Frame,
        now: Millis,
    ) -> Vec<FrontEffect> {
        self.machine.on_frame(from, connection, frame, now)
    }

    /// Handles the end of a connection.
    pub(crate) fn on_closed(
        &mut self,
        from: PeerAddress,
        connection: u64,
        now: Millis,
    ) -> Vec<FrontEffect> {
        self.machine.on_closed(from, connection, now)
    }

    /// Handles a client's call. A call for a queue that does not exist is answered at once.
    pub(crate) fn on_call(&mut self, call: HeadCall, now: Millis) -> Vec<FrontEffect> {
        let negative_answer_validity_ms = negative_answer_validity_ms(CONFIGURATION_APPLY_MS);
        let lacks_queue = |target| {
            self.machine
                .known()
                .lacks_queue(target, negative_answer_validity_ms, now)
        };
        if target_of(&call.request).is_some_and(lacks_queue) {
            // A client that has disconnected needs no answer.
            let _ = call.reply_to.send(Reply::Error(ErrorKind::UnknownQueue));
            return Vec::new();
        }
        self.machine.on_call(call, now)
    }

    /// Handles the passing of time.
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

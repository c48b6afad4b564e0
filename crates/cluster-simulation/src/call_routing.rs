//! Which front or core machine a client or the operator calls, and the call itself.

use crate::machine::{Machine, Process, ProcessEvent};
use crate::world::World;
use lupinrack_cluster_node::control_api::HeadCall;

impl World {
    /// The front that a client calls: one that the platform gives new connections to, or the one that callers insist on.
    pub(crate) fn choose_ready_front(&mut self) -> Option<usize> {
        if let Some(isolated_targets) = self
            .active_faults
            .isolated_targets
            .filter(|_| self.rng.bool())
        {
            return Some(isolated_targets.front);
        }
        let now = self.now;
        let ready = |machine: &Machine| match &machine.process {
            Some(Process::Front(front)) => front.is_ready(machine.clock.read(now).now),
            _ => false,
        };
        let fronts: Vec<usize> = self
            .fronts()
            .filter(|front| ready(&self.machines[*front]))
            .collect();
        self.rng.choice(fronts)
    }

    /// The core machine that the operator calls: one whose process runs, or the one that callers insist on.
    pub(crate) fn choose_core(&mut self) -> Option<usize> {
        if let Some(isolated_targets) = self
            .active_faults
            .isolated_targets
            .filter(|_| self.rng.u32(0..3) > 0)
        {
            return Some(isolated_targets.core);
        }
        let cores: Vec<usize> = self
            .cores()
            .into_iter()
            .filter(|core| self.machines[*core].process.is_some())
            .collect();
        self.rng.choice(cores)
    }

    pub(crate) fn call_front(&mut self, front: usize, call: HeadCall) {
        self.dispatch(front, ProcessEvent::Call(call));
    }

    pub(crate) fn call_core(&mut self, core: usize, call: HeadCall) {
        self.dispatch(core, ProcessEvent::Call(call));
    }
}

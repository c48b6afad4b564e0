//! Chooses the front or core machine that a client or the operator calls, and makes the call.

use crate::machine::{Machine, Process, ProcessEvent};
use crate::world::World;
use lupinrack_cluster_node::control_api::HeadCall;

impl World {
    /// The front for a client's call: a ready one, or the isolated one that all callers are directed to.
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

    /// The core machine for the operator's call: a running one, or the isolated one that all callers are directed to.
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

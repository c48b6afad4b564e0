//! Injects scheduled faults into the world, and ends them.

use crate::faults::active::Recovery;
use crate::faults::schedule::{Fault, ScheduledFault, GRACE_MS};
use crate::machine::ProcessEvent;
use crate::server::ServerBehavior;
use crate::world::{AgentLinkMessage, World};

/// How much longer frames take on slow links at most, in milliseconds.
pub(super) const SLOW_MS: u64 = 400;

impl World {
    /// Ends what is over.
    pub(crate) fn recover_from_expired_faults(&mut self) {
        for ending in self.active_faults.take_expired(self.now) {
            self.recover(ending);
        }
    }

    /// Injects a fault. Actions of the operator are not the world's to take.
    pub(crate) fn inject_fault(&mut self, entry: ScheduledFault) {
        let ScheduledFault {
            duration_ms, fault, ..
        } = entry;
        match fault {
            Fault::Operator(_) => {}
            Fault::Core(kind, selector) => self.inject_core_fault(kind, selector, duration_ms),
            Fault::CrashOnAck(crash_on_ack) => {
                self.active_faults.crash_on_ack = Some(crash_on_ack);
                self.recover_after(duration_ms, Recovery::DisarmCrash);
            }
            Fault::KillAll => self.kill_all(duration_ms),
            Fault::PowerLossOfAllCores => {
                self.lose_power_of_all_cores();
                self.recover_after(duration_ms, Recovery::Automatic);
            }
            Fault::AcknowledgementLoss => {
                self.active_faults.acknowledgements_lost = true;
                self.recover_after(duration_ms, Recovery::RestoreAcknowledgements);
            }
            Fault::SeedChange => self.choose_seeds(),
            fault => self.inject_other_fault(fault, duration_ms),
        }
    }

    fn inject_other_fault(&mut self, fault: Fault, duration_ms: u64) {
        let ending = match fault {
            Fault::FrontKill(machine) | Fault::AgentKill(machine) => {
                let powered = self.rng.bool();
                self.kill(machine, powered, duration_ms);
                Recovery::Automatic
            }
            Fault::FrontSuspend(machine) | Fault::AgentSuspend(machine) => {
                self.set_suspended(machine, true);
                Recovery::Resume(machine)
            }
            Fault::FrontShutdown(machine) | Fault::AgentShutdown(machine) => {
                self.shut_down(machine)
            }
            Fault::FrontRemoval(machine) => self.remove_front(machine),
            Fault::FrontPartition(machine) => self.partition_from_core(machine, false),
            Fault::AgentPartition(machine, one_way) => self.partition_from_core(machine, one_way),
            Fault::AgentSlowLinks(machine) => {
                self.network.set_slow(machine, SLOW_MS);
                Recovery::RestoreLinks(machine)
            }
            Fault::ConnectionReset(machine) => {
                self.network.reset_some(machine);
                Recovery::Automatic
            }
            Fault::ClockStep(machine, by) => {
                self.machines[machine].clock.wall_offset_ms += by;
                Recovery::StepClockBack(machine, by)
            }
            Fault::ServerCrash(slot) => {
                self.crash(slot, duration_ms);
                Recovery::Automatic
            }
            Fault::ServerBehaviorChange(slot, behavior) => {
                self.set_behavior(slot, behavior);
                Recovery::HealServer(slot)
            }
            Fault::ServerShutdown(slot) => {
                self.drain_server(slot);
                Recovery::Automatic
            }
            _ => return,
        };
        let duration_ms = if matches!(ending, Recovery::KillIfRunning(..)) {
            GRACE_MS
        } else {
            duration_ms
        };
        self.recover_after(duration_ms, ending);
    }

    pub(super) fn recover_after(&mut self, duration_ms: u64, ending: Recovery) {
        self.active_faults
            .ends
            .push((self.now + duration_ms, ending));
    }

    fn recover(&mut self, ending: Recovery) {
        match ending {
            Recovery::Automatic => {}
            Recovery::Resume(machine) => self.set_suspended(machine, false),
            Recovery::EndIntermittentRun(machine) => self.set_intermittent(machine, false),
            Recovery::HealPartition(partitions) => partitions
                .into_iter()
                .for_each(|(from, to)| self.network.heal(from, to)),
            Recovery::ReleaseCallers => self.active_faults.isolated_targets = None,
            Recovery::RepairDisk(machine) => self.repair_disk(machine),
            Recovery::RestoreLinks(machine) => self.network.set_slow(machine, 0),
            Recovery::StepClockBack(machine, by) => {
                self.machines[machine].clock.wall_offset_ms -= by;
            }
            Recovery::HealServer(slot) => self.set_behavior(slot, ServerBehavior::Healthy),
            Recovery::KillIfRunning(machine, incarnation) => {
                self.kill_if_running(machine, incarnation);
            }
            Recovery::ShutDownForGood(machine) => self.shut_down_for_good(machine),
            Recovery::RestoreAcknowledgements => self.active_faults.acknowledgements_lost = false,
            Recovery::DisarmCrash => self.active_faults.crash_on_ack = None,
        }
    }

    fn kill_all(&mut self, back_within_ms: u64) {
        for machine in 0..self.machines.len() {
            let down_ms = 100 + self.rng.u64(0..back_within_ms);
            self.kill(machine, true, down_ms);
        }
        self.recover_after(back_within_ms, Recovery::Automatic);
    }

    /// Tells a process to end; it is killed where it has not ended within the grace.
    pub(super) fn shut_down(&mut self, machine: usize) -> Recovery {
        self.dispatch(machine, ProcessEvent::Terminate);
        Recovery::KillIfRunning(machine, self.machines[machine].incarnation)
    }

    fn kill_if_running(&mut self, machine: usize, incarnation: u64) {
        let one = &self.machines[machine];
        if one.incarnation == incarnation && one.process.is_some() {
            self.kill(machine, true, 200);
        }
    }

    /// Tells the process of a machine to end, which is not started again.
    fn shut_down_for_good(&mut self, machine: usize) {
        self.machines[machine].removed = true;
        let ending = self.shut_down(machine);
        self.recover_after(GRACE_MS, ending);
    }

    fn remove_front(&mut self, machine: usize) -> Recovery {
        let others = self
            .fronts()
            .filter(|front| *front != machine && !self.machines[*front].removed);
        if others.count() > 0 {
            self.machines[machine].removed = true;
        }
        self.shut_down(machine)
    }

    /// Cuts a machine that is none of the core off from the core, or only what it sends there.
    fn partition_from_core(&mut self, machine: usize, one_way: bool) -> Recovery {
        let mut partitions = Vec::new();
        for core in self.cores() {
            partitions.push((machine, core));
            if !one_way {
                partitions.push((core, machine));
            }
        }
        self.partition(partitions)
    }

    pub(super) fn partition(&mut self, partitions: Vec<(usize, usize)>) -> Recovery {
        for (from, to) in &partitions {
            self.network.partition(*from, *to);
        }
        Recovery::HealPartition(partitions)
    }

    fn set_behavior(&mut self, slot: usize, behavior: ServerBehavior) {
        if let Some(server) = &mut self.server_slots[slot].server {
            server.behavior = behavior;
        }
    }

    fn drain_server(&mut self, slot: usize) {
        let now = self.now;
        let shuts_down_at = now + self.rng.u64(2_500..5_000);
        let Some(server) = &mut self.server_slots[slot].server else {
            return;
        };
        if server.draining_since.is_none() {
            server.draining_since = Some(now);
            server.shuts_down_at = Some(shuts_down_at);
        }
    }

    /// A server has shut down: its agent is notified.
    pub(crate) fn deregister_server(&mut self, slot: usize) {
        if let Some(server) = &self.server_slots[slot].server {
            let id = server.id().clone();
            self.send_to_agent_link(slot, AgentLinkMessage::Deregistered(id));
        }
    }

    /// Whether the acknowledgement to a call of the operator is lost.
    pub(crate) fn loses_acknowledgement(&mut self) -> bool {
        self.active_faults.acknowledgements_lost && self.rng.u32(0..10) < 7
    }
}

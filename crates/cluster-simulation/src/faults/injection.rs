//! Injects scheduled faults into the world, and ends them.

use super::core_faults::links_between;
use crate::faults::active::Recovery;
use crate::faults::schedule::{Fault, PartitionDirection, ScheduledFault, GRACE_MS};
use crate::machine::ProcessEvent;
use crate::network::DirectedLink;
use crate::server::ServerBehavior;
use crate::world::{AgentLinkMessage, World};

/// Maximum extra delay of frames on slow links, in milliseconds.
pub(super) const MAX_EXTRA_DELAY_MS: u64 = 400;

impl World {
    /// Ends the faults whose time has passed.
    pub(crate) fn recover_from_expired_faults(&mut self) {
        for recovery in self.active_faults.take_expired(self.now) {
            self.recover(recovery);
        }
    }

    /// Injects a fault. The operator's actions are handled by the simulation, not here.
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
        let recovery = match fault {
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
            Fault::FrontPartition(machine) => {
                self.partition_from_core(machine, PartitionDirection::Both)
            }
            Fault::AgentPartition(machine, direction) => {
                self.partition_from_core(machine, direction)
            }
            Fault::AgentSlowLinks(machine) => {
                self.network.set_slow(machine, MAX_EXTRA_DELAY_MS);
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
                self.crash(slot, Some(duration_ms));
                Recovery::Automatic
            }
            Fault::ServerLoss(slot) => {
                self.crash(slot, None);
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
        let duration_ms = if matches!(recovery, Recovery::KillIfRunning(..)) {
            GRACE_MS
        } else {
            duration_ms
        };
        self.recover_after(duration_ms, recovery);
    }

    pub(super) fn recover_after(&mut self, duration_ms: u64, recovery: Recovery) {
        self.active_faults
            .ends
            .push((self.now + duration_ms, recovery));
    }

    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Automatic => {}
            Recovery::Resume(machine) => self.set_suspended(machine, false),
            Recovery::EndIntermittentRun(machine) => self.set_intermittent(machine, false),
            Recovery::HealPartition(links) => {
                for link in links {
                    self.network.heal(link);
                }
            }
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

    /// Sends a process the shutdown signal, and schedules its kill after the grace.
    pub(super) fn shut_down(&mut self, machine: usize) -> Recovery {
        self.dispatch(machine, ProcessEvent::Terminate);
        Recovery::KillIfRunning(machine, self.machines[machine].incarnation)
    }

    fn kill_if_running(&mut self, machine: usize, incarnation: u64) {
        let state = &self.machines[machine];
        if state.incarnation == incarnation && state.process.is_some() {
            self.kill(machine, true, 200);
        }
    }

    /// Shuts a machine's process down without a restart.
    fn shut_down_for_good(&mut self, machine: usize) {
        self.machines[machine].removed = true;
        let recovery = self.shut_down(machine);
        self.recover_after(GRACE_MS, recovery);
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

    /// Partitions a machine outside the core from all core machines, in these directions as seen from the machine.
    fn partition_from_core(&mut self, machine: usize, direction: PartitionDirection) -> Recovery {
        self.partition(links_between(machine, &self.cores(), direction))
    }

    pub(super) fn partition(&mut self, links: Vec<DirectedLink>) -> Recovery {
        for link in &links {
            self.network.partition(*link);
        }
        Recovery::HealPartition(links)
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

    /// Notifies the agent that its server has shut down.
    pub(crate) fn deregister_server(&mut self, slot: usize) {
        if let Some(server) = &self.server_slots[slot].server {
            let id = server.id().clone();
            self.send_to_agent_link(slot, AgentLinkMessage::Deregistered(id));
        }
    }

    /// Whether this acknowledgement to the operator is lost.
    pub(crate) fn loses_acknowledgement(&mut self) -> bool {
        self.active_faults.acknowledgements_lost && self.rng.u32(0..10) < 7
    }
}

//! Injects the faults of core machines.

use super::injection::MAX_EXTRA_DELAY_MS;
use crate::faults::active::{IsolatedTargets, Recovery};
use crate::faults::schedule::{CoreFault, CoreSelector, PartitionDirection, CATCH_UP_MS, GRACE_MS};
use crate::machine::disk::DiskFault;
use crate::network::DirectedLink;
use crate::world::World;
use lupinrack_cluster_api::frame::Role;

/// Factor on the sync time of a slow disk.
const DISK_SLOW_FACTOR: u64 = 30;

impl World {
    pub(super) fn inject_core_fault(
        &mut self,
        kind: CoreFault,
        selector: CoreSelector,
        duration_ms: u64,
    ) {
        let machine = self.select_core(selector);
        let recovery = match kind {
            CoreFault::Kill => {
                self.kill(machine, true, duration_ms);
                Recovery::Automatic
            }
            CoreFault::PowerLoss => {
                self.kill(machine, false, duration_ms);
                Recovery::Automatic
            }
            CoreFault::DiskLoss => {
                self.kill(machine, false, duration_ms);
                self.wipe(machine);
                Recovery::Automatic
            }
            CoreFault::Suspend => {
                self.set_suspended(machine, true);
                Recovery::Resume(machine)
            }
            CoreFault::IntermittentRun => {
                self.set_intermittent(machine, true);
                Recovery::EndIntermittentRun(machine)
            }
            CoreFault::Shutdown => self.shut_down(machine),
            CoreFault::Replacement => return self.replace(machine, duration_ms),
            CoreFault::GracefulReplacement => return self.replace_gracefully(machine, duration_ms),
            CoreFault::Partition(direction) => {
                self.partition(links_between(machine, &self.cores(), direction))
            }
            CoreFault::Isolation => {
                let all: Vec<usize> = (0..self.machines.len()).collect();
                self.partition(links_between(machine, &all, PartitionDirection::Both))
            }
            CoreFault::PartitionWithCallers(direction) => {
                self.partition_with_callers(&[machine], direction, duration_ms)
            }
            CoreFault::MinorityPartitionWithCallers(direction) => {
                self.partition_with_callers(&self.minority_of(machine), direction, duration_ms)
            }
            CoreFault::SlowLinks => {
                self.network.set_slow(machine, MAX_EXTRA_DELAY_MS);
                Recovery::RestoreLinks(machine)
            }
            CoreFault::SlowDisk => {
                self.inject_disk_fault(machine, DiskFault::Slow(DISK_SLOW_FACTOR))
            }
            CoreFault::StalledDisk => self.inject_disk_fault(machine, DiskFault::Stalled),
            CoreFault::FullDisk => self.inject_disk_fault(machine, DiskFault::Full),
            CoreFault::FailingDisk => self.inject_disk_fault(machine, DiskFault::Failing),
        };
        let duration_ms = if kind == CoreFault::Shutdown {
            duration_ms.max(GRACE_MS)
        } else {
            duration_ms
        };
        self.recover_after(duration_ms, recovery);
    }

    pub(super) fn select_core(&self, selector: CoreSelector) -> usize {
        let cores = self.cores();
        let disk_since = |machine: &usize| (self.machines[*machine].disk_since, *machine);
        let chosen = match selector {
            CoreSelector::Index(slot) => cores.get(slot).copied(),
            CoreSelector::OldestDisk => cores.iter().copied().min_by_key(disk_since),
            CoreSelector::NewestDisk => cores.iter().copied().max_by_key(disk_since),
            CoreSelector::Head => self.head().filter(|head| cores.contains(head)),
            CoreSelector::Spare => {
                let chain = self.chain();
                cores
                    .iter()
                    .copied()
                    .find(|machine| !chain.contains(machine))
            }
        };
        chosen.unwrap_or(cores[0])
    }

    /// The largest minority of the list that starts with this machine.
    fn minority_of(&self, machine: usize) -> Vec<usize> {
        let cores = self.cores();
        let slot = cores.iter().position(|core| *core == machine).unwrap_or(0);
        let count = (cores.len() - 1) / 2;
        cores
            .iter()
            .cycle()
            .skip(slot)
            .take(count)
            .copied()
            .collect()
    }

    /// Partitions core machines off together with the last front and every second agent, and directs all callers to that
    /// front and the first of these core machines.
    fn partition_with_callers(
        &mut self,
        cores: &[usize],
        direction: PartitionDirection,
        duration_ms: u64,
    ) -> Recovery {
        let front = self.fronts().end - 1;
        let mut near = cores.to_vec();
        near.push(front);
        near.extend(
            (0..self.config.servers)
                .step_by(2)
                .map(|slot| self.agent_of(slot)),
        );
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|other| !near.contains(other))
            .collect();
        let links = near
            .iter()
            .flat_map(|machine| links_between(*machine, &others, direction))
            .collect();
        self.active_faults.isolated_targets = Some(IsolatedTargets {
            core: cores[0],
            front,
        });
        self.recover_after(duration_ms, Recovery::ReleaseCallers);
        self.remove_voters_by_minority(cores);
        self.partition(links)
    }

    fn inject_disk_fault(&mut self, machine: usize, fault: DiskFault) -> Recovery {
        self.machines[machine].disk.fault = fault;
        Recovery::RepairDisk(machine)
    }

    pub(super) fn repair_disk(&mut self, machine: usize) {
        self.machines[machine].disk.fault = DiskFault::None;
    }

    /// Removes a machine for good. An empty one takes its place after the given milliseconds.
    fn replace(&mut self, old: usize, empty_after_ms: u64) {
        self.machines[old].removed = true;
        let powered = self.rng.bool();
        self.kill(old, powered, 0);
        self.add_core(old, empty_after_ms);
        self.recover_after(empty_after_ms + CATCH_UP_MS, Recovery::Automatic);
    }

    /// Starts an empty machine in place of another, which is shut down after `overlap_ms`.
    fn replace_gracefully(&mut self, old: usize, overlap_ms: u64) {
        self.add_core(old, 0);
        self.recover_after(overlap_ms, Recovery::ShutDownForGood(old));
        self.recover_after(overlap_ms + GRACE_MS, Recovery::Automatic);
    }

    /// Replaces a core machine by a new one with an empty disk and another address.
    fn add_core(&mut self, old: usize, starts_after_ms: u64) {
        let new = self.add_machine(Role::Core);
        self.machines[new].starts_at = Some(self.now + starts_after_ms);
        self.replace_in_list(old, new);
        self.choose_seeds();
    }
}

/// The links between a machine and others that a partition in this direction blocks.
pub(super) fn links_between(
    machine: usize,
    others: &[usize],
    direction: PartitionDirection,
) -> Vec<DirectedLink> {
    let mut links = Vec::new();
    for other in others.iter().copied().filter(|other| *other != machine) {
        if direction != PartitionDirection::Outbound {
            links.push(DirectedLink {
                from: other,
                to: machine,
            });
        }
        if direction != PartitionDirection::Inbound {
            links.push(DirectedLink {
                from: machine,
                to: other,
            });
        }
    }
    links
}

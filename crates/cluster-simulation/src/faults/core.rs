//! Troubles of core machines.

use super::SLOW_MS;
use crate::disk::DiskTrouble;
use crate::plan::{CoreChoice, CoreTrouble, CutDirection, CATCH_UP_MS, GRACE_MS};
use crate::troubles::{Ending, Lure};
use crate::world::World;
use lupinrack_cluster_api::frame::Role;

/// How many times as long a slow disk takes.
const DISK_SLOW_FACTOR: u64 = 30;

impl World {
    pub(super) fn begin_core_trouble(
        &mut self,
        kind: CoreTrouble,
        choice: CoreChoice,
        for_ms: u64,
    ) {
        let machine = self.chosen_core(choice);
        let ending = match kind {
            CoreTrouble::Kill => {
                self.kill(machine, true, for_ms);
                Ending::Nothing
            }
            CoreTrouble::Power => {
                self.kill(machine, false, for_ms);
                Ending::Nothing
            }
            CoreTrouble::Wipe => {
                self.kill(machine, false, for_ms);
                self.wipe(machine);
                Ending::Nothing
            }
            CoreTrouble::Freeze => {
                self.set_frozen(machine, true);
                Ending::Unfreeze(machine)
            }
            CoreTrouble::Stutter => {
                self.set_stuttering(machine, true);
                Ending::EndStutter(machine)
            }
            CoreTrouble::Terminate => self.terminate(machine),
            CoreTrouble::Replace => return self.replace(machine, for_ms),
            CoreTrouble::ReplaceInOrder => return self.replace_in_order(machine, for_ms),
            CoreTrouble::Cut(direction) => {
                self.cut(cuts_between(machine, &self.cores(), direction))
            }
            CoreTrouble::CutFromAll => {
                let all: Vec<usize> = (0..self.machines.len()).collect();
                self.cut(cuts_between(machine, &all, CutDirection::Both))
            }
            CoreTrouble::CutWithCallers(direction) => {
                self.cut_with_callers(&[machine], direction, for_ms)
            }
            CoreTrouble::CutMinorityWithCallers(direction) => {
                self.cut_with_callers(&self.minority_of(machine), direction, for_ms)
            }
            CoreTrouble::LinksSlow => {
                self.network.set_slow(machine, SLOW_MS);
                Ending::MendLinks(machine)
            }
            CoreTrouble::DiskSlow => {
                self.trouble_disk(machine, DiskTrouble::Slow(DISK_SLOW_FACTOR))
            }
            CoreTrouble::DiskStall => self.trouble_disk(machine, DiskTrouble::Stalled),
            CoreTrouble::DiskFull => self.trouble_disk(machine, DiskTrouble::Full),
            CoreTrouble::DiskRefuse => self.trouble_disk(machine, DiskTrouble::Refusing),
        };
        let for_ms = if kind == CoreTrouble::Terminate {
            for_ms.max(GRACE_MS)
        } else {
            for_ms
        };
        self.ends_after(for_ms, ending);
    }

    pub(super) fn chosen_core(&self, choice: CoreChoice) -> usize {
        let cores = self.cores();
        let disk_since = |machine: &usize| (self.machines[*machine].disk_since, *machine);
        let chosen = match choice {
            CoreChoice::Place(place) => cores.get(place).copied(),
            CoreChoice::Oldest => cores.iter().copied().min_by_key(disk_since),
            CoreChoice::Newest => cores.iter().copied().max_by_key(disk_since),
            CoreChoice::Head => self.head().filter(|head| cores.contains(head)),
            CoreChoice::Spare => {
                let chain = self.chain();
                cores
                    .iter()
                    .copied()
                    .find(|machine| !chain.contains(machine))
            }
        };
        chosen.unwrap_or(cores[0])
    }

    /// A machine and those that follow it in the list, as many as leave a majority.
    fn minority_of(&self, machine: usize) -> Vec<usize> {
        let cores = self.cores();
        let place = cores.iter().position(|core| *core == machine).unwrap_or(0);
        let count = (cores.len() - 1) / 2;
        cores
            .iter()
            .cycle()
            .skip(place)
            .take(count)
            .copied()
            .collect()
    }

    /// Cuts core machines off together with the last front and every second agent, while callers insist on the first of
    /// them and the front.
    fn cut_with_callers(
        &mut self,
        cores: &[usize],
        direction: CutDirection,
        for_ms: u64,
    ) -> Ending {
        let front = self.fronts().end - 1;
        let mut near = cores.to_vec();
        near.push(front);
        near.extend(
            (0..self.settings.servers)
                .step_by(2)
                .map(|place| self.side_of(place)),
        );
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|other| !near.contains(other))
            .collect();
        let cuts = near
            .iter()
            .flat_map(|machine| cuts_between(*machine, &others, direction))
            .collect();
        self.troubles.lure = Some(Lure {
            core: cores[0],
            front,
        });
        self.ends_after(for_ms, Ending::EndLure);
        self.remove_voters_alone(cores);
        self.cut(cuts)
    }

    fn trouble_disk(&mut self, machine: usize, trouble: DiskTrouble) -> Ending {
        self.machines[machine].disk.trouble = trouble;
        Ending::MendDisk(machine)
    }

    pub(super) fn mend_disk(&mut self, machine: usize) {
        self.machines[machine].disk.trouble = DiskTrouble::None;
    }

    /// A machine is gone for good; an empty one takes its place after so many milliseconds.
    fn replace(&mut self, old: usize, empty_after_ms: u64) {
        self.machines[old].removed = true;
        let powered = self.rng.bool();
        self.kill(old, powered, 0);
        self.add_core(old, empty_after_ms);
        self.ends_after(empty_after_ms + CATCH_UP_MS, Ending::Nothing);
    }

    /// An empty machine is started, and takes the place of another, which is told to end after so many milliseconds.
    fn replace_in_order(&mut self, old: usize, overlap_ms: u64) {
        self.add_core(old, 0);
        self.ends_after(overlap_ms, Ending::TerminateForGood(old));
        self.ends_after(overlap_ms + GRACE_MS, Ending::Nothing);
    }

    /// Puts a new core machine, with an empty disk and another address, in the place of an old one.
    fn add_core(&mut self, old: usize, starts_after_ms: u64) {
        let new = self.add_machine(Role::Core);
        self.machines[new].starts_at = Some(self.now + starts_after_ms);
        self.replace_in_list(old, new);
        self.draw_seeds();
    }
}

/// The cuts of a machine from others, each of a sender and a receiver.
fn cuts_between(machine: usize, others: &[usize], direction: CutDirection) -> Vec<(usize, usize)> {
    let mut cuts = Vec::new();
    for other in others.iter().copied().filter(|other| *other != machine) {
        if direction != CutDirection::Outward {
            cuts.push((other, machine));
        }
        if direction != CutDirection::Inward {
            cuts.push((machine, other));
        }
    }
    cuts
}

//! What the plan of a day does to the world.

use crate::disk::DiskTrouble;
use crate::machine::ProcessEvent;
use crate::plan::{CoreTrouble, Entry, Trouble};
use crate::server::Conduct;
use crate::world::{LocalMessage, World};

/// How much longer frames take on slow links at most, in milliseconds.
const SLOW_MS: u64 = 400;

impl World {
    /// Ends what is over.
    pub(crate) fn end_troubles(&mut self) {
        let now = self.now;
        let over: Vec<(u64, Trouble)> =
            self.troubles.ends.iter().copied().filter(|(at, _)| *at <= now).collect();
        self.troubles.ends.retain(|(at, _)| *at > now);
        for (_, trouble) in over {
            self.end_trouble(trouble);
            self.troubles.last_over = now;
        }
    }

    /// Begins what the plan has due, but for the work of the operator.
    pub(crate) fn begin_trouble(&mut self, entry: Entry) {
        let Entry { for_ms, trouble, .. } = entry;
        match trouble {
            Trouble::Operator(_) => return,
            Trouble::AcknowledgementsLost => self.troubles.acknowledgements_lost = true,
            Trouble::Core(kind, machine) => self.begin_core_trouble(kind, machine, for_ms),
            Trouble::AllPower | Trouble::WipeOnAcceptance(_) => {
                self.troubles.strike_on_acceptance = Some(trouble);
            }
            Trouble::AllKilled => {
                for machine in 0..self.machines.len() {
                    let down_ms = 100 + self.rng.u64(0..for_ms);
                    self.kill(machine, true, down_ms);
                }
            }
            Trouble::FrontKill(machine) | Trouble::SideKill(machine) => {
                let powered = self.rng.bool();
                self.kill(machine, powered, for_ms);
            }
            Trouble::FrontFreeze(machine) | Trouble::SideFreeze(machine) => self.set_frozen(machine, true),
            Trouble::FrontCut(machine) => self.set_cut_from_core(machine, false, true),
            Trouble::SideCut(machine, one_way) => self.set_cut_from_core(machine, one_way, true),
            Trouble::SideSlow(machine) => self.network.set_slow(machine, SLOW_MS),
            Trouble::Reset(machine) => self.network.reset_some(machine),
            Trouble::ClockStep(machine, by) => self.machines[machine].clock.wall_offset_ms += by,
            Trouble::ServerCrash(place) => self.crash(place, for_ms),
            Trouble::ServerConduct(place, conduct) => self.set_conduct(place, conduct),
            Trouble::ServerLeaves(place) => self.drain_server(place),
        }
        let ends = self.now + for_ms;
        self.troubles.ends.push((ends, trouble));
    }

    fn begin_core_trouble(&mut self, kind: CoreTrouble, machine: usize, for_ms: u64) {
        match kind {
            CoreTrouble::Kill => self.kill(machine, true, for_ms),
            CoreTrouble::Power => self.kill(machine, false, for_ms),
            CoreTrouble::Wipe => {
                self.kill(machine, false, for_ms);
                self.wipe(machine);
            }
            CoreTrouble::Freeze => self.set_frozen(machine, true),
            CoreTrouble::Terminate => self.dispatch(machine, ProcessEvent::Terminate),
            CoreTrouble::Cut | CoreTrouble::CutInward | CoreTrouble::CutOutward | CoreTrouble::CutFromAll => {
                self.set_core_cut(kind, machine, true)
            }
            CoreTrouble::LinksSlow => self.network.set_slow(machine, SLOW_MS),
            CoreTrouble::DiskSlow => self.machines[machine].disk.trouble = DiskTrouble::Slow(30),
            CoreTrouble::DiskStall => self.machines[machine].disk.trouble = DiskTrouble::Stalled,
            CoreTrouble::DiskFull => self.machines[machine].disk.trouble = DiskTrouble::Full,
        }
    }

    fn set_core_cut(&mut self, kind: CoreTrouble, machine: usize, is_cut: bool) {
        let others = if kind == CoreTrouble::CutFromAll { 0..self.machines.len() } else { self.cores() };
        let inward = kind != CoreTrouble::CutOutward;
        let outward = kind != CoreTrouble::CutInward;
        for other in others.filter(|other| *other != machine) {
            if inward {
                self.set_cut(other, machine, is_cut);
            }
            if outward {
                self.set_cut(machine, other, is_cut);
            }
        }
    }

    /// Cuts a machine that is none of the core off from the core, or only what it sends there.
    fn set_cut_from_core(&mut self, machine: usize, one_way: bool, is_cut: bool) {
        for core in self.cores() {
            self.set_cut(machine, core, is_cut);
            if !one_way {
                self.set_cut(core, machine, is_cut);
            }
        }
    }

    fn set_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.network.cut(from, to);
        } else {
            self.network.join(from, to);
        }
    }

    fn end_trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Core(CoreTrouble::Freeze, machine)
            | Trouble::FrontFreeze(machine)
            | Trouble::SideFreeze(machine) => self.set_frozen(machine, false),
            Trouble::Core(
                kind @ (CoreTrouble::Cut
                | CoreTrouble::CutInward
                | CoreTrouble::CutOutward
                | CoreTrouble::CutFromAll),
                machine,
            ) => self.set_core_cut(kind, machine, false),
            Trouble::FrontCut(machine) => self.set_cut_from_core(machine, false, false),
            Trouble::SideCut(machine, one_way) => self.set_cut_from_core(machine, one_way, false),
            Trouble::Core(
                CoreTrouble::DiskSlow | CoreTrouble::DiskStall | CoreTrouble::DiskFull,
                machine,
            ) => self.machines[machine].disk.trouble = DiskTrouble::None,
            Trouble::Core(CoreTrouble::LinksSlow, machine) | Trouble::SideSlow(machine) => {
                self.network.set_slow(machine, 0);
            }
            Trouble::ClockStep(machine, by) => self.machines[machine].clock.wall_offset_ms -= by,
            Trouble::ServerConduct(place, _) => self.set_conduct(place, Conduct::Sound),
            Trouble::AcknowledgementsLost => self.troubles.acknowledgements_lost = false,
            Trouble::AllPower | Trouble::WipeOnAcceptance(_) => self.troubles.strike_on_acceptance = None,
            _ => {}
        }
    }

    fn set_conduct(&mut self, place: usize, conduct: Conduct) {
        if let Some(server) = &mut self.places[place].server {
            server.conduct = conduct;
        }
    }

    fn drain_server(&mut self, place: usize) {
        let now = self.now;
        let leaves_at = now + self.rng.u64(2_500..5_000);
        let Some(server) = &mut self.places[place].server else { return };
        if server.draining_since.is_none() {
            server.draining_since = Some(now);
            server.leaves_at = Some(leaves_at);
        }
    }

    /// A server has left: its agent is told.
    pub(crate) fn tell_of_leave(&mut self, place: usize) {
        if let Some(server) = &self.places[place].server {
            let id = server.id().clone();
            self.send_local(place, LocalMessage::Left(id));
        }
    }

    /// Whether the acknowledgement to a call of the operator is lost.
    pub(crate) fn loses_acknowledgement(&mut self) -> bool {
        self.troubles.acknowledgements_lost && self.rng.u32(0..10) < 7
    }

    /// A job was accepted: strikes where that was planned.
    pub(crate) fn strike_on_acceptance(&mut self) {
        match self.troubles.strike_on_acceptance.take() {
            Some(Trouble::AllPower) => {
                for machine in self.cores() {
                    if self.machines[machine].process.is_some() {
                        let down_ms = 300 + self.rng.u64(0..1_500);
                        self.kill(machine, false, down_ms);
                    }
                }
            }
            Some(Trouble::WipeOnAcceptance(machine)) if self.machines[machine].process.is_some() => {
                let down_ms = 300 + self.rng.u64(0..1_500);
                self.kill(machine, false, down_ms);
                self.wipe(machine);
            }
            _ => return,
        }
        self.troubles.ends.push((self.now + 2_000, Trouble::AllPower));
    }
}

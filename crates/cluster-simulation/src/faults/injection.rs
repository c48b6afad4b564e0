//! Begins and ends what the plan of a day does to the world.

use crate::faults::active::Ending;
use crate::faults::schedule::{Entry, Trouble, GRACE_MS};
use crate::machine::ProcessEvent;
use crate::server::Conduct;
use crate::world::{LocalMessage, World};

/// How much longer frames take on slow links at most, in milliseconds.
pub(super) const SLOW_MS: u64 = 400;

impl World {
    /// Ends what is over.
    pub(crate) fn end_troubles(&mut self) {
        for ending in self.troubles.take_over(self.now) {
            self.end_trouble(ending);
        }
    }

    /// Begins what the plan has due, but for the work of the operator.
    pub(crate) fn begin_trouble(&mut self, entry: Entry) {
        let Entry {
            for_ms, trouble, ..
        } = entry;
        match trouble {
            Trouble::Operator(_) => {}
            Trouble::Core(kind, choice) => self.begin_core_trouble(kind, choice, for_ms),
            Trouble::Strike(strike) => {
                self.troubles.strike = Some(strike);
                self.ends_after(for_ms, Ending::DropStrike);
            }
            Trouble::AllKilled => self.kill_all(for_ms),
            Trouble::AllCoresPower => {
                self.power_off_cores();
                self.ends_after(for_ms, Ending::Nothing);
            }
            Trouble::AcknowledgementsLost => {
                self.troubles.acknowledgements_lost = true;
                self.ends_after(for_ms, Ending::KeepAcknowledgements);
            }
            Trouble::NewSeeds => self.draw_seeds(),
            trouble => self.begin_other_trouble(trouble, for_ms),
        }
    }

    fn begin_other_trouble(&mut self, trouble: Trouble, for_ms: u64) {
        let ending = match trouble {
            Trouble::FrontKill(machine) | Trouble::SideKill(machine) => {
                let powered = self.rng.bool();
                self.kill(machine, powered, for_ms);
                Ending::Nothing
            }
            Trouble::FrontFreeze(machine) | Trouble::SideFreeze(machine) => {
                self.set_frozen(machine, true);
                Ending::Unfreeze(machine)
            }
            Trouble::FrontTerminate(machine) | Trouble::SideTerminate(machine) => {
                self.terminate(machine)
            }
            Trouble::FrontRemove(machine) => self.remove_front(machine),
            Trouble::FrontCut(machine) => self.cut_from_core(machine, false),
            Trouble::SideCut(machine, one_way) => self.cut_from_core(machine, one_way),
            Trouble::SideSlow(machine) => {
                self.network.set_slow(machine, SLOW_MS);
                Ending::MendLinks(machine)
            }
            Trouble::Reset(machine) => {
                self.network.reset_some(machine);
                Ending::Nothing
            }
            Trouble::ClockStep(machine, by) => {
                self.machines[machine].clock.wall_offset_ms += by;
                Ending::StepClockBack(machine, by)
            }
            Trouble::ServerCrash(place) => {
                self.crash(place, for_ms);
                Ending::Nothing
            }
            Trouble::ServerConduct(place, conduct) => {
                self.set_conduct(place, conduct);
                Ending::MendServer(place)
            }
            Trouble::ServerLeaves(place) => {
                self.drain_server(place);
                Ending::Nothing
            }
            _ => return,
        };
        let for_ms = if matches!(ending, Ending::KillTerminated(..)) {
            GRACE_MS
        } else {
            for_ms
        };
        self.ends_after(for_ms, ending);
    }

    pub(super) fn ends_after(&mut self, for_ms: u64, ending: Ending) {
        self.troubles.ends.push((self.now + for_ms, ending));
    }

    fn end_trouble(&mut self, ending: Ending) {
        match ending {
            Ending::Nothing => {}
            Ending::Unfreeze(machine) => self.set_frozen(machine, false),
            Ending::EndStutter(machine) => self.set_stuttering(machine, false),
            Ending::Join(cuts) => cuts
                .into_iter()
                .for_each(|(from, to)| self.network.join(from, to)),
            Ending::EndLure => self.troubles.lure = None,
            Ending::MendDisk(machine) => self.mend_disk(machine),
            Ending::MendLinks(machine) => self.network.set_slow(machine, 0),
            Ending::StepClockBack(machine, by) => self.machines[machine].clock.wall_offset_ms -= by,
            Ending::MendServer(place) => self.set_conduct(place, Conduct::Sound),
            Ending::KillTerminated(machine, incarnation) => {
                self.kill_terminated(machine, incarnation)
            }
            Ending::TerminateForGood(machine) => self.terminate_for_good(machine),
            Ending::KeepAcknowledgements => self.troubles.acknowledgements_lost = false,
            Ending::DropStrike => self.troubles.strike = None,
        }
    }

    fn kill_all(&mut self, back_within_ms: u64) {
        for machine in 0..self.machines.len() {
            let down_ms = 100 + self.rng.u64(0..back_within_ms);
            self.kill(machine, true, down_ms);
        }
        self.ends_after(back_within_ms, Ending::Nothing);
    }

    /// Tells a process to end; it is killed where it has not ended within the grace.
    pub(super) fn terminate(&mut self, machine: usize) -> Ending {
        self.dispatch(machine, ProcessEvent::Terminate);
        Ending::KillTerminated(machine, self.machines[machine].incarnation)
    }

    fn kill_terminated(&mut self, machine: usize, incarnation: u64) {
        let one = &self.machines[machine];
        if one.incarnation == incarnation && one.process.is_some() {
            self.kill(machine, true, 200);
        }
    }

    /// Tells the process of a machine to end, which is not started again.
    fn terminate_for_good(&mut self, machine: usize) {
        self.machines[machine].removed = true;
        let ending = self.terminate(machine);
        self.ends_after(GRACE_MS, ending);
    }

    fn remove_front(&mut self, machine: usize) -> Ending {
        let others = self
            .fronts()
            .filter(|front| *front != machine && !self.machines[*front].removed);
        if others.count() > 0 {
            self.machines[machine].removed = true;
        }
        self.terminate(machine)
    }

    /// Cuts a machine that is none of the core off from the core, or only what it sends there.
    fn cut_from_core(&mut self, machine: usize, one_way: bool) -> Ending {
        let mut cuts = Vec::new();
        for core in self.cores() {
            cuts.push((machine, core));
            if !one_way {
                cuts.push((core, machine));
            }
        }
        self.cut(cuts)
    }

    pub(super) fn cut(&mut self, cuts: Vec<(usize, usize)>) -> Ending {
        cuts.iter()
            .for_each(|(from, to)| self.network.cut(*from, *to));
        Ending::Join(cuts)
    }

    fn set_conduct(&mut self, place: usize, conduct: Conduct) {
        if let Some(server) = &mut self.places[place].server {
            server.conduct = conduct;
        }
    }

    fn drain_server(&mut self, place: usize) {
        let now = self.now;
        let leaves_at = now + self.rng.u64(2_500..5_000);
        let Some(server) = &mut self.places[place].server else {
            return;
        };
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
}

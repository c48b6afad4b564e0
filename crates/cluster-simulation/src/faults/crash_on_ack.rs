//! Blows right after an acknowledgement.

use crate::faults::active::Ending;
use crate::faults::schedule::{Acknowledgement, Blow};
use crate::world::World;

/// How long a blow counts as trouble after it fell, in milliseconds.
const LASTS_MS: u64 = 2_000;

impl World {
    /// Something was acknowledged: strikes where that was planned.
    pub(crate) fn acknowledged(&mut self, what: Acknowledgement) {
        let Some(strike) = self.troubles.strike.filter(|strike| strike.after == what) else {
            return;
        };
        self.troubles.strike = None;
        match strike.blow {
            Blow::AllPower => self.power_off_cores(),
            Blow::Wipe(choice) => {
                let machine = self.chosen_core(choice);
                if self.machines[machine].process.is_none() {
                    return;
                }
                self.power_off(machine);
                self.wipe(machine);
            }
            Blow::WipeAndAllPower(choice) => {
                let machine = self.chosen_core(choice);
                self.power_off_cores();
                self.wipe(machine);
            }
        }
        self.ends_after(LASTS_MS, Ending::Nothing);
    }

    pub(super) fn power_off_cores(&mut self) {
        for machine in self.cores() {
            if self.machines[machine].process.is_some() {
                self.power_off(machine);
            }
        }
    }

    fn power_off(&mut self, machine: usize) {
        let down_ms = 300 + self.rng.u64(0..1_500);
        self.kill(machine, false, down_ms);
    }
}

//! Crashes right after an acknowledgement: what was acknowledged must survive them.

use crate::faults::active::Recovery;
use crate::faults::schedule::{Acknowledgement, Crash};
use crate::world::World;

/// How long a crash counts as a fault in effect, in milliseconds.
const LASTS_MS: u64 = 2_000;

impl World {
    /// Something was acknowledged: strikes where that was planned.
    pub(crate) fn acknowledged(&mut self, what: Acknowledgement) {
        let Some(crash_on_ack) = self
            .active_faults
            .crash_on_ack
            .filter(|crash_on_ack| crash_on_ack.after == what)
        else {
            return;
        };
        self.active_faults.crash_on_ack = None;
        match crash_on_ack.crash {
            Crash::PowerLossOfAll => self.lose_power_of_all_cores(),
            Crash::DiskLoss(selector) => {
                let machine = self.select_core(selector);
                if self.machines[machine].process.is_none() {
                    return;
                }
                self.lose_power(machine);
                self.wipe(machine);
            }
            Crash::DiskLossAndPowerLossOfAll(selector) => {
                let machine = self.select_core(selector);
                self.lose_power_of_all_cores();
                self.wipe(machine);
            }
        }
        self.recover_after(LASTS_MS, Recovery::Automatic);
    }

    pub(super) fn lose_power_of_all_cores(&mut self) {
        for machine in self.cores() {
            if self.machines[machine].process.is_some() {
                self.lose_power(machine);
            }
        }
    }

    fn lose_power(&mut self, machine: usize) {
        let down_ms = 300 + self.rng.u64(0..1_500);
        self.kill(machine, false, down_ms);
    }
}

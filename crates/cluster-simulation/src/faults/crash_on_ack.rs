//! Crashes right after an acknowledgement. The acknowledged change or job must survive them.

use crate::faults::active::Recovery;
use crate::faults::schedule::{Acknowledgement, Crash};
use crate::world::World;

/// Time for which a crash counts as a fault in effect, in milliseconds.
const CRASH_DURATION_MS: u64 = 2_000;

impl World {
    /// Handles an acknowledgement: injects the crash that waits for it, if any.
    pub(crate) fn acknowledged(&mut self, acknowledgement: Acknowledgement) {
        let Some(crash_on_ack) = self
            .active_faults
            .crash_on_ack
            .filter(|crash_on_ack| crash_on_ack.after == acknowledgement)
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
        self.recover_after(CRASH_DURATION_MS, Recovery::Automatic);
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

//! After all faults have ended, the live tables of all running members hold exactly the running members.

mod common;

use common::Network;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const MEMBERS: usize = 14;
/// How long agreement may take after the last fault, in milliseconds.
const CONVERGENCE_BOUND_MS: u64 = 120_000;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Suspend(usize),
    Resume(usize),
    Partition(u16),
    Join,
    RunFor(u64),
}

impl Arbitrary for Fault {
    fn arbitrary(random: &mut Gen) -> Self {
        let index = usize::arbitrary(random) % MEMBERS;
        match u8::arbitrary(random) % 10 {
            0 => Fault::Kill(index),
            1 | 2 => Fault::Restart(index),
            3 => Fault::Leave(index),
            4 => Fault::Suspend(index),
            5 => Fault::Resume(index),
            6 => Fault::Partition(u16::arbitrary(random)),
            7 => Fault::Join,
            _ => Fault::RunFor(u64::from(u16::arbitrary(random)) % 20_000),
        }
    }
}

fn apply(network: &mut Network, fault: Fault) {
    let is_running = |network: &Network, index: usize| network.running().contains(&index);
    match fault {
        Fault::Kill(index) => network.kill(index),
        Fault::Restart(index) => network.restart(index),
        Fault::Leave(index) if is_running(network, index) => network.leave(index),
        Fault::Suspend(index) => network.suspend(index),
        Fault::Resume(index) => network.resume(index),
        Fault::Partition(mask) => {
            (0..MEMBERS)
                .for_each(|index| network.move_to_partition(index, usize::from(mask >> index & 1)));
        }
        Fault::Join if network.running().len() < 2 * MEMBERS => {
            network.add();
        }
        Fault::RunFor(milliseconds) => network.run(milliseconds),
        Fault::Leave(_) | Fault::Join => {}
    }
}

/// Ends all faults. At least one seed has to run, since members find each other by seeds.
fn end_all_faults(network: &mut Network) {
    (0..MEMBERS).for_each(|index| network.resume(index));
    apply(network, Fault::Partition(0));
    if !network.running().contains(&0) {
        network.restart(0);
    }
}

#[test]
fn all_members_agree_after_any_faults() {
    fn property(faults: Vec<Fault>, loss_percent: u8, seed: u64) -> TestResult {
        let mut network = Network::start(MEMBERS, u64::from(loss_percent) % 21, seed);
        network.run(5_000);
        for fault in faults.into_iter().take(30) {
            apply(&mut network, fault);
        }
        end_all_faults(&mut network);
        let running = network.running();
        let agreed = network.run_until(CONVERGENCE_BOUND_MS, |network| network.agree_on(&running));
        TestResult::from_bool(agreed.is_some())
    }
    QuickCheck::new()
        .tests(40)
        .quickcheck(property as fn(Vec<Fault>, u8, u64) -> TestResult);
}

//! After any faults, calm brings agreement: everybody who runs holds exactly those who run for there.

mod common;

use common::Network;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const MEMBERS: usize = 14;
/// How long the calm may take to bring agreement, in milliseconds.
const CALM_MS: u64 = 120_000;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Freeze(usize),
    Thaw(usize),
    Part(u16),
    Join,
    Pass(u64),
}

impl Arbitrary for Fault {
    fn arbitrary(random: &mut Gen) -> Self {
        let index = usize::arbitrary(random) % MEMBERS;
        match u8::arbitrary(random) % 10 {
            0 => Fault::Kill(index),
            1 | 2 => Fault::Restart(index),
            3 => Fault::Leave(index),
            4 => Fault::Freeze(index),
            5 => Fault::Thaw(index),
            6 => Fault::Part(u16::arbitrary(random)),
            7 => Fault::Join,
            _ => Fault::Pass(u64::from(u16::arbitrary(random)) % 20_000),
        }
    }
}

fn apply(network: &mut Network, fault: Fault) {
    let runs = |network: &Network, index: usize| network.running().contains(&index);
    match fault {
        Fault::Kill(index) => network.kill(index),
        Fault::Restart(index) => network.restart(index),
        Fault::Leave(index) if runs(network, index) => network.leave(index),
        Fault::Freeze(index) => network.freeze(index),
        Fault::Thaw(index) => network.thaw(index),
        Fault::Part(mask) => {
            (0..MEMBERS)
                .for_each(|index| network.move_to_island(index, usize::from(mask >> index & 1)));
        }
        Fault::Join if network.running().len() < 2 * MEMBERS => {
            network.add();
        }
        Fault::Pass(milliseconds) => network.run(milliseconds),
        Fault::Leave(_) | Fault::Join => {}
    }
}

/// Ends all faults; a seed runs at least, since nobody else can be found from nothing.
fn calm_down(network: &mut Network) {
    (0..MEMBERS).for_each(|index| network.thaw(index));
    apply(network, Fault::Part(0));
    if !network.running().contains(&0) {
        network.restart(0);
    }
}

#[test]
fn calm_brings_agreement_after_any_faults() {
    fn property(faults: Vec<Fault>, loss: u8, seed: u64) -> TestResult {
        let mut network = Network::start(MEMBERS, u64::from(loss) % 21, seed);
        network.run(5_000);
        for fault in faults.into_iter().take(30) {
            apply(&mut network, fault);
        }
        calm_down(&mut network);
        let running = network.running();
        let agreed = network.run_until(CALM_MS, |network| network.agree_on(&running));
        TestResult::from_bool(agreed.is_some())
    }
    QuickCheck::new()
        .tests(40)
        .quickcheck(property as fn(Vec<Fault>, u8, u64) -> TestResult);
}

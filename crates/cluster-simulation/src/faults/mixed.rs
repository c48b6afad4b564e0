//! Days of the usual kind: short troubles, one after the other in each lane.

use super::schedule::{
    Acknowledgement, Blow, CoreChoice, CoreTrouble, CutDirection, Entry, OperatorOrder, Strike,
    Trouble, GRACE_MS,
};
use crate::config::DaySettings;
use crate::server::Conduct;

/// The rest after a loss on a usual day: the time to catch up and a margin, in milliseconds.
const REST_AFTER_LOSS_MS: u64 = 5_000;

/// The entries of a day: of four days one is calm but for planned work, one has trouble of core machines alone, one has
/// trouble in its first half, and one has trouble all the time.
pub fn draw(rng: &mut fastrand::Rng, settings: &DaySettings) -> Vec<Entry> {
    let mut entries = Vec::new();
    let kind = rng.u32(0..4);
    if kind != 0 {
        draw_core(rng, settings, &mut entries);
    }
    draw_others(rng, settings, &mut entries);
    match kind {
        0 => entries.retain(|entry| entry.trouble.is_planned()),
        1 => entries.retain(|entry| entry.trouble.is_planned() || entry.trouble.is_of_core()),
        2 => {
            entries.retain(|entry| entry.trouble.is_planned() || entry.at < settings.traffic_ms / 2)
        }
        _ => {}
    }
    entries
}

fn draw_core(rng: &mut fastrand::Rng, settings: &DaySettings, entries: &mut Vec<Entry>) {
    let lanes = settings.tolerance;
    // Each lane has its own machines, so that no more are lost at once than there are lanes.
    for _ in 0..lanes {
        let mut at = 3_000 + rng.u64(0..4_000);
        while at + 6_000 < settings.traffic_ms {
            let machine = CoreChoice::Place(rng.usize(0..settings.cores));
            let (trouble, for_ms) = draw_core_trouble(rng);
            let strike = |blow| {
                Trouble::Strike(Strike {
                    after: Acknowledgement::Job,
                    blow,
                })
            };
            let struck = match rng.u32(0..12) {
                0 if lanes == 1 => Some(strike(Blow::AllPower)),
                1 => Some(strike(Blow::Wipe(machine))),
                2 if lanes == 1 => Some(Trouble::AllKilled),
                _ => None,
            };
            if let Some(trouble) = struck {
                entries.push(Entry {
                    at,
                    for_ms: 2_000,
                    trouble,
                });
                at += 4_000 + REST_AFTER_LOSS_MS + rng.u64(0..3_000);
                continue;
            }
            entries.push(Entry {
                at,
                for_ms,
                trouble: Trouble::Core(trouble, machine),
            });
            at += for_ms + REST_AFTER_LOSS_MS + rng.u64(0..4_000);
        }
    }
}

fn draw_core_trouble(rng: &mut fastrand::Rng) -> (CoreTrouble, u64) {
    use CoreTrouble::*;
    let all = [
        Kill,
        Power,
        Wipe,
        Freeze,
        Terminate,
        Cut(CutDirection::Both),
        Cut(CutDirection::Inward),
        Cut(CutDirection::Outward),
        CutFromAll,
        LinksSlow,
        DiskSlow,
        DiskStall,
        DiskFull,
    ];
    let trouble = all[rng.usize(0..all.len())];
    let for_ms = if trouble == Terminate {
        GRACE_MS
    } else {
        rng.u64(300..5_000)
    };
    (trouble, for_ms)
}

fn draw_others(rng: &mut fastrand::Rng, settings: &DaySettings, entries: &mut Vec<Entry>) {
    let fronts = settings.cores..settings.cores + settings.fronts;
    let sides = fronts.end..fronts.end + settings.servers;
    let mut at = 4_000;
    while at < settings.traffic_ms {
        at += rng.u64(200..2_500);
        let front = rng.usize(fronts.clone());
        let side = rng.usize(sides.clone());
        let place = rng.usize(0..settings.servers);
        let anywhere = rng.usize(0..sides.end);
        let trouble = match rng.u32(0..22) {
            0 => Trouble::FrontKill(front),
            1 => Trouble::FrontFreeze(front),
            2 => Trouble::SideKill(side),
            3 => Trouble::SideFreeze(side),
            4 => Trouble::SideCut(side, false),
            5 => Trouble::SideCut(side, true),
            6 => Trouble::Reset(anywhere),
            7 => Trouble::ClockStep(anywhere, rng.i64(-2_000..2_000)),
            8 | 9 => Trouble::ServerCrash(place),
            10 => Trouble::ServerConduct(place, Conduct::Failing),
            11 => Trouble::ServerConduct(place, Conduct::Still),
            12 => Trouble::ServerConduct(place, Conduct::Slow),
            13 => Trouble::ServerLeaves(place),
            14..17 => Trouble::Operator(OperatorOrder::Change),
            17 => Trouble::Operator(OperatorOrder::Race),
            18 => Trouble::Operator(OperatorOrder::BadChange),
            19 => Trouble::FrontCut(front),
            20 => Trouble::SideSlow(side),
            _ => Trouble::AcknowledgementsLost,
        };
        entries.push(Entry {
            at,
            for_ms: rng.u64(300..4_500),
            trouble,
        });
    }
}

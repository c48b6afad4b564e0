//! The plan of a day: faults and planned work, drawn from its seed.

use crate::server::Conduct;
use crate::world::DaySettings;
use std::collections::BTreeMap;

/// Grace between the signal to end and the kill, in milliseconds.
pub(crate) const GRACE_MS: u64 = 5_000;
/// A core machine counts as lost for this long after its return, in milliseconds.
pub(crate) const CATCH_UP_MS: u64 = 5_000;

/// Trouble of core machines, of which no more may be lost at once than is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreTrouble {
    /// Its process is killed.
    Kill,
    /// It loses power.
    Power,
    /// It loses power and its disk.
    Wipe,
    /// It stands still.
    Freeze,
    /// It is told to end, and is started again.
    Terminate,
    /// It is cut off from the other core machines.
    Cut,
    /// Nothing reaches it from the other core machines.
    CutInward,
    /// Nothing from it reaches the other core machines.
    CutOutward,
    /// It is cut off from all machines.
    CutFromAll,
    /// What it sends takes longer.
    LinksSlow,
    /// Its disk takes longer.
    DiskSlow,
    /// Its disk answers nothing.
    DiskStall,
    /// Its disk is full.
    DiskFull,
}

/// Anything that is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Trouble of one core machine.
    Core(CoreTrouble, usize),
    /// All core machines lose power right after a job was accepted.
    AllPower,
    /// A machine loses power and its disk right after a job was accepted.
    WipeOnAcceptance(usize),
    /// All processes are killed at once.
    AllKilled,
    /// A front is cut off from all core machines.
    FrontCut(usize),
    /// A front is killed.
    FrontKill(usize),
    /// A front stands still.
    FrontFreeze(usize),
    /// An agent is killed.
    SideKill(usize),
    /// An agent stands still.
    SideFreeze(usize),
    /// An agent is cut off from all core machines, one way or both.
    SideCut(usize, bool),
    /// What an agent sends takes longer.
    SideSlow(usize),
    /// Connections of a machine are reset.
    Reset(usize),
    /// The time of day of a machine jumps by so many milliseconds.
    ClockStep(usize, i64),
    /// A server crashes.
    ServerCrash(usize),
    /// A server conducts itself otherwise.
    ServerConduct(usize, Conduct),
    /// A server drains and leaves.
    ServerLeaves(usize),
    /// A change of the configuration.
    Change,
    /// Two of them on the same version.
    Race,
    /// An invalid or stale one.
    BadChange,
    /// Acknowledgements to the operator are lost.
    AcknowledgementsLost,
}

impl Trouble {
    /// Whether it leaves all machines in touch.
    fn is_planned(self) -> bool {
        matches!(self, Trouble::Change | Trouble::Race | Trouble::BadChange | Trouble::ServerLeaves(_))
    }

    fn is_of_core(self) -> bool {
        matches!(self, Trouble::Core(..) | Trouble::AllPower | Trouble::AllKilled)
    }
}

/// One entry.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// When it begins, in milliseconds.
    pub at: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What.
    pub trouble: Trouble,
}

/// All entries that have not begun, by their beginning.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    entries: BTreeMap<(u64, usize), Entry>,
}

impl Plan {
    /// The plan of a day: of four days one is calm but for planned work, one has trouble of core machines alone, one
    /// has trouble in its first half, and one has trouble all the time.
    pub fn draw(rng: &mut fastrand::Rng, settings: &DaySettings) -> Plan {
        let mut entries = Vec::new();
        let kind = rng.u32(0..4);
        if kind != 0 {
            draw_core(rng, settings, &mut entries);
        }
        draw_others(rng, settings, &mut entries);
        match kind {
            0 => entries.retain(|entry| entry.trouble.is_planned()),
            1 => entries.retain(|entry| entry.trouble.is_planned() || entry.trouble.is_of_core()),
            2 => entries.retain(|entry| entry.trouble.is_planned() || entry.at < settings.traffic_ms / 2),
            _ => {}
        }
        Plan::of(entries)
    }

    /// A plan of these entries.
    pub fn of(entries: Vec<Entry>) -> Plan {
        let numbered = entries.into_iter().enumerate();
        Plan { entries: numbered.map(|(number, entry)| ((entry.at, number), entry)).collect() }
    }

    /// Takes the next entry that is due.
    pub(crate) fn take_due(&mut self, now: u64) -> Option<Entry> {
        let next = self.entries.first_entry().filter(|entry| entry.get().at <= now)?;
        Some(next.remove())
    }

    /// Its entries, in their order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

fn draw_core(rng: &mut fastrand::Rng, settings: &DaySettings, entries: &mut Vec<Entry>) {
    let lanes = settings.cores / 2;
    // Each lane has its own machines, so that no more are lost at once than there are lanes.
    for _ in 0..lanes {
        let mut at = 3_000 + rng.u64(0..4_000);
        while at + 6_000 < settings.traffic_ms {
            let machine = rng.usize(0..settings.cores);
            let (trouble, for_ms) = draw_core_trouble(rng);
            let struck = match rng.u32(0..12) {
                0 if lanes == 1 => Some(Trouble::AllPower),
                1 => Some(Trouble::WipeOnAcceptance(machine)),
                2 if lanes == 1 => Some(Trouble::AllKilled),
                _ => None,
            };
            if let Some(trouble) = struck {
                entries.push(Entry { at, for_ms: 2_000, trouble });
                at += 4_000 + CATCH_UP_MS + rng.u64(0..3_000);
                continue;
            }
            entries.push(Entry { at, for_ms, trouble: Trouble::Core(trouble, machine) });
            at += for_ms + CATCH_UP_MS + rng.u64(0..4_000);
        }
    }
}

fn draw_core_trouble(rng: &mut fastrand::Rng) -> (CoreTrouble, u64) {
    use CoreTrouble::*;
    let all = [
        Kill, Power, Wipe, Freeze, Terminate, Cut, CutInward, CutOutward, CutFromAll, LinksSlow, DiskSlow,
        DiskStall, DiskFull,
    ];
    let trouble = all[rng.usize(0..all.len())];
    let for_ms = if trouble == Terminate { GRACE_MS } else { rng.u64(300..5_000) };
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
            14..17 => Trouble::Change,
            17 => Trouble::Race,
            18 => Trouble::BadChange,
            19 => Trouble::FrontCut(front),
            20 => Trouble::SideSlow(side),
            _ => Trouble::AcknowledgementsLost,
        };
        entries.push(Entry { at, for_ms: rng.u64(300..4_500), trouble });
    }
}

//! Faults and planned work of a day, drawn from its seed.

use crate::disk::DiskTrouble;
use crate::machine::ProcessEvent;
use crate::server::Conduct;
use crate::world::{DaySettings, LocalMessage, World, CONTACT_MS};
use std::collections::BTreeMap;

/// Grace between the signal to end and the kill, in milliseconds.
const GRACE_MS: u64 = 5_000;
/// A core machine counts as lost for this long after its return, in milliseconds.
const CATCH_UP_MS: u64 = 5_000;

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
        Kill, Power, Wipe, Freeze, Terminate, Cut, CutInward, CutOutward, CutFromAll, DiskSlow, DiskStall,
        DiskFull,
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
        let trouble = match rng.u32(0..21) {
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
            _ => Trouble::AcknowledgementsLost,
        };
        entries.push(Entry { at, for_ms: rng.u64(300..4_500), trouble });
    }
}

/// What is under way.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    ends: Vec<(u64, Trouble)>,
    last_over: u64,
    strike_on_acceptance: Option<Trouble>,
    acknowledgements_lost: bool,
}

impl Troubles {
    /// Whether all machines are in touch.
    pub fn is_calm(&self, now: u64) -> bool {
        self.ends.is_empty() && now >= self.last_over + CONTACT_MS
    }
}

impl World {
    pub(crate) fn follow_plan(&mut self) {
        let now = self.now;
        let over: Vec<(u64, Trouble)> =
            self.troubles.ends.iter().copied().filter(|(at, _)| *at <= now).collect();
        self.troubles.ends.retain(|(at, _)| *at > now);
        for (_, trouble) in over {
            self.end_trouble(trouble);
            self.troubles.last_over = now;
        }
        while let Some(entry) = self.plan.entries.first_entry() {
            if entry.get().at > now {
                return;
            }
            let entry = entry.remove();
            self.begin_trouble(entry);
        }
    }

    fn begin_trouble(&mut self, entry: Entry) {
        let Entry { for_ms, trouble, .. } = entry;
        match trouble {
            Trouble::Change => return self.begin_change(),
            Trouble::Race => return self.begin_race(),
            Trouble::BadChange => return self.begin_bad_change(),
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

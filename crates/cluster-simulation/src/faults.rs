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
    /// Nothing reaches it, or nothing comes from it.
    CutOneWay,
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
    /// The plan of a day.
    pub fn draw(rng: &mut fastrand::Rng, settings: &DaySettings) -> Plan {
        let mut entries = Vec::new();
        draw_core(rng, settings, &mut entries);
        draw_others(rng, settings, &mut entries);
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
    for lane in 0..lanes {
        let mut at = 3_000 + rng.u64(0..4_000);
        while at + 6_000 < settings.traffic_ms {
            let machine = rng.usize(0..settings.cores);
            let (trouble, for_ms) = draw_core_trouble(rng);
            if rng.u32(0..8) == 0 && lane == 0 {
                entries.push(Entry { at, for_ms: 2_000, trouble: Trouble::AllPower });
                at += 2_000 + CATCH_UP_MS + 4_000;
                continue;
            }
            entries.push(Entry { at, for_ms, trouble: Trouble::Core(trouble, machine) });
            at += for_ms + CATCH_UP_MS + rng.u64(0..4_000);
        }
    }
}

fn draw_core_trouble(rng: &mut fastrand::Rng) -> (CoreTrouble, u64) {
    use CoreTrouble::*;
    let all =
        [Kill, Power, Wipe, Freeze, Terminate, Cut, CutOneWay, CutFromAll, DiskSlow, DiskStall, DiskFull];
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
        let trouble = match rng.u32(0..20) {
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
    strikes_on_acceptance: bool,
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
            Trouble::AllPower => self.troubles.strikes_on_acceptance = true,
            Trouble::FrontKill(machine) | Trouble::SideKill(machine) => {
                let powered = self.rng.bool();
                self.kill(machine, powered, for_ms);
            }
            Trouble::FrontFreeze(machine) | Trouble::SideFreeze(machine) => self.set_frozen(machine, true),
            Trouble::SideCut(machine, one_way) => {
                for core in self.cores() {
                    self.network.cut(machine, core);
                    if !one_way {
                        self.network.cut(core, machine);
                    }
                }
            }
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
            CoreTrouble::Cut => self.cut_off(machine, self.settings.cores, true, true),
            CoreTrouble::CutOneWay => {
                let inward = self.rng.bool();
                self.cut_off(machine, self.settings.cores, inward, !inward);
            }
            CoreTrouble::CutFromAll => self.cut_off(machine, self.machines.len(), true, true),
            CoreTrouble::DiskSlow => self.machines[machine].disk.trouble = DiskTrouble::Slow(30),
            CoreTrouble::DiskStall => self.machines[machine].disk.trouble = DiskTrouble::Stalled,
            CoreTrouble::DiskFull => self.machines[machine].disk.trouble = DiskTrouble::Full,
        }
    }

    fn cut_off(&mut self, machine: usize, others: usize, inward: bool, outward: bool) {
        for other in (0..others).filter(|other| *other != machine) {
            if inward {
                self.network.cut(other, machine);
            }
            if outward {
                self.network.cut(machine, other);
            }
        }
    }

    fn rejoin(&mut self, machine: usize) {
        for other in 0..self.machines.len() {
            self.network.join(other, machine);
            self.network.join(machine, other);
        }
    }

    fn end_trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Core(CoreTrouble::Freeze, machine)
            | Trouble::FrontFreeze(machine)
            | Trouble::SideFreeze(machine) => self.set_frozen(machine, false),
            Trouble::Core(CoreTrouble::Cut | CoreTrouble::CutOneWay | CoreTrouble::CutFromAll, machine)
            | Trouble::SideCut(machine, _) => self.rejoin(machine),
            Trouble::Core(
                CoreTrouble::DiskSlow | CoreTrouble::DiskStall | CoreTrouble::DiskFull,
                machine,
            ) => self.machines[machine].disk.trouble = DiskTrouble::None,
            Trouble::ClockStep(machine, by) => self.machines[machine].clock.wall_offset_ms -= by,
            Trouble::ServerConduct(place, _) => self.set_conduct(place, Conduct::Sound),
            Trouble::AcknowledgementsLost => self.troubles.acknowledgements_lost = false,
            Trouble::AllPower => self.troubles.strikes_on_acceptance = false,
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
        if !self.troubles.strikes_on_acceptance {
            return;
        }
        self.troubles.strikes_on_acceptance = false;
        for machine in self.cores() {
            if self.machines[machine].process.is_some() {
                let down_ms = 300 + self.rng.u64(0..1_500);
                self.kill(machine, false, down_ms);
            }
        }
        self.troubles.ends.push((self.now + 2_000, Trouble::AllPower));
    }
}

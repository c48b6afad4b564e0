//! The worst days of the control side: scenes, one after the other, each of which takes as much as is tolerated.

use super::schedule::{
    Acknowledgement, Blow, CoreChoice, CoreTrouble, CutDirection, Entry, OperatorOrder, Strike,
    Trouble, CATCH_UP_MS, GRACE_MS,
};
use crate::config::{DaySettings, Scene};

/// How long a machine is cut off while its callers go on, in milliseconds.
const CUT_MS: u64 = 20_000;
/// How long a strike waits for its acknowledgement, in milliseconds.
const STRIKE_WAITS_MS: u64 = 2_000;
/// A machine without power is back after this long at most, in milliseconds.
const BACK_MOST_MS: u64 = 1_800;

/// A plan that is being put together.
struct Draft<'a> {
    rng: &'a mut fastrand::Rng,
    settings: &'a DaySettings,
    entries: Vec<Entry>,
    /// Up to here it is written.
    at: u64,
}

/// The entries of a day: of this scene again and again, or of all.
pub fn draw(rng: &mut fastrand::Rng, settings: &DaySettings, scene: Option<Scene>) -> Vec<Entry> {
    let mut draft = Draft {
        rng,
        settings,
        entries: Vec::new(),
        at: 0,
    };
    draft.at = 3_000 + draft.rng.u64(0..3_000);
    while draft.at + 5_000 < settings.traffic_ms {
        let scene = scene.unwrap_or(Scene::ALL[draft.rng.usize(0..Scene::ALL.len())]);
        draft.scene(scene);
        draft.at += draft.rng.u64(0..3_000);
    }
    draft.others();
    draft.orders();
    draft.entries
}

impl Draft<'_> {
    fn scene(&mut self, scene: Scene) {
        match scene {
            Scene::ReplacedAgainAndAgain => self.replaced_again_and_again(),
            Scene::ReplacedInOrder => self.replaced_in_order(),
            Scene::ReplacedThenWiped => self.replaced_then_wiped(),
            Scene::WipedWhileCatchingUp => self.wiped_while_catching_up(),
            Scene::WipedThenAnother => self.wiped_then_another(),
            Scene::CutWithCallers => self.cut_with_callers(),
            Scene::AllAtOnce => self.all_at_once(),
            Scene::LossesAtOnce => self.losses_at_once(),
            Scene::SlowOrSick => self.slow_or_sick(),
            Scene::EndedInTurn => self.ended_in_turn(),
        }
    }

    fn push(&mut self, at: u64, for_ms: u64, trouble: Trouble) {
        self.entries.push(Entry {
            at,
            for_ms,
            trouble,
        });
    }

    fn core(&mut self, for_ms: u64, trouble: CoreTrouble, choice: CoreChoice) {
        self.push(self.at, for_ms, Trouble::Core(trouble, choice));
    }

    fn choice(&mut self) -> CoreChoice {
        match self.rng.u32(0..4) {
            0 => CoreChoice::Head,
            1 => CoreChoice::Oldest,
            _ => CoreChoice::Place(self.rng.usize(0..self.settings.cores)),
        }
    }

    fn strike(&mut self, blow: Blow) {
        let after = if self.rng.bool() {
            Acknowledgement::Job
        } else {
            Acknowledgement::Configuration
        };
        self.push(
            self.at,
            STRIKE_WAITS_MS,
            Trouble::Strike(Strike { after, blow }),
        );
        self.at += STRIKE_WAITS_MS + BACK_MOST_MS + CATCH_UP_MS;
    }

    /// Oldest machines are replaced by empty ones at other addresses, as fast as is allowed.
    fn replaced_again_and_again(&mut self) {
        for _ in 0..self.rng.u32(1..5) {
            let empty_after = self.rng.u64(200..2_000);
            self.core(empty_after, CoreTrouble::Replace, CoreChoice::Oldest);
            self.at += empty_after + CATCH_UP_MS + self.rng.u64(0..1_500);
        }
    }

    fn replaced_in_order(&mut self) {
        let choice = self.choice();
        let overlap_ms = CATCH_UP_MS + self.rng.u64(0..2_000);
        self.core(overlap_ms, CoreTrouble::ReplaceInOrder, choice);
        self.at += overlap_ms + GRACE_MS + CATCH_UP_MS;
    }

    fn replaced_then_wiped(&mut self) {
        let empty_after = self.rng.u64(200..1_500);
        self.core(empty_after, CoreTrouble::Replace, CoreChoice::Oldest);
        self.at += empty_after + CATCH_UP_MS;
        self.strike(Blow::Wipe(CoreChoice::Oldest));
    }

    fn wiped_while_catching_up(&mut self) {
        let empty_after = self.rng.u64(200..1_500);
        self.core(empty_after, CoreTrouble::Replace, CoreChoice::Oldest);
        self.at += empty_after + self.rng.u64(0..CATCH_UP_MS);
        self.core(500, CoreTrouble::Wipe, CoreChoice::Newest);
        self.at += 500 + CATCH_UP_MS;
    }

    fn cut_with_callers(&mut self) {
        let direction = [
            CutDirection::Both,
            CutDirection::Inward,
            CutDirection::Outward,
        ][self.rng.usize(0..3)];
        let choice = self.choice();
        self.core(CUT_MS, CoreTrouble::CutWithCallers(direction), choice);
        self.at += CUT_MS + CATCH_UP_MS;
    }

    fn wiped_then_another(&mut self) {
        let first = self.choice();
        self.strike(Blow::Wipe(first));
        self.strike(Blow::Wipe(CoreChoice::Oldest));
    }

    fn all_at_once(&mut self) {
        let choice = self.choice();
        match self.rng.u32(0..4) {
            0 => self.strike(Blow::AllPower),
            1 => self.strike(Blow::WipeAndAllPower(choice)),
            2 => self.moment(Trouble::AllKilled),
            _ => self.moment(Trouble::AllCoresPower),
        }
    }

    fn moment(&mut self, trouble: Trouble) {
        self.push(self.at, 1_000, trouble);
        self.at += 1_000 + CATCH_UP_MS;
    }

    /// As many machines as is tolerated, at the same moment.
    fn losses_at_once(&mut self) {
        let for_ms = self.rng.u64(300..6_000);
        let first = self.rng.usize(0..self.settings.cores);
        for number in 0..self.settings.tolerance {
            let choice = CoreChoice::Place((first + number) % self.settings.cores);
            use CoreTrouble::*;
            let trouble = [Kill, Power, Wipe, Freeze, CutFromAll, Replace][self.rng.usize(0..6)];
            self.core(for_ms, trouble, choice);
        }
        self.at += for_ms + CATCH_UP_MS;
    }

    fn slow_or_sick(&mut self) {
        use CoreTrouble::*;
        let all = [
            Stutter, LinksSlow, DiskSlow, DiskStall, DiskFull, DiskRefuse,
        ];
        let trouble = all[self.rng.usize(0..all.len())];
        let choice = self.choice();
        let for_ms = self.rng.u64(1_000..8_000);
        self.core(for_ms, trouble, choice);
        self.at += for_ms + CATCH_UP_MS;
    }

    /// Each machine is told to end and comes back, one after the other.
    fn ended_in_turn(&mut self) {
        for place in 0..self.settings.cores.min(5) {
            self.core(GRACE_MS, CoreTrouble::Terminate, CoreChoice::Place(place));
            self.at += GRACE_MS + CATCH_UP_MS;
        }
    }

    /// Troubles of fronts, agents, servers and clocks beside the scenes.
    fn others(&mut self) {
        let fronts = self.settings.fronts();
        let sides = self.settings.sides();
        let mut at = 4_000;
        while at < self.settings.traffic_ms {
            at += self.rng.u64(1_000..5_000);
            let front = self.rng.usize(fronts.clone());
            let side = self.rng.usize(sides.clone());
            let anywhere = self.rng.usize(0..sides.end);
            let place = self.rng.usize(0..self.settings.servers);
            let trouble = match self.rng.u32(0..13) {
                0 => Trouble::FrontKill(front),
                1 => Trouble::FrontFreeze(front),
                2 => Trouble::FrontTerminate(front),
                3 => Trouble::FrontRemove(front),
                4 => Trouble::SideKill(side),
                5 => Trouble::SideTerminate(side),
                6 => Trouble::SideFreeze(side),
                7 | 8 => Trouble::Reset(anywhere),
                9 => Trouble::ClockStep(anywhere, self.rng.i64(-2_000..2_000)),
                10 => Trouble::NewSeeds,
                11 => Trouble::ServerCrash(place),
                _ => Trouble::ServerLeaves(place),
            };
            let for_ms = self.rng.u64(300..4_500);
            self.push(at, for_ms, trouble);
        }
    }

    /// The operator's orders, of some days many a second.
    fn orders(&mut self) {
        let gap_most = [400, 1_500, 4_000][self.rng.usize(0..3)];
        let mut at = 4_000;
        while at < self.settings.traffic_ms {
            at += self.rng.u64(150..gap_most);
            let trouble = match self.rng.u32(0..20) {
                0..12 => Trouble::Operator(OperatorOrder::Change),
                12 => Trouble::Operator(OperatorOrder::Resend),
                13 | 14 => Trouble::Operator(OperatorOrder::Race),
                15 => Trouble::Operator(OperatorOrder::Crowd),
                16 | 17 => Trouble::Operator(OperatorOrder::BadChange),
                _ => Trouble::AcknowledgementsLost,
            };
            let for_ms = self.rng.u64(300..3_000);
            self.push(at, for_ms, trouble);
        }
    }
}

//! What a few short days play, compared with the files in `tests/golden`: the plans that seeds draw, the counts of the days,
//! and the moments at which rules are broken. A change of the simulation that plays another day for a seed is seen here.
//!
//! All words are spelled out, so that no file depends on the names of types. `UPDATE_GOLDEN=1` writes the files anew.

use lupinrack_cluster_simulation::{
    play, play_plan, Acknowledgement, Blow, Conduct, CoreChoice, CoreTrouble, CutDirection,
    DayKind, DayReport, DaySettings, Entry, OperatorOrder, Plan, PlantedFault, Scene, Strike,
    Trouble,
};
use lupinrack_golden_files::{check_folder, check_text, is_update};
use std::path::{Path, PathBuf};

const FILES: [&str; 5] = [
    "days.txt",
    "plan-by-hand.txt",
    "plans.txt",
    "planted-by-hand.txt",
    "planted-usual.txt",
];
/// Traffic of a short day, in milliseconds; a job comes in each second.
const SHORT_MS: u64 = 20_000;

fn golden_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// Compares a text with its file, or writes the file.
fn assert_golden(name: &str, text: &str) {
    check_text(golden_folder().join(name), text);
}

#[test]
fn every_golden_file_is_built_by_a_test() {
    // While files are updated other tests may not have written theirs yet.
    if is_update() {
        return;
    }
    check_folder(golden_folder(), FILES);
}

fn short(kind: DayKind) -> DaySettings {
    DaySettings {
        kind,
        jobs: SHORT_MS / 1_000,
        traffic_ms: SHORT_MS,
        ..DaySettings::default()
    }
}

fn short_five(kind: DayKind) -> DaySettings {
    DaySettings {
        cores: 5,
        tolerance: 2,
        ..short(kind)
    }
}

fn direction_word(direction: CutDirection) -> &'static str {
    match direction {
        CutDirection::Both => "both",
        CutDirection::Inward => "inward",
        CutDirection::Outward => "outward",
    }
}

fn choice_word(choice: CoreChoice) -> String {
    match choice {
        CoreChoice::Place(place) => format!("place {place}"),
        CoreChoice::Oldest => "oldest".to_owned(),
        CoreChoice::Newest => "newest".to_owned(),
        CoreChoice::Head => "head".to_owned(),
        CoreChoice::Spare => "spare".to_owned(),
    }
}

fn core_word(trouble: CoreTrouble) -> String {
    let word = match trouble {
        CoreTrouble::Kill => "kill",
        CoreTrouble::Power => "power",
        CoreTrouble::Wipe => "wipe",
        CoreTrouble::Freeze => "freeze",
        CoreTrouble::Stutter => "stutter",
        CoreTrouble::Terminate => "terminate",
        CoreTrouble::Replace => "replace",
        CoreTrouble::ReplaceInOrder => "replace in order",
        CoreTrouble::Cut(direction) => return format!("cut {}", direction_word(direction)),
        CoreTrouble::CutFromAll => "cut from all",
        CoreTrouble::CutWithCallers(direction) => {
            return format!("cut with callers {}", direction_word(direction));
        }
        CoreTrouble::CutMinorityWithCallers(direction) => {
            return format!("cut minority with callers {}", direction_word(direction));
        }
        CoreTrouble::LinksSlow => "links slow",
        CoreTrouble::DiskSlow => "disk slow",
        CoreTrouble::DiskStall => "disk stall",
        CoreTrouble::DiskFull => "disk full",
        CoreTrouble::DiskRefuse => "disk refuse",
    };
    word.to_owned()
}

fn strike_word(strike: Strike) -> String {
    let after = match strike.after {
        Acknowledgement::Job => "job",
        Acknowledgement::Configuration => "configuration",
    };
    let blow = match strike.blow {
        Blow::AllPower => "all power".to_owned(),
        Blow::Wipe(choice) => format!("wipe {}", choice_word(choice)),
        Blow::WipeAndAllPower(choice) => format!("wipe and all power {}", choice_word(choice)),
    };
    format!("strike after {after}: {blow}")
}

fn order_word(order: OperatorOrder) -> &'static str {
    match order {
        OperatorOrder::Change => "change",
        OperatorOrder::LargeChange => "large change",
        OperatorOrder::Race => "race",
        OperatorOrder::Crowd => "crowd",
        OperatorOrder::BadChange => "bad change",
        OperatorOrder::Resend => "resend",
    }
}

fn conduct_word(conduct: Conduct) -> &'static str {
    match conduct {
        Conduct::Sound => "sound",
        Conduct::Failing => "failing",
        Conduct::Slow => "slow",
        Conduct::Still => "still",
    }
}

fn trouble_word(trouble: Trouble) -> String {
    match trouble {
        Trouble::Core(kind, choice) => format!("core {}: {}", choice_word(choice), core_word(kind)),
        Trouble::Strike(strike) => strike_word(strike),
        Trouble::AllKilled => "all killed".to_owned(),
        Trouble::AllCoresPower => "all cores power".to_owned(),
        Trouble::FrontCut(front) => format!("front {front}: cut"),
        Trouble::FrontKill(front) => format!("front {front}: kill"),
        Trouble::FrontFreeze(front) => format!("front {front}: freeze"),
        Trouble::FrontTerminate(front) => format!("front {front}: terminate"),
        Trouble::FrontRemove(front) => format!("front {front}: remove"),
        Trouble::SideKill(side) => format!("agent {side}: kill"),
        Trouble::SideFreeze(side) => format!("agent {side}: freeze"),
        Trouble::SideTerminate(side) => format!("agent {side}: terminate"),
        Trouble::SideCut(side, false) => format!("agent {side}: cut both"),
        Trouble::SideCut(side, true) => format!("agent {side}: cut outward"),
        Trouble::SideSlow(side) => format!("agent {side}: links slow"),
        Trouble::Reset(machine) => format!("machine {machine}: reset"),
        Trouble::ClockStep(machine, by) => format!("machine {machine}: clock step {by}"),
        Trouble::NewSeeds => "new seeds".to_owned(),
        Trouble::ServerCrash(place) => format!("server {place}: crash"),
        Trouble::ServerConduct(place, conduct) => {
            format!("server {place}: {}", conduct_word(conduct))
        }
        Trouble::ServerLeaves(place) => format!("server {place}: leaves"),
        Trouble::Operator(order) => format!("operator: {}", order_word(order)),
        Trouble::AcknowledgementsLost => "acknowledgements lost".to_owned(),
    }
}

fn planted_word(planted: PlantedFault) -> &'static str {
    match planted {
        PlantedFault::SyncLeftOut => "sync left out",
        PlantedFault::LeaseTooLong => "hold too long",
        PlantedFault::RefusedInDoubt => "refused in doubt",
        PlantedFault::ObservedTooSoon => "observed too soon",
        PlantedFault::VoteOfEmptyDisk => "vote of empty disk",
        PlantedFault::TokenNotRaised => "token not raised",
        PlantedFault::BarrierWithoutContact => "barrier without contact",
        PlantedFault::VotersRemovedAlone => "voters removed alone",
        PlantedFault::TakenChangesNotInSnapshot => "taken changes not in snapshot",
        PlantedFault::SnapshotTakenForNewer => "snapshot taken for newer",
        PlantedFault::AnswerMatchedByNumber => "answer matched by number",
    }
}

fn scene_word(scene: Scene) -> &'static str {
    match scene {
        Scene::ReplacedAgainAndAgain => "replaced again and again",
        Scene::ReplacedInOrder => "replaced in order",
        Scene::ReplacedThenWiped => "replaced then wiped",
        Scene::WipedWhileCatchingUp => "wiped while catching up",
        Scene::WipedThenAnother => "wiped then another",
        Scene::CutWithCallers => "cut with callers",
        Scene::AllAtOnce => "all at once",
        Scene::LossesAtOnce => "losses at once",
        Scene::SlowOrSick => "slow or sick",
        Scene::EndedInTurn => "ended in turn",
    }
}

fn kind_word(kind: DayKind) -> &'static str {
    match kind {
        DayKind::Quiet => "quiet",
        DayKind::Usual => "usual",
        DayKind::Worst => "worst",
        DayKind::WorstOf(scene) => scene_word(scene),
    }
}

fn plan_text(plan: &Plan) -> String {
    let line = |entry: &Entry| {
        format!(
            "{} +{} {}\n",
            entry.at,
            entry.for_ms,
            trouble_word(entry.trouble)
        )
    };
    plan.entries().map(line).collect()
}

/// Rules whose lines hold values as the language prints them.
const RULES_WITHOUT_NUMBERS: [&str; 3] = ["ACKS", "CONFIG", "HISTORY"];

/// The moment, the rule and the numbers (task, attempt, machine) of a line of `broken`. Words are left out: they may hold the
/// names of types.
fn moment_and_rule(line: &str) -> String {
    let (moment, text) = line.split_once(" ms: ").unwrap_or(("?", line));
    let (rule, rest) = text.split_once(':').unwrap_or((text, ""));
    let numbers = rest
        .split(|letter: char| !letter.is_ascii_digit())
        .filter(|number| !number.is_empty());
    let numbers: String = numbers.map(|number| format!(" {number}")).collect();
    let numbers = if RULES_WITHOUT_NUMBERS.contains(&rule) {
        ""
    } else {
        &numbers
    };
    format!("  {moment} {rule}{numbers}\n")
}

fn report_text(name: &str, report: &DayReport) -> String {
    let DayReport {
        broken,
        accepted,
        tasks_started,
        tasks_done,
        changes,
        views,
        snapshots_written,
        snapshots_sent,
    } = report;
    let broken: String = broken.iter().map(|line| moment_and_rule(line)).collect();
    format!(
        "{name}: {accepted} accepted, {tasks_started} tasks started, {tasks_done} tasks done, {changes} changes, \
         {views} views, {snapshots_written} snapshots written, {snapshots_sent} snapshots sent\n{broken}"
    )
}

/// Each kind of trouble, of choice, of blow, of order and of conduct at least once.
fn plan_by_hand() -> Plan {
    let core = |kind, choice| Trouble::Core(kind, choice);
    let strike = |after, blow| Trouble::Strike(Strike { after, blow });
    let settings = DaySettings::default();
    let (front, side) = (settings.fronts().start, settings.sides().start);
    let troubles = [
        core(CoreTrouble::Kill, CoreChoice::Place(0)),
        Trouble::Operator(OperatorOrder::Change),
        core(CoreTrouble::Power, CoreChoice::Head),
        Trouble::FrontKill(front),
        core(CoreTrouble::Wipe, CoreChoice::Oldest),
        Trouble::SideKill(side),
        core(CoreTrouble::Freeze, CoreChoice::Newest),
        Trouble::ServerCrash(0),
        core(CoreTrouble::Stutter, CoreChoice::Place(1)),
        Trouble::Operator(OperatorOrder::LargeChange),
        core(CoreTrouble::Terminate, CoreChoice::Place(2)),
        Trouble::Operator(OperatorOrder::Race),
        core(CoreTrouble::Replace, CoreChoice::Oldest),
        Trouble::NewSeeds,
        core(CoreTrouble::ReplaceInOrder, CoreChoice::Spare),
        Trouble::Operator(OperatorOrder::Crowd),
        core(CoreTrouble::Cut(CutDirection::Both), CoreChoice::Head),
        Trouble::ServerConduct(1, Conduct::Failing),
        core(CoreTrouble::Cut(CutDirection::Inward), CoreChoice::Place(0)),
        Trouble::ServerConduct(2, Conduct::Slow),
        core(CoreTrouble::CutFromAll, CoreChoice::Place(1)),
        Trouble::ServerConduct(3, Conduct::Still),
        core(
            CoreTrouble::CutWithCallers(CutDirection::Outward),
            CoreChoice::Place(2),
        ),
        Trouble::ServerConduct(1, Conduct::Sound),
        core(
            CoreTrouble::CutMinorityWithCallers(CutDirection::Both),
            CoreChoice::Head,
        ),
        Trouble::Operator(OperatorOrder::BadChange),
        core(CoreTrouble::LinksSlow, CoreChoice::Head),
        Trouble::AcknowledgementsLost,
        core(CoreTrouble::DiskSlow, CoreChoice::Place(0)),
        Trouble::Operator(OperatorOrder::Resend),
        core(CoreTrouble::DiskStall, CoreChoice::Place(1)),
        Trouble::ServerLeaves(4),
        core(CoreTrouble::DiskFull, CoreChoice::Place(2)),
        Trouble::FrontCut(front),
        core(CoreTrouble::DiskRefuse, CoreChoice::Head),
        Trouble::FrontFreeze(front + 1),
        strike(Acknowledgement::Job, Blow::AllPower),
        Trouble::FrontTerminate(front),
        strike(
            Acknowledgement::Configuration,
            Blow::Wipe(CoreChoice::Oldest),
        ),
        Trouble::Operator(OperatorOrder::Change),
        strike(
            Acknowledgement::Job,
            Blow::WipeAndAllPower(CoreChoice::Head),
        ),
        Trouble::SideFreeze(side + 1),
        Trouble::AllKilled,
        Trouble::SideTerminate(side + 2),
        Trouble::AllCoresPower,
        Trouble::SideCut(side + 3, false),
        Trouble::SideCut(side + 4, true),
        Trouble::SideSlow(side + 5),
        Trouble::Reset(0),
        Trouble::ClockStep(1, -1_500),
        Trouble::FrontRemove(front + 1),
    ];
    let entry = |(number, trouble): (u64, Trouble)| Entry {
        at: 3_000 + 600 * number,
        for_ms: 900 + 10 * number,
        trouble,
    };
    Plan::of((0..).zip(troubles).map(entry).collect())
}

fn day_by_hand(seed: u64, planted: Option<PlantedFault>) -> DayReport {
    let settings = DaySettings {
        planted,
        jobs: 30,
        ..DaySettings::default()
    };
    play_plan(seed, settings, plan_by_hand())
}

#[test]
fn the_plans_of_seeds_stay_the_same() {
    let mut text = String::new();
    let three = [DayKind::Quiet, DayKind::Usual, DayKind::Worst].map(short);
    let scenes = Scene::ALL.map(|scene| short_five(DayKind::WorstOf(scene)));
    for settings in three
        .into_iter()
        .chain([short_five(DayKind::Usual)])
        .chain(scenes)
    {
        for seed in 1..=2 {
            let plan = Plan::draw(&mut fastrand::Rng::with_seed(seed), &settings);
            let (kind, cores) = (kind_word(settings.kind), settings.cores);
            text += &format!("{kind}, {cores} cores, seed {seed}\n{}\n", plan_text(&plan));
        }
    }
    assert_golden("plans.txt", &text);
}

#[test]
fn a_plan_by_hand_stays_the_same() {
    assert_golden("plan-by-hand.txt", &plan_text(&plan_by_hand()));
}

#[test]
fn days_stay_the_same() {
    let mut text = String::new();
    let mut play_days = |seeds: std::ops::RangeInclusive<u64>, settings: DaySettings| {
        for seed in seeds {
            let name = format!(
                "{}, {} cores, seed {seed}",
                kind_word(settings.kind),
                settings.cores
            );
            text += &report_text(&name, &play(seed, settings));
        }
    };
    play_days(1..=1, short(DayKind::Quiet));
    play_days(1..=12, short(DayKind::Usual));
    play_days(1..=4, short_five(DayKind::Usual));
    play_days(1..=8, short(DayKind::Worst));
    play_days(1..=2, short_five(DayKind::Worst));
    Scene::ALL
        .into_iter()
        .for_each(|scene| play_days(1..=1, short(DayKind::WorstOf(scene))));
    for seed in 1..=2 {
        text += &report_text(
            &format!("by hand, 3 cores, seed {seed}"),
            &day_by_hand(seed, None),
        );
    }
    assert_golden("days.txt", &text);
}

#[test]
fn usual_days_with_planted_faults_stay_the_same() {
    let day = |planted| {
        let settings = DaySettings {
            planted: Some(planted),
            ..short(DayKind::Usual)
        };
        report_text(planted_word(planted), &play(4, settings))
    };
    assert_golden("planted-usual.txt", &PlantedFault::ALL.map(day).concat());
}

#[test]
fn a_day_by_hand_with_planted_faults_stays_the_same() {
    let day = |planted| report_text(planted_word(planted), &day_by_hand(1, Some(planted)));
    assert_golden("planted-by-hand.txt", &PlantedFault::ALL.map(day).concat());
}

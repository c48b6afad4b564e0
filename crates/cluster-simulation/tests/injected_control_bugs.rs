//! Planted faults of the control side, one for each point that operators keep meeting: each is caught by days that break
//! no rule without it.

use lupinrack_cluster_simulation::{
    play, play_plan, CoreChoice, CoreTrouble, CutDirection, DayKind, DayReport, DaySettings, Entry,
    OperatorOrder, Plan, PlantedFault, Scene, Trouble,
};

/// Whether a line of the reports begins, after its moment, with one of the rules.
fn breaks(reports: &[DayReport], rules: &[&str]) -> bool {
    let mut lines = reports.iter().flat_map(|report| &report.broken);
    lines.any(|line| rules.iter().any(|rule| line.contains(rule)))
}

fn assert_sound(reports: &[DayReport]) {
    let broken: Vec<&String> = reports.iter().flat_map(|report| &report.broken).collect();
    assert!(broken.is_empty(), "without the fault: {broken:#?}");
}

/// Plays days without the fault, which have to be sound, and with it, where one of the rules has to be broken.
fn assert_caught(
    planted: PlantedFault,
    rules: &[&str],
    play: impl Fn(Option<PlantedFault>) -> Vec<DayReport>,
) {
    assert_sound(&play(None));
    let reports = play(Some(planted));
    assert!(
        breaks(&reports, rules),
        "{planted:?} is not caught: {reports:#?}"
    );
}

fn scene(
    scene: Scene,
    seeds: &[u64],
    traffic_ms: u64,
    planted: Option<PlantedFault>,
) -> Vec<DayReport> {
    let settings = DaySettings {
        kind: DayKind::WorstOf(scene),
        traffic_ms,
        jobs: traffic_ms / 1_000,
        planted,
        ..DaySettings::default()
    };
    seeds.iter().map(|seed| play(*seed, settings)).collect()
}

fn core(at: u64, for_ms: u64, kind: CoreTrouble, choice: CoreChoice) -> Entry {
    Entry {
        at,
        for_ms,
        trouble: Trouble::Core(kind, choice),
    }
}

fn orders(order: OperatorOrder, moments: impl Iterator<Item = u64>) -> impl Iterator<Item = Entry> {
    moments.map(move |at| Entry {
        at,
        for_ms: 0,
        trouble: Trouble::Operator(order),
    })
}

/// Point 1.
#[test]
fn an_old_configuration_served_without_contact_is_caught() {
    let rules = ["CONFIG: version", "HISTORY"];
    assert_caught(PlantedFault::BarrierWithoutContact, &rules, |planted| {
        scene(Scene::CutWithCallers, &[1, 2, 3, 4], 60_000, planted)
    });
}

/// Point 2.
#[test]
fn taken_changes_lost_over_a_snapshot_are_caught() {
    let rules = ["acknowledged, is refused", "HISTORY"];
    assert_caught(PlantedFault::TakenChangesNotInSnapshot, &rules, |planted| {
        scene(Scene::AllAtOnce, &[1, 2, 3, 4], 60_000, planted)
    });
}

/// The head is cut off with another machine, twice, while the operator goes on on both sides.
fn minority_cut_off() -> Plan {
    let cut = CoreTrouble::CutMinorityWithCallers(CutDirection::Both);
    let mut entries = vec![
        core(8_000, 9_000, cut, CoreChoice::Head),
        core(24_000, 9_000, cut, CoreChoice::Head),
    ];
    entries.extend(orders(
        OperatorOrder::Change,
        (5..36).map(|second| 1_000 * second),
    ));
    Plan::of(entries)
}

/// Point 3.
#[test]
fn voters_removed_without_an_overlap_of_majorities_are_caught() {
    let rules = [
        "CONFIG: version",
        "CONFIG: changes",
        "HISTORY",
        "LOST: accepted job",
    ];
    assert_caught(PlantedFault::VotersRemovedAlone, &rules, |planted| {
        let settings = DaySettings {
            cores: 5,
            tolerance: 1,
            planted,
            ..DaySettings::default()
        };
        (1..=3)
            .map(|seed| play_plan(seed, settings, minority_cut_off()))
            .collect()
    });
}

/// Point 4.
#[test]
fn a_snapshot_taken_for_newer_than_it_is_is_caught() {
    let rules = ["CONFIG: version", "LOST: accepted job", "TWICE"];
    assert_caught(PlantedFault::SnapshotTakenForNewer, &rules, |planted| {
        scene(Scene::AllAtOnce, &[1, 2, 3, 4], 60_000, planted)
    });
}

/// Fronts are killed and come back at once, again and again, while slow links of the head make answers late.
fn fronts_come_back_at_once() -> Plan {
    let settings = DaySettings::default();
    let kill = |number: usize| Entry {
        at: 6_000 + 800 * number as u64,
        for_ms: 30,
        trouble: Trouble::FrontKill(settings.cores + number % settings.fronts),
    };
    let mut entries: Vec<Entry> = (0..38).map(kill).collect();
    entries.push(core(
        5_000,
        32_000,
        CoreTrouble::LinksSlow,
        CoreChoice::Head,
    ));
    Plan::of(entries)
}

/// Point 5.
#[test]
fn an_answer_matched_by_number_alone_is_caught() {
    let rules = [
        "MIXED",
        "without cause",
        "is not known",
        "CONFIG: submission",
    ];
    assert_caught(PlantedFault::AnswerMatchedByNumber, &rules, |planted| {
        let settings = DaySettings {
            finish_ms: 60_000,
            planted,
            ..DaySettings::default()
        };
        (1..=4)
            .map(|seed| play_plan(seed, settings, fronts_come_back_at_once()))
            .collect()
    });
}

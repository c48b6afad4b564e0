//! Plays the days of many seeds: `hunt FIRST COUNT [CORES] [PLANTED]`.

use lupinrack_cluster_simulation::{play, DaySettings, PlantedFault};

fn main() {
    let arguments: Vec<u64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let first = arguments.first().copied().unwrap_or(1);
    let count = arguments.get(1).copied().unwrap_or(100);
    let cores = arguments.get(2).copied().unwrap_or(3) as usize;
    let planted = arguments.get(3).and_then(|number| PlantedFault::ALL.get(*number as usize)).copied();
    let mut failed = 0;
    let mut tasks = 0;
    for seed in first..first + count {
        let report = play(seed, DaySettings { cores, planted, ..DaySettings::default() });
        tasks += report.tasks_done;
        if report.broken.is_empty() {
            continue;
        }
        failed += 1;
        println!("seed {seed}: {} broken, accepted {}", report.broken.len(), report.accepted);
        report.broken.iter().take(4).for_each(|line| println!("    {line}"));
    }
    println!("{failed} of {count} days failed; {tasks} tasks done");
}

//! Seeded runs of the dispatcher, compared with the traces in `golden/`: tags, and the order of releases.
//!
//! The traces contain no identifiers of the code. `UPDATE_GOLDEN=1` rewrites them.

mod common;

use common::{arrival, Choices, TestDispatcher};
use lupinrack_cluster_api::time::Millis;
use lupinrack_dispatch::{hybrid_delay, DispatchSettings, Dispatcher, Tags};
use lupinrack_golden_files::{check_folder, check_text, path};
use std::path::Path;

const SERVERS: u64 = 4;
/// Streams and their weights; the last two are out of range.
const STREAMS: [(char, f64); 6] = [
    ('a', 0.5),
    ('b', 0.25),
    ('c', 0.125),
    ('d', 1.0),
    ('e', 0.0),
    ('f', 1e-9),
];
const CALLS: usize = 400;

/// One run: calls drawn from a seed, and their trace.
struct SeededRun {
    choices: Choices,
    dispatcher: TestDispatcher,
    now: Millis,
    next_task: u32,
    text: String,
}

impl SeededRun {
    fn new(seed: u64, settings: DispatchSettings) -> SeededRun {
        SeededRun {
            choices: Choices(seed),
            dispatcher: Dispatcher::new(settings),
            now: Millis(0),
            next_task: 0,
            text: String::new(),
        }
    }

    fn run(mut self) -> String {
        for _ in 0..CALLS {
            let server = self.choices.below(SERVERS) as u8;
            match self.choices.below(20) {
                0..=10 => self.enqueue(server),
                11..=12 => self.withdraw(server),
                13..=17 => self.release(server),
                18 => self.advance_clock(),
                _ => self.remove_server(server),
            }
        }
        self.record_final_state();
        self.text
    }

    fn record(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    fn enqueue(&mut self, server: u8) {
        let (stream, weight) = STREAMS[self.choices.below(STREAMS.len() as u64) as usize];
        let cost = self.choices.below(2_000) as f64 / 1_000.0;
        // One in ten tasks is a duplicate of the last one.
        let is_duplicate = self.choices.below(10) == 0 && self.next_task > 0;
        let task = if is_duplicate {
            self.next_task - 1
        } else {
            self.next_task
        };
        self.next_task += u32::from(!is_duplicate);
        let tags = self
            .dispatcher
            .enqueue(&server, arrival(stream, weight, cost, task), self.now);
        let tags = tags_text(tags);
        self.record(&format!(
            "place {task} of {stream} on {server} cost {cost}: {tags}"
        ));
    }

    fn withdraw(&mut self, server: u8) {
        let queued: Vec<u32> = self.dispatcher.queued(&server).copied().collect();
        let task = match queued.len() {
            0 => u32::MAX,
            length => queued[self.choices.below(length as u64) as usize],
        };
        let withdrawn = self.dispatcher.withdraw(&server, &task);
        self.record(&format!("withdraw {task} from {server}: {withdrawn}"));
    }

    fn release(&mut self, server: u8) {
        let running = self.choices.below(4) as usize;
        let misfit = self.choices.below(4) as u32;
        let released = self
            .dispatcher
            .release(&server, running, self.now, |task| task % 4 != misfit);
        let virtual_time = self.dispatcher.virtual_time(&server).0;
        self.record(&format!(
            "release on {server} beside {running} without {misfit} of 4: {released:?} virtual time {virtual_time}"
        ));
    }

    fn advance_clock(&mut self) {
        self.now = self.now.plus(self.choices.below(900));
        self.record(&format!("now {}", self.now.0));
    }

    fn remove_server(&mut self, server: u8) {
        let returned = self.dispatcher.remove_server(&server);
        self.record(&format!("remove {server}: {returned:?}"));
    }

    /// Records the final state: the queues with their tags, and the number of streams with state.
    fn record_final_state(&mut self) {
        for server in 0..SERVERS as u8 {
            let queued: Vec<u32> = self.dispatcher.queued(&server).copied().collect();
            for task in queued {
                let tags = self
                    .dispatcher
                    .tags(&server, &task)
                    .expect("the task is queued");
                self.record(&format!("left on {server}: {task} {}", tags_text(tags)));
            }
        }
        self.record(&format!("streams {}", self.dispatcher.stream_count()));
    }
}

fn tags_text(tags: Tags) -> String {
    format!("start {} finish {}", tags.start.0, tags.finish.0)
}

fn delays() -> String {
    let mut text = String::new();
    for remote_cost in [-1.0, 0.0, 0.3, 2.5, f64::INFINITY] {
        for cost in [0.0, 0.7, 3.0] {
            for weight in [1e-4, 0.2, 0.5, 0.9, 1.0] {
                for ratio in [0.0, 0.25, 0.5, 1.0] {
                    let delay = hybrid_delay(remote_cost, cost, weight, ratio);
                    let bits = delay.to_bits();
                    text.push_str(&format!(
                        "elsewhere {remote_cost} cost {cost} weight {weight} ratio {ratio}: {delay} bits {bits:016x}\n"
                    ));
                }
            }
        }
    }
    text
}

fn defaults() -> String {
    let settings = DispatchSettings::default();
    format!(
        "depth: {}\nleast weight ratio: {}\nstream idle: {} ms\npasses: {}\n",
        settings.depth,
        settings.minimum_weight_ratio,
        settings.stream_idle_ms,
        settings.max_bypasses
    )
}

/// The expected name and text of every golden file.
fn rendered() -> Vec<(&'static str, String)> {
    let usual = DispatchSettings {
        stream_idle_ms: 2_000,
        ..DispatchSettings::default()
    };
    let shallow = DispatchSettings {
        depth: 3,
        max_bypasses: 2,
        ..usual
    };
    let even = DispatchSettings {
        minimum_weight_ratio: 0.1,
        ..usual
    };
    let strict = DispatchSettings {
        minimum_weight_ratio: 1.0,
        max_bypasses: 0,
        ..usual
    };
    vec![
        ("defaults.txt", defaults()),
        ("delays.txt", delays()),
        ("usual.txt", SeededRun::new(21, usual).run()),
        ("shallow.txt", SeededRun::new(22, shallow).run()),
        ("even.txt", SeededRun::new(23, even).run()),
        ("strict.txt", SeededRun::new(24, strict).run()),
    ]
}

#[test]
fn seeded_runs_match_their_golden_traces() {
    let rendered = rendered();
    for (name, text) in &rendered {
        check_text(Path::new(path!()).join(name), text);
    }
    check_folder(path!(), rendered.iter().map(|(name, _)| name));
}

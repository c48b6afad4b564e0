//! Seeded runs of the dispatcher, compared with traces that are kept in `golden/`: tags, and the order of releases.
//!
//! Traces are text and name nothing of the code. With `UPDATE_GOLDEN=1` they are written anew.

mod common;

use common::{arrival, Choices, TestDispatcher};
use lupinrack_cluster_api::time::Millis;
use lupinrack_dispatch::{hybrid_delay, DispatchSettings, Dispatcher, Tags};
use lupinrack_golden_files::{check_folder, check_text, path};
use std::path::Path;

const SERVERS: u64 = 4;
/// Streams and their weights; the last ones are out of bounds.
const STREAMS: [(char, f64); 6] = [
    ('a', 0.5),
    ('b', 0.25),
    ('c', 0.125),
    ('d', 1.0),
    ('e', 0.0),
    ('f', 1e-9),
];
const CALLS: usize = 400;

/// Calls of one run, drawn from its seed.
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

    fn play(mut self) -> String {
        for _ in 0..CALLS {
            let server = self.choices.below(SERVERS) as u8;
            match self.choices.below(20) {
                0..=10 => self.place(server),
                11..=12 => self.withdraw(server),
                13..=17 => self.release(server),
                18 => self.wait(),
                _ => self.remove_server(server),
            }
        }
        self.note_ends();
        self.text
    }

    fn note(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    fn place(&mut self, server: u8) {
        let (stream, weight) = STREAMS[self.choices.below(STREAMS.len() as u64) as usize];
        let cost = self.choices.below(2_000) as f64 / 1_000.0;
        // Now and then a task that is there already.
        let again = self.choices.below(10) == 0 && self.next_task > 0;
        let task = if again {
            self.next_task - 1
        } else {
            self.next_task
        };
        self.next_task += u32::from(!again);
        let tags = self
            .dispatcher
            .enqueue(&server, arrival(stream, weight, cost, task), self.now);
        let tags = tags_text(tags);
        self.note(&format!(
            "place {task} of {stream} on {server} cost {cost}: {tags}"
        ));
    }

    fn withdraw(&mut self, server: u8) {
        let waiting: Vec<u32> = self.dispatcher.queued(&server).copied().collect();
        let task = match waiting.len() {
            0 => u32::MAX,
            length => waiting[self.choices.below(length as u64) as usize],
        };
        let waited = self.dispatcher.withdraw(&server, &task);
        self.note(&format!("withdraw {task} from {server}: {waited}"));
    }

    fn release(&mut self, server: u8) {
        let running = self.choices.below(4) as usize;
        let misfit = self.choices.below(4) as u32;
        let released = self
            .dispatcher
            .release(&server, running, self.now, |task| task % 4 != misfit);
        let virtual_time = self.dispatcher.virtual_time(&server).0;
        self.note(&format!(
            "release on {server} beside {running} without {misfit} of 4: {released:?} virtual time {virtual_time}"
        ));
    }

    fn wait(&mut self) {
        self.now = self.now.plus(self.choices.below(900));
        self.note(&format!("now {}", self.now.0));
    }

    fn remove_server(&mut self, server: u8) {
        let waited = self.dispatcher.remove_server(&server);
        self.note(&format!("remove {server}: {waited:?}"));
    }

    /// What is left: the queues with their tags, and how many streams are remembered.
    fn note_ends(&mut self) {
        for server in 0..SERVERS as u8 {
            let waiting: Vec<u32> = self.dispatcher.queued(&server).copied().collect();
            for task in waiting {
                let tags = self.dispatcher.tags(&server, &task).expect("it waits");
                self.note(&format!("left on {server}: {task} {}", tags_text(tags)));
            }
        }
        self.note(&format!("streams {}", self.dispatcher.stream_count()));
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

/// Every file and its text.
fn built() -> Vec<(&'static str, String)> {
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
        ("usual.txt", SeededRun::new(21, usual).play()),
        ("shallow.txt", SeededRun::new(22, shallow).play()),
        ("even.txt", SeededRun::new(23, even).play()),
        ("strict.txt", SeededRun::new(24, strict).play()),
    ]
}

#[test]
fn runs_are_decided_as_kept() {
    let built = built();
    for (name, text) in &built {
        check_text(Path::new(path!()).join(name), text);
    }
    check_folder(path!(), built.iter().map(|(name, _)| name));
}

//! A whole day: traffic and faults, then time to finish, then the last questions.

use crate::plan::Plan;
use crate::world::{DaySettings, World};

/// How a day ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DayReport {
    /// The rules that were broken, each with the moment.
    pub broken: Vec<String>,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Tasks that were started at least once.
    pub tasks_started: usize,
    /// Tasks that were done.
    pub tasks_done: usize,
}

/// Plays the day of a seed.
pub fn play(seed: u64, settings: DaySettings) -> DayReport {
    play_world(World::new(seed, settings))
}

/// Plays the day of a seed with these faults in place of its own.
pub fn play_plan(seed: u64, settings: DaySettings, plan: Plan) -> DayReport {
    let mut world = World::new(seed, DaySettings { faults: false, ..settings });
    world.plan = plan;
    play_world(world)
}

fn play_world(mut world: World) -> DayReport {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let settings = world.settings;
    while world.now < settings.traffic_ms + 6_000 {
        world.step();
    }
    world.begin_closing();
    while world.now < settings.traffic_ms + settings.finish_ms && !world.is_finished() {
        world.step();
    }
    world.check_end();
    world.report()
}

impl World {
    /// The last questions begin: every accepted job is asked for once more.
    fn begin_closing(&mut self) {
        self.closing = true;
        for client in &mut self.clients {
            client.finished = client.accepted_at.is_none() && client.finished;
        }
    }

    fn is_finished(&self) -> bool {
        let all_done = self.clients.iter().all(|client| client.finished);
        all_done && !self.operator.is_busy() && self.operator.read_at_end.is_some()
    }

    fn check_end(&mut self) {
        let now = self.now;
        let unfinished: Vec<String> = self
            .clients
            .iter()
            .filter(|client| !client.finished)
            .map(|client| {
                let shape = self.checks.jobs.get(&client.job()).map(|truth| truth.spec.steps.len());
                format!("{} accepted at {:?}, steps {shape:?}", client.job(), client.accepted_at)
            })
            .collect();
        for job in unfinished {
            self.checks.broke(now, format!("LOST: not finished: {job}"));
        }
        if self.operator.is_busy() {
            self.checks.broke(now, "CONFIG: a change has no clear answer".to_owned());
        }
        if self.operator.read_at_end.is_none() {
            self.checks.broke(now, "CONFIG: the configuration is not read back".to_owned());
        }
    }

    fn report(self) -> DayReport {
        DayReport {
            accepted: self.clients.iter().filter(|client| client.accepted_at.is_some()).count(),
            tasks_started: self.checks.tasks.len(),
            tasks_done: self.checks.tasks.values().filter(|task| task.done_at.is_some()).count(),
            broken: self.checks.broken,
        }
    }
}

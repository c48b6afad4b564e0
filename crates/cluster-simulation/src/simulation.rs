//! One run: traffic and faults, then time to finish, then the final reads.

use crate::client::Client;
use crate::config::{FaultProfile, SimulationConfig};
use crate::faults::schedule::{Fault, FaultSchedule, OperatorAction, ScheduledFault};
use crate::idle_check::{IdleCheck, CHECK_INTERVAL_MS};
use crate::machine::clock::WALL_START_MS;
use crate::operator::Operator;
use crate::owner_check::OwnerCheck;
use crate::route_layout::RouteLayout;
use crate::workload::draw;
use crate::world::World;
use lupinrack_cluster_api::identity::JobId;

/// Step by which servers, clients and the operator advance, in milliseconds.
const WORK_STEP_MS: u64 = 5;

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SimulationReport {
    /// The violated rules, each with its time.
    pub violations: Vec<String>,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of tasks that started at least once.
    pub tasks_started: usize,
    /// Number of tasks that succeeded.
    pub tasks_done: usize,
    /// Number of acknowledged configuration changes.
    pub changes: usize,
    /// Number of the newest view known to a front.
    pub views: u64,
    /// Number of snapshots that core processes wrote.
    pub snapshots_written: usize,
    /// Number of snapshots sent between core processes, counted by their first chunks.
    pub snapshots_sent: usize,
}

/// Runs the simulation of a seed. The same seed and configuration give the same report.
pub fn simulate(seed: u64, config: SimulationConfig) -> SimulationReport {
    Simulation::new(seed, config).run()
}

/// Runs the simulation of a seed with this fault schedule in place of the one that the seed draws.
pub fn simulate_schedule(
    seed: u64,
    config: SimulationConfig,
    schedule: FaultSchedule,
) -> SimulationReport {
    let mut simulation = Simulation::new(
        seed,
        SimulationConfig {
            profile: FaultProfile::Quiet,
            ..config
        },
    );
    simulation.schedule = schedule;
    simulation.run()
}

/// The world and the actors: clients, the operator, the fault schedule.
#[derive(Debug)]
struct Simulation {
    world: World,
    schedule: FaultSchedule,
    clients: Vec<Client>,
    operator: Operator,
    idle_check: IdleCheck,
    owner_check: OwnerCheck,
}

impl Simulation {
    fn new(seed: u64, config: SimulationConfig) -> Simulation {
        let mut world = World::new(fastrand::Rng::with_seed(seed), config);
        let schedule = FaultSchedule::draw(&mut world.rng, &config);
        world.seed_network();
        let clients = generate_clients(&mut world);
        world
            .oracle
            .queues_directed(RouteLayout::usual().directions());
        let mut operator = Operator::default();
        operator.begin(OperatorAction::Change, &mut world);
        Simulation {
            world,
            schedule,
            clients,
            operator,
            idle_check: IdleCheck::default(),
            owner_check: OwnerCheck::default(),
        }
    }

    fn run(mut self) -> SimulationReport {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let config = self.world.config;
        while self.world.now < config.traffic_ms + 6_000 {
            self.step();
        }
        self.begin_final_reads();
        while self.world.now < config.traffic_ms + config.finish_ms && !self.is_finished() {
            self.step();
        }
        self.check_end();
        self.report()
    }

    /// Advances by one millisecond.
    fn step(&mut self) {
        self.world.step();
        if self.world.now.is_multiple_of(WORK_STEP_MS) {
            self.act();
        }
    }

    fn act(&mut self) {
        self.world.work(WORK_STEP_MS);
        self.world.send_heartbeats();
        for client in &mut self.clients {
            client.advance(&mut self.world);
        }
        self.operator.advance(&mut self.world);
        self.begin_due_faults();
        if self.world.now.is_multiple_of(CHECK_INTERVAL_MS) {
            self.check_idle_jobs();
            self.owner_check.observe(&mut self.world);
        }
    }

    fn check_idle_jobs(&mut self) {
        let accepted = self.clients.iter().filter(|client| client.has_open_job());
        let accepted: Vec<JobId> = accepted.map(Client::job).collect();
        self.idle_check.observe(&accepted, &mut self.world);
    }

    fn begin_due_faults(&mut self) {
        self.world.recover_from_expired_faults();
        while let Some(entry) = self.schedule.take_due(self.world.now) {
            match entry {
                ScheduledFault {
                    fault: Fault::Operator(action),
                    ..
                } => {
                    self.operator.begin(action, &mut self.world);
                }
                entry => self.world.inject_fault(entry),
            }
        }
    }

    /// Starts the final reads: the state of every accepted job is read once more.
    fn begin_final_reads(&mut self) {
        self.world.final_reads_begun = true;
        for client in &mut self.clients {
            client.finished = client.accepted_at.is_none() && client.finished;
        }
    }

    fn is_finished(&self) -> bool {
        let all_done = self.clients.iter().all(|client| client.finished);
        all_done && !self.operator.is_busy() && self.operator.read_at_end.is_some()
    }

    fn check_end(&mut self) {
        let now = self.world.now;
        self.operator.check_history(&mut self.world);
        for client in self.clients.iter().filter(|client| !client.finished) {
            let shape = self
                .world
                .oracle
                .jobs
                .get(&client.job())
                .map(|expected| expected.spec.steps.len());
            let (job, accepted_at) = (client.job(), client.accepted_at);
            let text =
                format!("LOST: not finished: {job} accepted at {accepted_at:?}, steps {shape:?}");
            self.world.oracle.report_violation(now, &text);
        }
        if self.operator.is_busy() {
            self.world
                .oracle
                .report_violation(now, "CONFIG: a change has no clear answer");
        }
        if self.operator.read_at_end.is_none() {
            self.world
                .oracle
                .report_violation(now, "CONFIG: the configuration is not read back");
        }
    }

    fn report(self) -> SimulationReport {
        let views = self.world.newest_view().map_or(0, |view| view.number);
        let (snapshots_written, snapshots_sent) =
            (self.world.snapshots_written, self.world.snapshots_sent);
        let oracle = self.world.oracle;
        SimulationReport {
            accepted: self
                .clients
                .iter()
                .filter(|client| client.accepted_at.is_some())
                .count(),
            tasks_started: oracle.tasks.len(),
            tasks_done: oracle
                .tasks
                .values()
                .filter(|task| task.done_at.is_some())
                .count(),
            changes: self.operator.count_acknowledged(),
            views,
            snapshots_written,
            snapshots_sent,
            violations: oracle.violations,
        }
    }
}

fn generate_clients(world: &mut World) -> Vec<Client> {
    (1..=world.config.jobs)
        .map(|number| generate_client(number, world))
        .collect()
}

fn generate_client(number: u64, world: &mut World) -> Client {
    let begins_at = 2_500 + world.rng.u64(0..world.config.traffic_ms - 10_000);
    let generated = draw(&mut world.rng, number, WALL_START_MS + begins_at);
    let cancelled = generated.expected.is_long_running() || world.rng.u32(0..15) == 0;
    let cancel_at = cancelled.then(|| begins_at + world.rng.u64(500..9_000));
    let job = JobId(number);
    world.oracle.jobs.insert(job, generated.expected);
    Client::new(job, generated.queue, begins_at, cancel_at)
}

//! Real processes of a large deployment on loopback, with its mix of jobs, server faults and a closing fault. Checks that no
//! accepted job has nothing running for three seconds while there is room for it twice and less than half of its service is
//! in use.
//!
//! `cargo run --release -p lupinrack-cluster-local --example idle_jobs -- --agents 240 --closing power`

mod farm;
mod idle_check;
mod options;
mod processes;
mod workload;

use crate::farm::{racks, Farm};
use crate::idle_check::{IdleCheck, MAX_IDLE};
use crate::options::{Closing, Options};
use crate::processes::{send, Processes};
use crate::workload::{Queue, Service};
use http::Method;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_json::{job_body, parse_job_state};
use lupinrack_cluster_local::{ClusterShape, Ports};
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Interval between two checks.
const TICK: Duration = Duration::from_millis(50);
/// How long the servers fail their runs, or are down.
const FAULT: Duration = Duration::from_secs(6);
/// How long the processes are down after the closing.
const DOWNTIME: Duration = Duration::from_millis(1_300);
/// The time from the end of the traffic from which on no job may be idle.
const FINISH: Duration = Duration::from_secs(14);
/// How often a submission is tried.
const MAX_TRIES: usize = 20;

type Accepted = (JobId, Queue);

#[tokio::main]
async fn main() -> ExitCode {
    let options = match Options::parse(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    match Trial::start(options).await {
        Ok(trial) => trial.run().await,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

struct Trial {
    options: Options,
    rng: fastrand::Rng,
    processes: Processes,
    farm: Farm,
    check: IdleCheck,
    fronts: Vec<SocketAddrV4>,
    accepted: (UnboundedSender<Accepted>, UnboundedReceiver<Accepted>),
    clients: JoinSet<()>,
    started: Instant,
    submitted: usize,
    next_report: Duration,
}

impl Trial {
    async fn start(options: Options) -> Result<Trial, String> {
        let shape = ClusterShape {
            cores: options.cores,
            fronts: options.fronts,
            agents: options.agents,
            tolerated_losses: options.cores.saturating_sub(1) / 4,
            heartbeat_interval_ms: 1_500,
            max_lease_ms: 6_000,
            run_stop_ms: 900,
            gang_wait_ms: 5_000,
        };
        let ports = Ports::draw(&shape).map_err(|error| error.to_string())?;
        let mut processes = Processes::new(&options, shape, ports)?;
        processes.start_all()?;
        let farm = Farm::start(shape, ports);
        processes.configure().await?;
        let fronts = processes.front_addresses();
        // The servers attach while the first seconds pass.
        sleep(Duration::from_secs(6)).await;
        Ok(Trial {
            rng: fastrand::Rng::with_seed(options.seed),
            options,
            processes,
            farm,
            check: IdleCheck::default(),
            fronts,
            accepted: unbounded_channel(),
            clients: JoinSet::new(),
            started: Instant::now(),
            submitted: 0,
            next_report: Duration::ZERO,
        })
    }

    async fn run(mut self) -> ExitCode {
        let traffic = self.options.traffic;
        let faulty = self.faulty_servers();
        self.run_until(traffic / 2, true).await;
        self.begin_faults(&faulty);
        self.run_until(traffic / 2 + FAULT, true).await;
        self.end_faults(&faulty);
        self.run_until(traffic, true).await;
        if let Err(error) = self.close().await {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
        let end = self.started.elapsed();
        let before = self.idle_jobs();
        println!("jobs idle for 3 s until the end of the traffic: {before}");
        self.run_until(end + FINISH, false).await;
        let while_settling = self.idle_jobs();
        println!("jobs idle for 3 s in the 14 s after it: {while_settling}");
        self.forget_idle_times();
        self.run_until(end + self.options.watch, false).await;
        self.finish()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Servers with a fault in the middle of the traffic: whether they crash, and their index.
    fn faulty_servers(&mut self) -> Vec<(bool, usize)> {
        let mut faulty = Vec::new();
        for index in 0..self.farm.servers.len() {
            let draw = self.rng.u32(0..100);
            if draw < self.options.failing_percent {
                faulty.push((false, index));
            } else if draw < self.options.failing_percent + self.options.crashing_percent {
                faulty.push((true, index));
            }
        }
        faulty
    }

    fn begin_faults(&mut self, faulty: &[(bool, usize)]) {
        println!("{:?}: faults on {} servers", self.now(), faulty.len());
        for (crashes, index) in faulty {
            if *crashes {
                self.crash(*index);
            } else {
                self.farm.set_failing(*index, true);
            }
        }
    }

    fn end_faults(&mut self, faulty: &[(bool, usize)]) {
        println!("{:?}: faults end", self.now());
        for (crashes, index) in faulty {
            if *crashes {
                self.farm.start_server(*index);
            } else {
                self.farm.set_failing(*index, false);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        self.check.read(&self.farm.events);
        let id = self.farm.crash(index);
        self.check.crashed(&id, &self.farm.events);
    }

    async fn close(&mut self) -> Result<(), String> {
        if self.options.closing == Closing::None {
            return Ok(());
        }
        println!("{:?}: all processes are killed", self.now());
        self.processes.kill_all();
        if self.options.closing == Closing::Power {
            (0..self.farm.servers.len()).for_each(|index| self.crash(index));
        }
        sleep(DOWNTIME).await;
        self.processes.restart_all_but_agents()?;
        let late_ms = self.options.late_agents.as_millis() as u64;
        let mut order: Vec<(u64, usize)> = (0..self.farm.servers.len())
            .map(|index| (self.rng.u64(0..=late_ms), index))
            .collect();
        order.sort_unstable();
        let start = self.now();
        for (at_ms, index) in order {
            let at = start + Duration::from_millis(at_ms);
            if self.now() < at {
                self.run_until(at, false).await;
            }
            self.processes.restart_agent(index)?;
            if self.options.closing == Closing::Power {
                self.farm.start_server(index);
            }
        }
        println!("{:?}: all processes are back", self.now());
        Ok(())
    }

    /// Runs the checks, and submits jobs if `submits`, until this time.
    async fn run_until(&mut self, until: Duration, submits: bool) {
        while self.now() < until {
            if submits {
                self.submit_due_jobs();
            }
            sleep(TICK).await;
            while let Ok((job, queue)) = self.accepted.1.try_recv() {
                self.check.accepted(job, queue);
            }
            self.check.read(&self.farm.events);
            let now = self.now();
            self.check.check(&self.farm.servers, now);
            if now >= self.next_report {
                self.next_report = now + Duration::from_secs(1);
                self.close_ended_jobs().await;
                self.report();
            }
        }
    }

    fn submit_due_jobs(&mut self) {
        let scale = self.options.load * f64::from(self.options.agents) / 240.0;
        for queue in Queue::ALL {
            let expected = queue.rate() * scale * TICK.as_secs_f64();
            let count = expected as u32 + u32::from(self.rng.f64() < expected.fract());
            for _ in 0..count {
                self.submit(queue);
            }
        }
    }

    fn submit(&mut self, queue: Queue) {
        let spec = queue.draw(racks(&self.options), &mut self.rng);
        let id = JobId(self.rng.u64(1..));
        let body = job_body(&spec);
        self.check.submitted(id, spec);
        self.submitted += 1;
        let fronts = self.fronts.clone();
        let accepted = self.accepted.0.clone();
        self.clients.spawn(async move {
            for _ in 0..MAX_TRIES {
                let front = fronts[fastrand::usize(..fronts.len())];
                let path = format!("/{}/{id}", queue.name());
                let response = send(front, Method::POST, &path, &body, None).await;
                if response.is_some_and(|response| response.0.is_success()) {
                    let _ = accepted.send((id, queue));
                    return;
                }
                sleep(Duration::from_millis(200)).await;
            }
        });
    }

    /// Forgets jobs without runs that have ended for their clients.
    async fn close_ended_jobs(&mut self) {
        let idle: Vec<(JobId, Queue)> = self
            .check
            .jobs
            .iter()
            .filter(|(_, job)| job.idle_since.is_some())
            .map(|(id, job)| (*id, job.queue))
            .take(200)
            .collect();
        let mut reads = JoinSet::new();
        for (id, queue) in idle {
            let front = self.fronts[self.rng.usize(..self.fronts.len())];
            reads.spawn(async move {
                let path = format!("/{}/{id}", queue.name());
                let (status, body) = send(front, Method::GET, &path, "", None).await?;
                let state = parse_job_state(&body)
                    .ok()
                    .filter(|_| status.is_success())?;
                state.is_final().then_some((id, state))
            });
        }
        while let Some(read) = reads.join_next().await {
            if let Ok(Some((id, state))) = read {
                if let Some(job) = self.check.jobs.remove(&id) {
                    if job.longest_idle >= MAX_IDLE || state == JobState::Failed {
                        println!(
                            "{id} {} ended {state:?}, idle for {:?}",
                            job.queue.name(),
                            job.longest_idle
                        );
                    }
                }
            }
        }
    }

    fn report(&self) {
        let idle = |min: Duration| {
            let now = self.now();
            let jobs = self.check.jobs.values();
            jobs.filter(|job| job.idle_since.is_some_and(|since| now - since >= min))
                .count()
        };
        println!(
            "{:6.1} s: {} submitted, {} known, idle {} (1 s {}, 2 s {}, 3 s {}), {} starts, roster {} %, routing {} %",
            self.now().as_secs_f64(),
            self.submitted,
            self.check.jobs.len(),
            idle(Duration::ZERO),
            idle(Duration::from_secs(1)),
            idle(Duration::from_secs(2)),
            idle(MAX_IDLE),
            self.check.starts,
            self.check.used_percent(Service::Roster, &self.farm.servers),
            self.check.used_percent(Service::Routing, &self.farm.servers),
        );
    }

    fn idle_jobs(&self) -> usize {
        let jobs = self.check.jobs.values();
        jobs.filter(|job| job.longest_idle >= MAX_IDLE).count()
    }

    fn forget_idle_times(&mut self) {
        for job in self.check.jobs.values_mut() {
            job.longest_idle = Duration::ZERO;
            job.idle_since = None;
        }
    }

    fn finish(mut self) -> ExitCode {
        let ended = self.processes.ended();
        let idle: Vec<JobId> = self
            .check
            .jobs
            .iter()
            .filter(|(_, job)| job.longest_idle >= MAX_IDLE)
            .map(|(id, _)| *id)
            .collect();
        println!(
            "jobs idle for 3 s from 14 s after the traffic on: {}",
            idle.len()
        );
        for id in idle.iter().take(10) {
            println!("  {}", self.check.describe(*id));
        }
        for process in &ended {
            println!("ended by itself: {process}");
        }
        println!("logs: {}", self.options.folder.display());
        if idle.is_empty() && ended.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

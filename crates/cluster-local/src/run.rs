//! The phases of a run: start, configuration, jobs and kills, and the end of the last task runs.

use crate::client::{Client, JobOutcome};
use crate::error::{LocalError, Step};
use crate::job_kind::JobKind;
use crate::local_cluster::LocalCluster;
use crate::member::{Member, Role};
use crate::operator::{all_fronts_ready, all_report_status, configure};
use crate::process_kills::{kill_in_turn, KillTarget};
use crate::progress::ProgressLog;
use crate::report::LocalReport;
use lupinrack_cluster_api::identity::JobId;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Time limit until the fronts are ready.
const STARTUP_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two checks whether the cluster is ready.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two rounds of submissions. A round submits one job of each kind.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for task runs to end after the last job has ended.
const RUNS_END_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a run prints its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Events are printed to standard output.
    Printed,
    /// Nothing is printed.
    Hidden,
}

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// The program that is started as each process.
    pub program: PathBuf,
    /// An empty folder for settings, disks and logs.
    pub folder: PathBuf,
    /// Time for which jobs are submitted.
    pub submit_for: Duration,
    /// Time limit after that for the last job to end.
    pub end_within: Duration,
    /// The targets that are killed while jobs are submitted, in this order.
    pub kill: Vec<KillTarget>,
    /// Whether events are printed.
    pub progress: Progress,
}

/// Runs a cluster to its end. All its processes have ended when the future resolves or is dropped.
///
/// # Errors
///
/// If the cluster does not become ready, or a process exits by itself.
pub async fn run(settings: &LocalSettings) -> Result<LocalReport, LocalError> {
    let progress = ProgressLog::start(settings.progress);
    let mut cluster = LocalCluster::start(&settings.program, &settings.folder)?;
    let (shape, ports) = (*cluster.shape(), cluster.ports());
    progress.record(format!("processes started, ports from {}", ports.internal));
    wait_until_ready(&mut cluster, &progress).await?;
    let start = Instant::now();
    let end = start + settings.submit_for;
    let fronts: Vec<SocketAddrV4> = Member::with_role(Role::Front, &shape)
        .map(|front| ports.front_address(front))
        .collect();
    let (outcomes, killed) = tokio::join!(
        submit_jobs(fronts, end, end + settings.end_within),
        kill_in_turn(&mut cluster, &settings.kill, start, end, &progress),
    );
    let killed = killed?;
    cluster.check_running()?;
    progress.record(format!("{} jobs followed to their ends", outcomes.len()));
    cluster.wait_for_runs_to_end(RUNS_END_TIMEOUT).await;
    let duration_ms = progress.elapsed_ms();
    let events = cluster.worker_events();
    Ok(LocalReport::new(&outcomes, events, killed, duration_ms))
}

async fn wait_until_ready(
    cluster: &mut LocalCluster,
    progress: &ProgressLog,
) -> Result<(), LocalError> {
    let (shape, ports) = (*cluster.shape(), cluster.ports());
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    let interval = STARTUP_CHECK_INTERVAL;
    while !configure(&shape, ports).await? {
        let step = Step::Configuration;
        cluster
            .wait_for_next_check(step, interval, deadline)
            .await?;
    }
    progress.record("the configuration is accepted");
    while !all_fronts_ready(&shape, ports).await {
        let step = Step::Readiness;
        cluster
            .wait_for_next_check(step, interval, deadline)
            .await?;
    }
    progress.record("the fronts are ready");
    while !all_report_status(&shape, ports).await {
        let step = Step::Status;
        cluster
            .wait_for_next_check(step, interval, deadline)
            .await?;
    }
    progress.record("every process reports its status");
    Ok(())
}

/// Submits a job of each kind in every round until `end`, and polls all of them until they end or the deadline passes.
async fn submit_jobs(
    mut fronts: Vec<SocketAddrV4>,
    end: Instant,
    deadline: Instant,
) -> Vec<JobOutcome> {
    let mut clients = JoinSet::new();
    let mut next_round = Instant::now();
    while next_round < end {
        for kind in JobKind::ALL {
            // Each client starts with a different front than the previous one.
            fronts.rotate_left(1);
            let client = Client {
                fronts: fronts.clone(),
                deadline,
            };
            clients.spawn(client.run(JobId(fastrand::u64(..)), kind));
        }
        next_round += ROUND_INTERVAL;
        sleep_until(next_round.min(end)).await;
    }
    clients.join_all().await
}

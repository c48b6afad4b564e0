//! The course of a play: start, configuration, jobs and faults, the end.

use crate::error::LocalError;
use crate::job_kind::{Client, Kind, PlayedJob};
use crate::local_cluster::Cluster;
use crate::member::{Class, Member};
use crate::operator::{all_fronts_ready, all_tell_their_status, configure};
use crate::process_kills::{kill_in_turn, Part};
use crate::report::{Journal, LocalReport};
use lupinrack_cluster_api::identity::JobId;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// How long the cluster may take until its fronts are ready.
const READY_WITHIN: Duration = Duration::from_secs(60);
/// Between two looks at something that is waited for.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Between two rounds of jobs, one of each kind.
const ROUND: Duration = Duration::from_secs(1);
/// How long runs may take to end after the last job has.
const RUNS_END_WITHIN: Duration = Duration::from_secs(10);

/// What is played.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// The program that is started.
    pub program: PathBuf,
    /// An empty folder for settings, disks and logs.
    pub folder: PathBuf,
    /// How long jobs are handed in.
    pub hand_in_for: Duration,
    /// How long after that the last job may end.
    pub end_within: Duration,
    /// What is killed meanwhile, in this order.
    pub kill: Vec<Part>,
    /// Whether it prints what happens.
    pub prints: bool,
}

/// Plays a cluster to its end. All its processes have ended when this resolves or is dropped.
///
/// # Errors
///
/// Where the cluster does not come up, or a process ends by itself.
pub async fn play(settings: &LocalSettings) -> Result<LocalReport, LocalError> {
    let journal = Journal::begin(settings.prints);
    let mut cluster = Cluster::start(&settings.program, &settings.folder)?;
    journal.tell(format!(
        "processes started, ports from {}",
        cluster.ports.internal
    ));
    become_ready(&mut cluster, &journal).await?;
    let from = Instant::now();
    let until = from + settings.hand_in_for;
    let fronts: Vec<SocketAddrV4> = Member::of(Class::Front)
        .map(|front| front.front(&cluster.ports))
        .collect();
    let (played, killed) = tokio::join!(
        hand_in(&fronts, until, until + settings.end_within),
        kill_in_turn(&mut cluster, &settings.kill, from, until, &journal),
    );
    let killed = killed?;
    cluster.check()?;
    journal.tell(format!("{} jobs followed to their ends", played.len()));
    all_runs_end(&cluster).await;
    Ok(LocalReport::new(
        &played,
        &cluster.floor,
        killed,
        journal.elapsed_ms(),
    ))
}

async fn become_ready(cluster: &mut Cluster, journal: &Journal) -> Result<(), LocalError> {
    let late = Instant::now() + READY_WITHIN;
    while !configure(&cluster.ports).await? {
        wait(cluster, late, "taking the first configuration").await?;
    }
    journal.tell("the configuration is taken");
    while !all_fronts_ready(&cluster.ports).await {
        wait(cluster, late, "becoming ready").await?;
    }
    journal.tell("the fronts are ready");
    while !all_tell_their_status(&cluster.ports).await {
        wait(cluster, late, "telling their status").await?;
    }
    journal.tell("every process tells its status");
    Ok(())
}

async fn wait(cluster: &mut Cluster, late: Instant, what: &'static str) -> Result<(), LocalError> {
    cluster.check()?;
    if Instant::now() >= late {
        return Err(LocalError::TimedOut(what, cluster.folder().to_owned()));
    }
    sleep(LOOK_AGAIN).await;
    Ok(())
}

/// Hands in a job of each kind in every round, and follows all of them to their ends.
async fn hand_in(fronts: &[SocketAddrV4], until: Instant, ended_by: Instant) -> Vec<PlayedJob> {
    let mut clients = JoinSet::new();
    let mut next_round = Instant::now();
    let mut fronts = fronts.to_vec();
    while next_round < until {
        for kind in Kind::ALL {
            fronts.rotate_left(1);
            let client = Client {
                fronts: fronts.clone(),
                until: ended_by,
            };
            clients.spawn(client.play(JobId(fastrand::u64(..)), kind));
        }
        next_round += ROUND;
        sleep_until(next_round.min(until)).await;
    }
    clients.join_all().await
}

/// Waits for the runs of jobs that are over.
async fn all_runs_end(cluster: &Cluster) {
    let late = Instant::now() + RUNS_END_WITHIN;
    while cluster.floor.alive() > 0 && Instant::now() < late {
        sleep(LOOK_AGAIN).await;
    }
}

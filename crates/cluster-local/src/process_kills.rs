//! Kills processes while jobs run, and starts them again.

use crate::error::{LocalError, Step};
use crate::local_cluster::LocalCluster;
use crate::member::{Member, Role};
use crate::operator::find_head;
use crate::progress::ProgressLog;
use crate::report::KilledProcess;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How long a killed process stays down.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Time limit for finding the head.
const FIND_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two searches for the head.
const FIND_HEAD_INTERVAL: Duration = Duration::from_millis(200);

/// Which process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillTarget {
    /// The head of the chain.
    Head,
    /// A front.
    Front,
    /// An agent.
    Agent,
}

impl KillTarget {
    /// Every target.
    pub const ALL: [KillTarget; 3] = [KillTarget::Head, KillTarget::Front, KillTarget::Agent];

    /// Its name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            KillTarget::Head => "head",
            KillTarget::Front => "front",
            KillTarget::Agent => "agent",
        }
    }
}

/// Kills these targets one after the other, evenly spread over the time from `start` to `end`.
pub(crate) async fn kill_in_turn(
    cluster: &mut LocalCluster,
    targets: &[KillTarget],
    start: Instant,
    end: Instant,
    progress: &ProgressLog,
) -> Result<Vec<KilledProcess>, LocalError> {
    let interval = end.saturating_duration_since(start) / (targets.len() as u32 + 1);
    let mut killed = Vec::new();
    for (target, turn) in targets.iter().zip(1..) {
        sleep_until(start + interval * turn).await;
        cluster.check_running()?;
        let member = find(cluster, *target).await?;
        killed.push(kill_and_restart(cluster, *target, member, progress).await?);
    }
    Ok(killed)
}

async fn kill_and_restart(
    cluster: &mut LocalCluster,
    target: KillTarget,
    member: Member,
    progress: &ProgressLog,
) -> Result<KilledProcess, LocalError> {
    let target = target.as_str();
    let at_ms = progress.record(format!("{member} ({target}) is killed"));
    cluster.kill(member);
    sleep(DOWNTIME).await;
    cluster.restart(member)?;
    progress.record(format!("{member} starts again"));
    Ok(KilledProcess {
        target,
        member: member.to_string(),
        at_ms,
    })
}

async fn find(cluster: &mut LocalCluster, target: KillTarget) -> Result<Member, LocalError> {
    let role = match target {
        KillTarget::Head => return wait_for_head(cluster).await,
        KillTarget::Front => Role::Front,
        KillTarget::Agent => Role::Agent,
    };
    Ok(Member { role, number: 1 })
}

async fn wait_for_head(cluster: &mut LocalCluster) -> Result<Member, LocalError> {
    let deadline = Instant::now() + FIND_HEAD_TIMEOUT;
    loop {
        if let Some(head) = find_head(cluster.shape(), cluster.ports()).await {
            return Ok(head);
        }
        cluster
            .wait_for_next_check(Step::FindHead, FIND_HEAD_INTERVAL, deadline)
            .await?;
    }
}

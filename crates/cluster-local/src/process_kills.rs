//! Processes that are killed on the way and started again.

use crate::error::LocalError;
use crate::local_cluster::Cluster;
use crate::member::{Class, Member};
use crate::operator::find_head;
use crate::report::{Journal, Killed};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How long a killed process stays away.
const AWAY: Duration = Duration::from_secs(1);
/// How long the head may take to be found.
const FIND_WITHIN: Duration = Duration::from_secs(30);
/// Between two questions for the head.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Which process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The head of the chain.
    Head,
    /// A front.
    Front,
    /// An agent.
    Agent,
}

impl Part {
    /// Every part.
    pub const ALL: [Part; 3] = [Part::Head, Part::Front, Part::Agent];

    /// Its word on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Part::Head => "head",
            Part::Front => "front",
            Part::Agent => "agent",
        }
    }
}

/// Kills these parts, one after the other, evenly spread over the time between two moments.
pub async fn kill_in_turn(
    cluster: &mut Cluster,
    parts: &[Part],
    from: Instant,
    until: Instant,
    journal: &Journal,
) -> Result<Vec<Killed>, LocalError> {
    let between = until.saturating_duration_since(from) / (parts.len() as u32 + 1);
    let mut killed = Vec::new();
    for (part, turn) in parts.iter().zip(1..) {
        sleep_until(from + between * turn).await;
        cluster.check()?;
        let member = find(cluster, *part).await?;
        let at_ms = journal.tell(format!("{member} ({}) is killed", part.as_str()));
        cluster.kill(member);
        sleep(AWAY).await;
        cluster.restart(member)?;
        journal.tell(format!("{member} starts again"));
        killed.push(Killed {
            part: part.as_str(),
            member: member.to_string(),
            at_ms,
        });
    }
    Ok(killed)
}

async fn find(cluster: &Cluster, part: Part) -> Result<Member, LocalError> {
    let class = match part {
        Part::Head => return head(cluster).await,
        Part::Front => Class::Front,
        Part::Agent => Class::Agent,
    };
    Ok(Member { class, number: 1 })
}

async fn head(cluster: &Cluster) -> Result<Member, LocalError> {
    let late = Instant::now() + FIND_WITHIN;
    loop {
        if let Some(head) = find_head(&cluster.ports).await {
            return Ok(head);
        }
        if Instant::now() >= late {
            return Err(LocalError::TimedOut(
                "finding the head",
                cluster.folder().to_owned(),
            ));
        }
        sleep(ASK_AGAIN).await;
    }
}

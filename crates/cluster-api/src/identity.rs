//! Identities of disks, processes, jobs, tasks, servers and shards.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

/// A disk of a core machine, drawn at random when the disk is first found empty. A replica and a voter is a disk, not
/// an address: a machine that comes back with an empty disk has another identity.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct DiskId(pub u64);

/// The internal address of a process (machine address and first port of the internal range).
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct PeerAddress(pub SocketAddrV4);

/// A job: sixteen hexadecimal digits that its client chose.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct JobId(pub u64);

/// A task of a job: `JOB.OCCURRENCE.STEP.INDEX` on the wire.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Which of the job's times, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u32,
    /// Which task of the step, from 0.
    pub index: u32,
}

/// The number of a start of a task, from 1; members of a gang share it.
pub type Attempt = u32;

/// A server's identity, new with each of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ServerId(pub String);

/// A queue: the name of a route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct QueueName(pub String);

/// A service of the configuration; scheduling is sharded by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ServiceName(pub String);

/// Rises with each move of a shard; an order under a lower token is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct FencingToken(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = MalformedIdentity;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(MalformedIdentity);
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| MalformedIdentity)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for TaskId {
    type Err = MalformedIdentity;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(MalformedIdentity);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| MalformedIdentity)?;
        let step = next()?.parse().map_err(|_| MalformedIdentity)?;
        let index = next()?.parse().map_err(|_| MalformedIdentity)?;
        if parts.next().is_some() {
            return Err(MalformedIdentity);
        }
        Ok(TaskId {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// the text is not an identity of this kind
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct MalformedIdentity;

impl std::error::Error for MalformedIdentity {}

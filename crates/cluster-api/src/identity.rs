//! Identities of disks, processes, jobs, tasks, servers and shards.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

/// Digits of a job's identity as text.
pub const JOB_ID_DIGITS: usize = 16;

/// The identity of a core machine's disk, drawn at random when the disk is first found empty.
/// Replicas and voters are identified by their disk rather than their address: a machine that comes
/// back with an empty disk is another replica.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct DiskId(pub u64);

/// The address at which a process listens for other processes of the system: the machine's address
/// and the first port of the internal range.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct PeerAddress(pub SocketAddrV4);

/// A job, chosen by its client: sixteen hexadecimal digits as text.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct JobId(pub u64);

/// A task of a job: `JOB.OCCURRENCE.STEP.INDEX` as text.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Which occurrence of the job, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u32,
    /// Which task of the step, from 0.
    pub index: u32,
}

/// The number of a start of a task, from 1. The members of a gang share it.
pub type Attempt = u32;

/// An incarnation of a server: the server chooses a new identity each time it starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ServerId(pub String);

/// A queue of jobs: the name of a route in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct QueueName(pub String);

/// A service in the configuration. Scheduling is sharded by service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ServiceName(pub String);

/// A fencing token. It increases with each change of a shard's owner; orders under a lower token
/// are refused.
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

/// the text is not an identity of this kind
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct MalformedIdentity;

impl std::error::Error for MalformedIdentity {}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0digits$x}", self.0, digits = JOB_ID_DIGITS)
    }
}

impl FromStr for JobId {
    type Err = MalformedIdentity;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_well_formed =
            text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_well_formed {
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

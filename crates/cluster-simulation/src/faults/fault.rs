//! What may be planned.

use crate::server::ServerBehavior;

/// A core machine, chosen among those of the operator's list when the entry begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreSelector {
    /// The one at this place of the list. A machine takes the place of the one that it replaces.
    Index(usize),
    /// The one whose disk has lasted longest.
    OldestDisk,
    /// The one whose disk is newest.
    NewestDisk,
    /// The head of the chain, by the newest view that a front knows.
    Head,
    /// One outside the chain, by that view.
    Spare,
}

/// Which ways a partition blocks, seen from the machine that is partitioned off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Both.
    Both,
    /// What the others send to it.
    Inbound,
    /// What it sends to the others.
    Outbound,
}

/// Trouble of core machines, of which no more may be lost at once than is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreFault {
    /// Its process is killed.
    Kill,
    /// It loses power.
    PowerLoss,
    /// It loses power and its disk.
    DiskLoss,
    /// It stands still.
    Suspend,
    /// It runs for a part of the time only.
    IntermittentRun,
    /// It is asked to shut down, and is started again.
    Shutdown,
    /// It is gone for good; an empty one at another address takes its place after the time of the entry.
    Replacement,
    /// An empty one at another address is started; at the end of the fault the old one is asked to shut down, for good.
    GracefulReplacement,
    /// It cannot reach, or be reached by, the other core machines.
    Partition(PartitionDirection),
    /// It is partitioned from all machines.
    Isolation,
    /// It is partitioned from all machines but the last front and every second agent, while the operator and the clients go
    /// on calling there.
    PartitionWithCallers(PartitionDirection),
    /// The same, together with as many others as leave a majority of the list on the other side.
    MinorityPartitionWithCallers(PartitionDirection),
    /// What it sends takes longer.
    SlowLinks,
    /// Its disk takes longer.
    SlowDisk,
    /// Its disk answers nothing.
    StalledDisk,
    /// Its disk is full.
    FullDisk,
    /// Its disk refuses writes now and then.
    FailingDisk,
}

/// An acknowledgement that triggers a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// Of a job.
    Job,
    /// Of a change of the configuration.
    Configuration,
}

/// A crash right after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// All core machines lose power.
    PowerLossOfAll,
    /// One core machine loses power and its disk.
    DiskLoss(CoreSelector),
    /// One core machine loses power and its disk while all others lose power.
    DiskLossAndPowerLossOfAll(CoreSelector),
}

/// A crash that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashOnAck {
    /// After which.
    pub after: Acknowledgement,
    /// What.
    pub crash: Crash,
}

/// What the operator begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// A change of the configuration.
    Change,
    /// One whose body has some hundreds of kilobytes.
    LargeChange,
    /// Two of them on the same version.
    ConcurrentPair,
    /// Eight of them on the same version.
    ConcurrentBurst,
    /// An invalid or stale one.
    InvalidChange,
    /// One that was acknowledged at any time before is sent again.
    Resend,
}

/// Anything that is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Trouble of one core machine.
    Core(CoreFault, CoreSelector),
    /// A crash right after an acknowledgement; none where no acknowledgement comes in time.
    CrashOnAck(CrashOnAck),
    /// All processes are killed at once.
    KillAll,
    /// All core machines lose power at once.
    PowerLossOfAllCores,
    /// A front is partitioned from all core machines.
    FrontPartition(usize),
    /// A front is killed.
    FrontKill(usize),
    /// A front stands still.
    FrontSuspend(usize),
    /// A front is asked to shut down, and is started again.
    FrontShutdown(usize),
    /// A front is asked to shut down for good, unless it is the last.
    FrontRemoval(usize),
    /// An agent is killed.
    AgentKill(usize),
    /// An agent stands still.
    AgentSuspend(usize),
    /// An agent is asked to shut down, and is started again.
    AgentShutdown(usize),
    /// An agent is partitioned from all core machines: outbound only where the flag is set, otherwise both ways.
    AgentPartition(usize, bool),
    /// What an agent sends takes longer.
    AgentSlowLinks(usize),
    /// Connections of a machine are reset.
    ConnectionReset(usize),
    /// The wall clock of a machine jumps by so many milliseconds.
    ClockStep(usize, i64),
    /// Processes that begin from now on are given other seeds.
    SeedChange,
    /// A server crashes.
    ServerCrash(usize),
    /// A server conducts itself otherwise.
    ServerBehaviorChange(usize, ServerBehavior),
    /// A server drains and leaves.
    ServerShutdown(usize),
    /// Work of the operator.
    Operator(OperatorAction),
    /// Acknowledgements to the operator are lost.
    AcknowledgementLoss,
}

impl Fault {
    /// Whether it leaves all machines in touch.
    pub(super) fn is_planned(self) -> bool {
        matches!(self, Fault::Operator(_) | Fault::ServerShutdown(_))
    }

    pub(super) fn is_of_core(self) -> bool {
        let of_all = CrashOnAck {
            after: Acknowledgement::Job,
            crash: Crash::PowerLossOfAll,
        };
        matches!(self, Fault::Core(..) | Fault::KillAll) || self == Fault::CrashOnAck(of_all)
    }
}

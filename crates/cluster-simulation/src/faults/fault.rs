//! The faults and actions that a schedule can contain.

use crate::server::ServerBehavior;

/// Selects a core machine from the operator's list when the schedule entry begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreSelector {
    /// The machine at this index of the list. A replacement takes the index of the machine that it replaces.
    Index(usize),
    /// The machine with the oldest disk.
    OldestDisk,
    /// The machine with the newest disk.
    NewestDisk,
    /// The head of the chain in the newest view known to a front.
    Head,
    /// A machine outside the chain of that view.
    Spare,
}

/// The directions that a partition blocks, seen from the partitioned machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Both directions.
    Both,
    /// Frames to the machine.
    Inbound,
    /// Frames from the machine.
    Outbound,
}

/// Faults of core machines. At most `tolerance` machines may be lost at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreFault {
    /// Its process is killed.
    Kill,
    /// It loses power.
    PowerLoss,
    /// It loses power and its disk.
    DiskLoss,
    /// Its process is suspended: it runs nothing until it is resumed.
    Suspend,
    /// Its process runs only for a part of each period.
    IntermittentRun,
    /// It shuts down gracefully and is restarted.
    Shutdown,
    /// It is removed for good. An empty one at another address takes its place after the entry's duration.
    Replacement,
    /// An empty one at another address is started. At the end of the fault the old one shuts down for good.
    GracefulReplacement,
    /// It cannot reach, or be reached by, the other core machines.
    Partition(PartitionDirection),
    /// It is partitioned from all machines.
    Isolation,
    /// It is partitioned from all machines except the last front and every second agent, while the operator and the clients
    /// keep calling it and that front.
    PartitionWithCallers(PartitionDirection),
    /// Like [`CoreFault::PartitionWithCallers`], for the largest minority of the list that starts with this machine.
    MinorityPartitionWithCallers(PartitionDirection),
    /// Its outgoing frames are delayed.
    SlowLinks,
    /// Its disk syncs slowly.
    SlowDisk,
    /// Its disk completes no sync.
    StalledDisk,
    /// Its disk is full.
    FullDisk,
    /// Its disk refuses writes for half of each period.
    FailingDisk,
}

/// An acknowledgement that triggers a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The acknowledgement of a job.
    Job,
    /// The acknowledgement of a configuration change.
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
    /// The acknowledgement that triggers the crash.
    pub after: Acknowledgement,
    /// The crash.
    pub crash: Crash,
}

/// An action that the operator begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// A configuration change.
    Change,
    /// A change whose body has some hundreds of kilobytes.
    LargeChange,
    /// Two concurrent changes of the same version.
    ConcurrentPair,
    /// Eight concurrent changes of the same version.
    ConcurrentBurst,
    /// An invalid or stale change.
    InvalidChange,
    /// The resending of a change that was acknowledged earlier.
    Resend,
    /// A change that directs all queues to the service with this number, and removes all other services.
    DirectAll(usize),
}

/// A scheduled fault or action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A fault of one core machine.
    Core(CoreFault, CoreSelector),
    /// A crash right after an acknowledgement; dropped if no acknowledgement comes in time.
    CrashOnAck(CrashOnAck),
    /// All processes are killed at once.
    KillAll,
    /// All core machines lose power at once.
    PowerLossOfAllCores,
    /// A front is partitioned from all core machines.
    FrontPartition(usize),
    /// A front is killed.
    FrontKill(usize),
    /// A front is suspended.
    FrontSuspend(usize),
    /// A front shuts down gracefully and is restarted.
    FrontShutdown(usize),
    /// A front shuts down for good, unless it is the last one.
    FrontRemoval(usize),
    /// An agent is killed.
    AgentKill(usize),
    /// An agent is suspended.
    AgentSuspend(usize),
    /// An agent shuts down gracefully and is restarted.
    AgentShutdown(usize),
    /// An agent is partitioned from all core machines, in these directions as seen from the agent.
    AgentPartition(usize, PartitionDirection),
    /// An agent's outgoing frames are delayed.
    AgentSlowLinks(usize),
    /// Connections of a machine are reset.
    ConnectionReset(usize),
    /// The wall clock of a machine jumps by these milliseconds.
    ClockStep(usize, i64),
    /// Processes that start from now on get other seeds.
    SeedChange,
    /// A server crashes.
    ServerCrash(usize),
    /// A server crashes and does not return.
    ServerLoss(usize),
    /// A server changes its behavior.
    ServerBehaviorChange(usize, ServerBehavior),
    /// A server drains and shuts down.
    ServerShutdown(usize),
    /// An action of the operator.
    Operator(OperatorAction),
    /// Acknowledgements to the operator are lost.
    AcknowledgementLoss,
}

impl Fault {
    /// Whether the fault leaves all machines connected.
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

//! What may be planned.

use crate::server::Conduct;

/// A core machine, chosen among those of the operator's list when the entry begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreChoice {
    /// The one at this place of the list. A machine takes the place of the one that it replaces.
    Place(usize),
    /// The one whose disk has lasted longest.
    Oldest,
    /// The one whose disk is newest.
    Newest,
    /// The head of the chain, by the newest view that a front knows.
    Head,
    /// One outside the chain, by that view.
    Spare,
}

/// Which ways a cut holds back, seen from the machine that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Both.
    Both,
    /// What the others send to it.
    Inward,
    /// What it sends to the others.
    Outward,
}

/// Trouble of core machines, of which no more may be lost at once than is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreTrouble {
    /// Its process is killed.
    Kill,
    /// It loses power.
    Power,
    /// It loses power and its disk.
    Wipe,
    /// It stands still.
    Freeze,
    /// It runs for a part of the time only.
    Stutter,
    /// It is told to end, and is started again.
    Terminate,
    /// It is gone for good; an empty one at another address takes its place after the time of the entry.
    Replace,
    /// An empty one at another address is started; after the time of the entry the old one is told to end, for good.
    ReplaceInOrder,
    /// It is cut off from the other core machines.
    Cut(CutDirection),
    /// It is cut off from all machines.
    CutFromAll,
    /// It is cut off from all machines but the last front and every second agent, while the operator and the clients go
    /// on calling there.
    CutWithCallers(CutDirection),
    /// It is cut off in the same way, together with as many others as leave a majority of the list.
    CutMinorityWithCallers(CutDirection),
    /// What it sends takes longer.
    LinksSlow,
    /// Its disk takes longer.
    DiskSlow,
    /// Its disk answers nothing.
    DiskStall,
    /// Its disk is full.
    DiskFull,
    /// Its disk refuses writes now and then.
    DiskRefuse,
}

/// An acknowledgement that a blow follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// Of a job.
    Job,
    /// Of a change of the configuration.
    Configuration,
}

/// A blow right after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    /// All core machines lose power.
    AllPower,
    /// One core machine loses power and its disk.
    Wipe(CoreChoice),
    /// One core machine loses power and its disk while all others lose power.
    WipeAndAllPower(CoreChoice),
}

/// A blow that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// After which.
    pub after: Acknowledgement,
    /// What.
    pub blow: Blow,
}

/// What the operator begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOrder {
    /// A change of the configuration.
    Change,
    /// One whose body has some hundreds of kilobytes.
    LargeChange,
    /// Two of them on the same version.
    Race,
    /// Eight of them on the same version.
    Crowd,
    /// An invalid or stale one.
    BadChange,
    /// One that was acknowledged at any time before is sent again.
    Resend,
}

/// Anything that is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Trouble of one core machine.
    Core(CoreTrouble, CoreChoice),
    /// A blow right after an acknowledgement; if none comes, none.
    Strike(Strike),
    /// All processes are killed at once.
    AllKilled,
    /// All core machines lose power at once.
    AllCoresPower,
    /// A front is cut off from all core machines.
    FrontCut(usize),
    /// A front is killed.
    FrontKill(usize),
    /// A front stands still.
    FrontFreeze(usize),
    /// A front is told to end, and is started again.
    FrontTerminate(usize),
    /// A front is told to end and gone for good, unless it is the last.
    FrontRemove(usize),
    /// An agent is killed.
    SideKill(usize),
    /// An agent stands still.
    SideFreeze(usize),
    /// An agent is told to end, and is started again.
    SideTerminate(usize),
    /// An agent is cut off from all core machines, one way or both.
    SideCut(usize, bool),
    /// What an agent sends takes longer.
    SideSlow(usize),
    /// Connections of a machine are reset.
    Reset(usize),
    /// The time of day of a machine jumps by so many milliseconds.
    ClockStep(usize, i64),
    /// Processes that begin from now on are given other seeds.
    NewSeeds,
    /// A server crashes.
    ServerCrash(usize),
    /// A server conducts itself otherwise.
    ServerConduct(usize, Conduct),
    /// A server drains and leaves.
    ServerLeaves(usize),
    /// Work of the operator.
    Operator(OperatorOrder),
    /// Acknowledgements to the operator are lost.
    AcknowledgementsLost,
}

impl Trouble {
    /// Whether it leaves all machines in touch.
    pub(super) fn is_planned(self) -> bool {
        matches!(self, Trouble::Operator(_) | Trouble::ServerLeaves(_))
    }

    pub(super) fn is_of_core(self) -> bool {
        let of_all = Strike {
            after: Acknowledgement::Job,
            blow: Blow::AllPower,
        };
        matches!(self, Trouble::Core(..) | Trouble::AllKilled) || self == Trouble::Strike(of_all)
    }
}

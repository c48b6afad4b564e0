//! The troubles that are under way.

use crate::faults::schedule::Strike;

/// After trouble, machines are in touch again after this long, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// What is done when a trouble is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing: it has ended by itself.
    Nothing,
    /// The machine goes on.
    Unfreeze(usize),
    /// The machine runs all the time again.
    EndStutter(usize),
    /// Each first machine reaches the second again.
    Join(Vec<(usize, usize)>),
    /// Nobody insists on a machine that is cut off any longer.
    EndLure,
    /// The disk works again.
    MendDisk(usize),
    /// The links are quick again.
    MendLinks(usize),
    /// The time of day jumps back by so many milliseconds.
    StepClockBack(usize, i64),
    /// The server is sound again.
    MendServer(usize),
    /// The process of this life that was told to end is killed, if it still runs.
    KillTerminated(usize, u64),
    /// The machine, whose successor runs, is told to end for good.
    TerminateForGood(usize),
    /// Acknowledgements arrive again.
    KeepAcknowledgements,
    /// The strike has waited for long enough.
    DropStrike,
}

/// A machine that is cut off, on which its callers insist.
#[derive(Clone, Copy, Debug)]
pub struct Lure {
    /// The core machine that the operator calls.
    pub core: usize,
    /// The front that the clients call.
    pub front: usize,
}

/// What is under way.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    /// What ends by itself, with the moment.
    pub ends: Vec<(u64, Ending)>,
    /// When the last one ended.
    pub last_over: u64,
    /// What strikes after an acknowledgement.
    pub strike: Option<Strike>,
    /// Whether acknowledgements to the operator are lost.
    pub acknowledgements_lost: bool,
    /// The machines that callers insist on.
    pub lure: Option<Lure>,
}

impl Troubles {
    /// Whether all machines are in touch.
    pub fn is_calm(&self, now: u64) -> bool {
        self.ends.is_empty() && now >= self.last_over + CONTACT_MS
    }

    /// Takes what is over by now.
    pub fn take_over(&mut self, now: u64) -> Vec<Ending> {
        let (over, going_on): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.ends = going_on;
        if !over.is_empty() {
            self.last_over = now;
        }
        over.into_iter().map(|(_, ending)| ending).collect()
    }
}

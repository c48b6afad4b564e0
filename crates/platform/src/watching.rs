//! When discovery is asked, for how long a call may be held, and what becomes of its answer. No I/O, no clock.
//!
//! A change counts as told 6 s after discovery had it and could be reached, whatever a call did: held and silent, refused, failed,
//! given up. So no wait here is longer than that allows ([`TOLD`]), however large the fleet and however often calls failed.
//!
//! All fronts of a fleet ask one service. What each does on its own adds up: calls that start together stay together, and a
//! retry soon after each failure keeps a service that was overbooked once overbooked. So waits are drawn at random, and grow with
//! the fleet and with failures (backoff with jitter) up to that bound, and never past it.

use lupinrack_policy::DiscoveryMode;
use std::time::Duration;

/// A change counts as told this long after discovery had it and could be reached.
pub const TOLD: Duration = Duration::from_secs(6);
/// So long before that a call has to begin, for its answer to be there and acted on.
const ANSWER: Duration = Duration::from_secs(1);
/// How long a watch may be held in a small fleet, and in any if it is the first or follows a call that came to nothing. Short: a watch whose connection has fallen silent is noticed only
/// once it is over, and until then the front sends to nodes that are gone.
const HOLD: Duration = Duration::from_secs(2);
/// The longest hold, in a large one.
const HOLD_MOST: Duration = Duration::from_millis(3_700);
/// Up to this many fronts one asks as if it were alone; what follows is for each one beyond.
const SMALL_FLEET: u32 = 12;
/// The first calls of a fleet that starts together spread over this much. A service that takes 20 calls a second and
/// drops what has waited for 2 s bears that, up to the longest wait.
const START_EACH: Duration = Duration::from_millis(60);
/// The longest wait after news, which ended all watches at once; under the 200 ms within which a watch goes on, since
/// a change that falls between two watches can count as told.
const NEWS: Duration = Duration::from_millis(150);
/// The longest wait after a failure, and that for each front beyond a small fleet, both before they double. An agent on the
/// front's own machine is asked again within the first alone, however often it failed: calls to it cost nothing, and what
/// it gets when discovery returns counts as told at once.
const RETRY: Duration = Duration::from_millis(90);
const RETRY_EACH: Duration = Duration::from_millis(80);
/// The longest wait after a call that fell silent. Its connection is broken then, and the time that it was waited for is gone; a
/// service that is only busy says so.
const REOPEN: Duration = Duration::from_millis(300);
/// How much longer than it may be held an answer may take before its call is given up: a watch's, and that of a call for the
/// whole list, which is not held but may wait where the service is busy.
const LATE: Duration = Duration::from_millis(500);
const LATE_WHOLE: Duration = Duration::from_millis(2_500);
/// What is waited doubles with each failure up to this factor, and shrinks again with each answer.
const STRETCH_MOST: f64 = 8.0;
const STRETCH_KEPT: f64 = 0.75;
/// The longest wait of all: two calls in a row may be refused at once, and the third begins in time.
const WAIT_MOST: Duration = Duration::from_millis(2_200);
/// After this many answers in a row that contradict what is known, the whole list is asked for.
const DOUBTS_MOST: u32 = 3;

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// To be made after this long.
    pub after: Duration,
    /// The version to go on from; none: the whole list, at once.
    pub from: Option<u64>,
    /// How long discovery may hold it.
    pub hold: Duration,
    /// When it is given up as silent, from the moment it is made.
    pub patience: Duration,
}

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer came in time.
    Silent,
    /// Anything else: an error, no connection, what cannot be read.
    Said,
}

/// What an answer says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its version.
    pub generation: u64,
    /// It says to be the whole list.
    pub whole: bool,
    /// It names no node.
    pub empty: bool,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It takes the place of all that is known.
    Whole,
    /// It changes what is known.
    Changes,
    /// Nothing new.
    Same,
    /// It contradicts what is known, which stays: an older version, or a list of no nodes.
    Doubted,
}

/// How the last call ended.
#[derive(Clone, Copy, Debug)]
enum Last {
    /// There was none.
    Start,
    /// Its hold was over: alone, since holds are spread.
    Quiet,
    /// With news, as at all fronts.
    News,
    /// It fell silent.
    Silent,
    /// It was refused, or could not be read.
    Failed,
}

/// One front's watch of the node list.
#[derive(Clone, Debug)]
pub struct Watching {
    from: Option<u64>,
    /// An agent of its own is asked.
    agent: bool,
    beyond: u32,
    hold: Duration,
    last: Last,
    stretch: f64,
    fails: u32,
    /// How long ago the last answer came, or the start was, as far as calls and waits tell.
    unheard: Duration,
    doubts: u32,
    dice: fastrand::Rng,
}

impl Watching {
    /// Of this many fronts, one that starts with a list of this version, if with any. Where changes are pushed, an
    /// agent on the front's own machine answers: calls cost nothing, and what the agent has counts as told.
    pub fn new(how: DiscoveryMode, fronts: u32, from: Option<u64>, seed: u64) -> Self {
        let fronts = if how == DiscoveryMode::Push {
            1
        } else {
            fronts
        };
        let hold = HOLD
            .mul_f64((f64::from(fronts) / f64::from(SMALL_FLEET)).max(1.0))
            .min(HOLD_MOST);
        Watching {
            from,
            agent: how == DiscoveryMode::Push,
            beyond: fronts.saturating_sub(SMALL_FLEET),
            hold,
            last: Last::Start,
            stretch: 1.0,
            fails: 0,
            unheard: Duration::ZERO,
            doubts: 0,
            dice: fastrand::Rng::with_seed(seed),
        }
    }

    /// The next call.
    pub fn next_call(&mut self) -> Call {
        let dice = self.dice.f64();
        let after = match self.last {
            Last::Start => (START_EACH * self.beyond).min(WAIT_MOST).mul_f64(dice),
            Last::Quiet => Duration::ZERO,
            Last::News => (NEWS * self.beyond.min(1)).mul_f64(dice),
            Last::Silent | Last::Failed if self.agent => RETRY.mul_f64(dice),
            Last::Silent => REOPEN.mul_f64(dice),
            Last::Failed => {
                let most = (RETRY + RETRY_EACH * self.beyond)
                    .mul_f64(self.stretch)
                    .min(WAIT_MOST);
                // What came right after the last answer counts before long: the next call begins in time for it, and leaves time for
                // one more. Once it is too late for that, discovery could not be reached, and the wait is the usual one.
                let most = match (TOLD - ANSWER).saturating_sub(self.unheard) {
                    Duration::ZERO => most,
                    left => most.min((left / 2).max(REOPEN)),
                };
                most.mul_f64(dice)
            }
        };
        self.unheard += after;
        let from = self.from.filter(|_| self.doubts < DOUBTS_MOST);
        // Spread, so that calls that began together do not end together.
        let spread = 0.75 + 0.25 * self.dice.f64();
        let soon = self.fails > 0 || matches!(self.last, Last::Start);
        let hold = if soon { HOLD.min(self.hold) } else { self.hold };
        let (hold, late) = match from {
            Some(_) => (hold.mul_f64(spread), LATE),
            None => (Duration::ZERO, LATE_WHOLE),
        };
        Call {
            after,
            from,
            hold,
            patience: hold + late,
        }
    }

    /// The call brought nothing, after so long. One that fell silent is made again at once; what says that it failed waits.
    pub fn failed(&mut self, how: Failure, spent: Duration) {
        self.fails = self.fails.saturating_add(1);
        self.unheard += spent;
        self.last = match how {
            Failure::Silent => Last::Silent,
            Failure::Said => {
                self.stretch = (self.stretch * 2.0).min(STRETCH_MOST);
                Last::Failed
            }
        };
    }

    /// How many calls in a row have failed.
    pub fn fails(&self) -> u32 {
        self.fails
    }

    /// The call brought an answer.
    pub fn answered(&mut self, call: Call, answer: Head) -> Verdict {
        // Asked for as a whole, it is one whatever its mark says; then an older version is a numbering begun anew.
        let whole = answer.whole || call.from.is_none();
        let older = call.from.is_some_and(|from| answer.generation < from);
        let none = whole && answer.empty && self.from.is_some();
        if older || none {
            self.failed(Failure::Said, Duration::ZERO);
            self.doubts = self.doubts.saturating_add(1);
            return Verdict::Doubted;
        }
        (self.fails, self.doubts, self.from) = (0, 0, Some(answer.generation));
        self.unheard = Duration::ZERO;
        self.last = if whole || !answer.empty {
            Last::News
        } else {
            Last::Quiet
        };
        self.stretch = (self.stretch * STRETCH_KEPT).max(1.0);
        match (whole, answer.empty) {
            (true, _) => Verdict::Whole,
            (false, false) => Verdict::Changes,
            (false, true) => Verdict::Same,
        }
    }
}

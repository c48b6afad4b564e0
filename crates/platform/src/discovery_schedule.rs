//! Decides when discovery is called, for how long it may hold a call, and what its answer changes. No I/O, no clock.
//!
//! The platform counts a change as known to this front 6 s after discovery had it and could be reached, whatever happened to a
//! call: held without an answer, refused, failed or timed out. So no delay here is longer than that allows
//! ([`CHANGE_COUNTS_AS_KNOWN_AFTER`]), however large the fleet is and however many calls failed.
//!
//! All fronts of a fleet call one service, so their calls add up. Calls that start together stay together, and a retry soon
//! after each failure keeps an overloaded service overloaded. So delays are random and grow with the fleet and with failures
//! (backoff with jitter), but never beyond that limit.

use lupinrack_policy::DiscoveryMode;
use std::time::Duration;

/// A change counts as known to this front this long after discovery had it and could be reached.
pub const CHANGE_COUNTS_AS_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// How long before that time a call has to start, so that its answer arrives and is applied in time.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// How long a watch may be held in a small fleet, and in any fleet if it is the first or follows a failed call. This is short
/// since a watch on a broken connection is noticed only after its hold, and until then the front sends to nodes that are gone.
const SHORT_HOLD: Duration = Duration::from_secs(2);
/// The longest hold, which large fleets use.
const MAX_HOLD: Duration = Duration::from_millis(3_700);
/// The largest fleet whose fronts call as if each were alone. Delays grow with each front beyond this number.
const SMALL_FLEET_FRONTS: u32 = 12;
/// The time over which the first calls of a fleet that starts together are spread, for each front beyond a small fleet. A
/// service that handles 20 calls a second, and drops those that waited for 2 s, can serve this, up to the longest delay.
const START_DELAY_PER_FRONT: Duration = Duration::from_millis(60);
/// The longest delay after a change, which ends the watches of all fronts at once. It is below the 200 ms within which a
/// watch has to continue, since a change between two watches can count as known.
const MAX_DELAY_AFTER_CHANGE: Duration = Duration::from_millis(150);
/// The longest delay after a failure, and its growth for each front beyond a small fleet; both double with each failure. An
/// agent on the front's own machine is called again within the first alone, however often it failed: calls to it are cheap,
/// and what it learns when discovery returns counts as known at once.
const RETRY_DELAY: Duration = Duration::from_millis(90);
const RETRY_DELAY_PER_FRONT: Duration = Duration::from_millis(80);
/// The longest delay after a call that timed out. Its connection is broken, and the time spent waiting is lost; a service
/// that is only overloaded answers with an error.
const MAX_DELAY_AFTER_TIMEOUT: Duration = Duration::from_millis(300);
/// How much longer than its hold a watch may take before it times out; and how long a call for the full list may take, which
/// is not held but may wait while the service is busy.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
const FULL_LIST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The delay after a failure doubles with each failure up to this factor, and shrinks with each answer.
const MAX_BACKOFF_FACTOR: f64 = 8.0;
const BACKOFF_DECAY: f64 = 0.75;
/// The longest delay of all. Two calls in a row may be refused at once, and the third one still starts in time.
const MAX_DELAY: Duration = Duration::from_millis(2_200);
/// After this many answers in a row that contradict the known list, the full list is requested.
const MAX_CONTRADICTIONS: u32 = 3;

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// How long to wait before the call.
    pub delay: Duration,
    /// The version whose successors are requested, or `None` to request the full list at once.
    pub from: Option<u64>,
    /// How long discovery may hold the call.
    pub hold: Duration,
    /// How long the call may take.
    pub timeout: Duration,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No answer arrived in time.
    TimedOut,
    /// Anything else: an error status, no connection, or an unreadable answer.
    Failed,
}

/// What matters of an answer here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSummary {
    /// The version of the list.
    pub generation: u64,
    /// Whether the answer claims to be the full list.
    pub is_full: bool,
    /// Whether the answer lists no node.
    pub is_empty: bool,
}

/// What an answer changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer replaces the known list.
    Full,
    /// The answer changes the known list.
    Delta,
    /// Nothing.
    Unchanged,
    /// Nothing, since the answer contradicts the known list: it has an older version, or lists no nodes.
    Contradictory,
}

/// How the last call ended.
#[derive(Clone, Copy, Debug)]
enum LastCall {
    /// There was none.
    None,
    /// Its hold ended without a change. Holds are random, so other fronts' holds end at other times.
    Unchanged,
    /// With a change, at the same time as the calls of all fronts.
    Changed,
    /// It timed out.
    TimedOut,
    /// It was refused, or its answer was unreadable or contradictory.
    Failed,
}

/// The schedule of one front's calls for the node list.
#[derive(Clone, Debug)]
pub struct DiscoverySchedule {
    version: Option<u64>,
    /// Whether the calls go to an agent on the front's own machine.
    calls_agent: bool,
    fronts_beyond_small_fleet: u32,
    hold: Duration,
    last_call: LastCall,
    backoff_factor: f64,
    failures: u32,
    /// The time since the last answer, or since the start, as the sum of the calls and delays.
    since_answer: Duration,
    contradictions: u32,
    rng: fastrand::Rng,
}

impl DiscoverySchedule {
    /// The schedule of one of `fronts` fronts that starts with this version of the list, if it has one. With
    /// [`DiscoveryMode::Push`], an agent on the front's own machine answers: calls are cheap, and what the agent has counts
    /// as known.
    pub fn new(mode: DiscoveryMode, fronts: u32, version: Option<u64>, seed: u64) -> Self {
        let fronts = if mode == DiscoveryMode::Push {
            1
        } else {
            fronts
        };
        let hold = SHORT_HOLD
            .mul_f64((f64::from(fronts) / f64::from(SMALL_FLEET_FRONTS)).max(1.0))
            .min(MAX_HOLD);
        DiscoverySchedule {
            version,
            calls_agent: mode == DiscoveryMode::Push,
            fronts_beyond_small_fleet: fronts.saturating_sub(SMALL_FLEET_FRONTS),
            hold,
            last_call: LastCall::None,
            backoff_factor: 1.0,
            failures: 0,
            since_answer: Duration::ZERO,
            contradictions: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The next call.
    pub fn next_call(&mut self) -> DiscoveryCall {
        let jitter = self.rng.f64();
        let delay = match self.last_call {
            LastCall::None => (START_DELAY_PER_FRONT * self.fronts_beyond_small_fleet)
                .min(MAX_DELAY)
                .mul_f64(jitter),
            LastCall::Unchanged => Duration::ZERO,
            LastCall::Changed => {
                (MAX_DELAY_AFTER_CHANGE * self.fronts_beyond_small_fleet.min(1)).mul_f64(jitter)
            }
            LastCall::TimedOut | LastCall::Failed if self.calls_agent => {
                RETRY_DELAY.mul_f64(jitter)
            }
            LastCall::TimedOut => MAX_DELAY_AFTER_TIMEOUT.mul_f64(jitter),
            LastCall::Failed => {
                let max_delay = (RETRY_DELAY
                    + RETRY_DELAY_PER_FRONT * self.fronts_beyond_small_fleet)
                    .mul_f64(self.backoff_factor)
                    .min(MAX_DELAY);
                // A change right after the last answer soon counts as known. The next call starts in time for it, and early
                // enough that one more call can. Once it is too late for that, discovery could not be reached in that
                // time, and the usual delay applies.
                let max_delay = match (CHANGE_COUNTS_AS_KNOWN_AFTER - ANSWER_TIME)
                    .saturating_sub(self.since_answer)
                {
                    Duration::ZERO => max_delay,
                    left => max_delay.min((left / 2).max(MAX_DELAY_AFTER_TIMEOUT)),
                };
                max_delay.mul_f64(jitter)
            }
        };
        self.since_answer += delay;
        let from = self
            .version
            .filter(|_| self.contradictions < MAX_CONTRADICTIONS);
        // The hold is random, so that calls that started together do not end together.
        let hold_factor = 0.75 + 0.25 * self.rng.f64();
        let is_short = self.failures > 0 || matches!(self.last_call, LastCall::None);
        let hold = if is_short {
            SHORT_HOLD.min(self.hold)
        } else {
            self.hold
        };
        let (hold, margin) = match from {
            Some(_) => (hold.mul_f64(hold_factor), WATCH_TIMEOUT_MARGIN),
            None => (Duration::ZERO, FULL_LIST_TIMEOUT),
        };
        DiscoveryCall {
            delay,
            from,
            hold,
            timeout: hold + margin,
        }
    }

    /// Records that a call failed after `elapsed`. A call that timed out is soon made again; after a failure the delay grows.
    pub fn record_failure(&mut self, failure: CallFailure, elapsed: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.since_answer += elapsed;
        self.last_call = match failure {
            CallFailure::TimedOut => LastCall::TimedOut,
            CallFailure::Failed => {
                self.backoff_factor = (self.backoff_factor * 2.0).min(MAX_BACKOFF_FACTOR);
                LastCall::Failed
            }
        };
    }

    /// The number of calls in a row that have failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records the answer to a call, and decides what it changes.
    pub fn record_answer(&mut self, call: DiscoveryCall, answer: AnswerSummary) -> Verdict {
        // The answer to a call for the full list is the full list, whatever it claims. An older version then means that
        // discovery restarted its numbering.
        let is_full = answer.is_full || call.from.is_none();
        let is_older = call.from.is_some_and(|from| answer.generation < from);
        let lists_no_nodes = is_full && answer.is_empty && self.version.is_some();
        if is_older || lists_no_nodes {
            self.record_failure(CallFailure::Failed, Duration::ZERO);
            self.contradictions = self.contradictions.saturating_add(1);
            return Verdict::Contradictory;
        }
        (self.failures, self.contradictions, self.version) = (0, 0, Some(answer.generation));
        self.since_answer = Duration::ZERO;
        self.last_call = if is_full || !answer.is_empty {
            LastCall::Changed
        } else {
            LastCall::Unchanged
        };
        self.backoff_factor = (self.backoff_factor * BACKOFF_DECAY).max(1.0);
        match (is_full, answer.is_empty) {
            (true, _) => Verdict::Full,
            (false, false) => Verdict::Delta,
            (false, true) => Verdict::Unchanged,
        }
    }
}

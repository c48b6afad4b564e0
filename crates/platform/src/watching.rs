//! When discovery is asked, for how long a call may be held, and what becomes of its answer. No I/O, no clock.
//!
//! All fronts of a fleet ask one service. What each does on its own adds up: calls that start together stay together,
//! a short hold times a hundred fronts is a steady load, and a retry soon after each failure keeps a service that was
//! overbooked once overbooked for good. So every wait here is drawn at random over its whole length (full jitter), and
//! what the fleet does together is bounded by making each front's part smaller as the fleet grows.

use lupinrack_policy::Discovery;
use std::time::Duration;

/// How long a watch may be held in a small fleet. Short: a watch whose connection has fallen silent is noticed only
/// once it is over, and until then the front sends to nodes that are gone.
const HOLD: Duration = Duration::from_secs(2);
/// The longest hold that discovery takes.
const HOLD_MOST: Duration = Duration::from_secs(60);
/// Up to this many fronts one asks as if it were alone; what follows is for each one beyond.
const SMALL_FLEET: u32 = 12;
/// The first calls of a fleet that starts together spread over this much. A service that takes 20 calls a second and
/// drops what has waited for 2 s bears that.
const START_EACH: Duration = Duration::from_millis(60);
/// The longest wait after news, which ended all watches at once; under the 200 ms within which a watch goes on, since
/// a change that falls between two watches can count as told.
const NEWS: Duration = Duration::from_millis(150);
/// The longest wait after a failure, and that for each front beyond a small fleet, both before they double. An agent on the
/// front's own machine is asked again within the first alone, however often it failed: calls to it cost nothing, and what
/// it gets when discovery returns counts as told at once.
const RETRY: Duration = Duration::from_millis(90);
const RETRY_EACH: Duration = Duration::from_millis(80);
/// The longest wait after a watch fell silent. It is broken then, and what it missed counts as told 2 s after its hold is over
/// (6 s after the silence began, if that is later); a service that is only busy says so, and is given more time.
const REOPEN: Duration = Duration::from_millis(500);
/// How much longer than it may be held an answer may take before its call is given up: a watch's, and that of a call for the
/// whole list, which is not held but may wait where the service is busy.
const LATE: Duration = Duration::from_millis(500);
const LATE_WHOLE: Duration = Duration::from_millis(2_500);
/// What is waited doubles with each failure up to this factor, and shrinks again with each answer.
const STRETCH_MOST: f64 = 8.0;
const STRETCH_KEPT: f64 = 0.75;
/// The longest wait of all: what discovery has to tell counts as told 40 s after a front was last heard there, and the call
/// after the wait takes its time.
const RETRY_MOST: Duration = Duration::from_secs(30);
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
    /// A watch that had worked fell silent.
    Silent,
    Failed,
}

/// One front's watch of the node list.
#[derive(Debug)]
pub struct Watching {
    from: Option<u64>,
    /// An agent of its own is asked.
    agent: bool,
    beyond: u32,
    hold: Duration,
    last: Last,
    stretch: f64,
    fails: u32,
    doubts: u32,
    dice: fastrand::Rng,
}

impl Watching {
    /// Of this many fronts, one that starts with a list of this version, if with any. Where changes are pushed, an
    /// agent on the front's own machine answers: calls cost nothing, and what the agent has counts as told.
    pub fn new(how: Discovery, fronts: u32, from: Option<u64>, seed: u64) -> Self {
        let fronts = if how == Discovery::Push { 1 } else { fronts };
        let hold = HOLD.mul_f64((f64::from(fronts) / f64::from(SMALL_FLEET)).max(1.0)).min(HOLD_MOST);
        Watching {
            from,
            agent: how == Discovery::Push,
            beyond: fronts.saturating_sub(SMALL_FLEET),
            hold,
            last: Last::Start,
            stretch: 1.0,
            fails: 0,
            doubts: 0,
            dice: fastrand::Rng::with_seed(seed),
        }
    }

    /// The next call.
    pub fn next_call(&mut self) -> Call {
        let dice = self.dice.f64();
        let after = match self.last {
            Last::Start => (START_EACH * self.beyond).mul_f64(dice),
            Last::Quiet => Duration::ZERO,
            Last::News => (NEWS * self.beyond.min(1)).mul_f64(dice),
            Last::Silent => REOPEN.min(if self.agent { RETRY } else { REOPEN }).mul_f64(dice),
            Last::Failed if self.agent => RETRY.mul_f64(dice),
            Last::Failed => {
                (RETRY + RETRY_EACH * self.beyond).mul_f64(self.stretch).min(RETRY_MOST).mul_f64(dice)
            }
        };
        let from = self.from.filter(|_| self.doubts < DOUBTS_MOST);
        // Spread, so that calls that began together do not end together.
        let spread = 0.75 + 0.25 * self.dice.f64();
        let (hold, late) = match from {
            Some(_) => (self.hold.mul_f64(spread), LATE),
            None => (Duration::ZERO, LATE_WHOLE),
        };
        Call { after, from, hold, patience: hold + late }
    }

    /// The call brought nothing. A watch that falls silent after answers is begun anew at once; what fails again waits.
    pub fn failed(&mut self, how: Failure) {
        let fell_silent = how == Failure::Silent && self.fails == 0;
        self.last = if fell_silent { Last::Silent } else { Last::Failed };
        self.fails = self.fails.saturating_add(1);
        self.stretch = (self.stretch * 2.0).min(STRETCH_MOST);
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
            self.failed(Failure::Said);
            self.doubts = self.doubts.saturating_add(1);
            return Verdict::Doubted;
        }
        (self.fails, self.doubts, self.from) = (0, 0, Some(answer.generation));
        self.last = if whole || !answer.empty { Last::News } else { Last::Quiet };
        self.stretch = (self.stretch * STRETCH_KEPT).max(1.0);
        match (whole, answer.empty) {
            (true, _) => Verdict::Whole,
            (false, false) => Verdict::Changes,
            (false, true) => Verdict::Same,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cmp::Reverse;
    use std::collections::BinaryHeap;

    const ASK: Discovery = Discovery::Ask { within: 10_000_000 };
    const ANSWER: Head = Head { generation: 7, whole: false, empty: true };

    /// A fleet that starts together and asks one service: one call after another, 20 a second; what waits for 2 s
    /// has failed, but is worked off all the same; a queue of 60, beyond which calls fail at once. News every second for 25 s
    /// ends all watches. In the last 20 of 60 s: failures, and fronts that never heard.
    fn fleet(fronts: u32, next: impl Fn(&mut Watching) -> Call) -> (usize, usize) {
        const WORK: u64 = 50_000;
        let mut all: Vec<Watching> =
            (0..fronts).map(|f| Watching::new(ASK, fronts, Some(7), f.into())).collect();
        let first = |(f, w): (usize, &mut Watching)| {
            let call = next(w);
            Reverse((call.after.as_micros() as u64, f, call.hold.as_micros() as u64))
        };
        let mut due: BinaryHeap<_> = all.iter_mut().enumerate().map(first).collect();
        let (mut free, mut failures, mut heard) = (0, 0, vec![false; all.len()]);
        while let Some(Reverse((at, f, hold))) = due.pop().filter(|d| d.0 .0 < 60_000_000) {
            let w = &mut all[f];
            free = at.max(free);
            let wait = free - at;
            let full = wait > 60 * WORK;
            free += if full { 0 } else { WORK };
            let ends = if wait >= 2_000_000 {
                failures += usize::from(at > 40_000_000);
                w.failed(Failure::Said);
                at + if full { 3_000 } else { 2_000_000 }
            } else {
                heard[f] |= at > 40_000_000;
                let (over, news) = (
                    at + wait + hold,
                    match (at + wait) / 1_000_000 {
                        second if second < 25 => (second + 1) * 1_000_000,
                        _ => u64::MAX,
                    },
                );
                let call = Call { after: Duration::ZERO, from: w.from, hold: HOLD, patience: HOLD };
                w.answered(call, Head { empty: over < news, ..ANSWER });
                over.min(news)
            };
            let call = next(w);
            due.push(Reverse((ends + call.after.as_micros() as u64, f, call.hold.as_micros() as u64)));
        }
        (failures, heard.iter().filter(|h| !**h).count())
    }

    #[test]
    fn a_hundred_fronts_that_start_together_leave_discovery_room() {
        assert_eq!(fleet(100, Watching::next_call), (0, 0));
        // Asked again 100 ms after a failure, and held for 2 s, it never recovers: the model can fail.
        let old = |w: &mut Watching| {
            let after = Duration::from_millis(if w.fails() > 0 { 100 } else { 0 });
            Call { after, hold: HOLD, ..w.next_call() }
        };
        let (failures, unheard) = fleet(100, old);
        assert!(failures > 1_000 && unheard > 50, "{failures}, {unheard}");
    }

    #[test]
    fn waits_grow_with_failures_and_stay_bounded() {
        for (fronts, first) in
            [(4_u32, 0.09), (40, 0.09 + 0.08 * 28.0), (100, 0.09 + 0.08 * 88.0), (300, 0.09 + 0.08 * 288.0)]
        {
            let mut longest = vec![0.0_f64; 12];
            for seed in 0..300 {
                let mut w = Watching::new(ASK, fronts, Some(7), seed);
                w.next_call();
                for most in &mut longest {
                    w.failed(Failure::Said);
                    *most = most.max(w.next_call().after.as_secs_f64());
                }
                let call = w.next_call();
                w.answered(call, ANSWER);
                assert_eq!(w.next_call().after, Duration::ZERO, "a watch goes on at once");
            }
            let bound = |factor: f64| (first * factor).min(30.0);
            assert!(longest[0] <= bound(2.0) && longest[1] > bound(2.0) * 0.95, "{longest:?}");
            assert!(longest[11] <= bound(8.0) && longest[11] > bound(8.0) * 0.9, "{longest:?}");
            assert!(longest.iter().all(|l| *l < 40.0), "what has not been heard by then counts as told");
        }
    }

    #[test]
    fn what_contradicts_the_list_changes_nothing_until_the_whole_is_asked_for() {
        let mut w = Watching::new(Discovery::Push, 4, Some(40), 1);
        for _ in 0..DOUBTS_MOST {
            let call = w.next_call();
            assert_eq!(call.from, Some(40));
            let older = Head { generation: 39, whole: true, empty: false };
            assert_eq!(w.answered(call, older), Verdict::Doubted);
        }
        let whole = w.next_call();
        assert_eq!(whole.from, None);
        assert_eq!(w.answered(whole, Head { generation: 41, whole: true, empty: true }), Verdict::Doubted);
        // A numbering begun anew.
        assert_eq!(w.answered(whole, Head { generation: 2, whole: false, empty: false }), Verdict::Whole);
        let call = w.next_call();
        assert_eq!(call.from, Some(2));
        assert_eq!(w.answered(call, Head { generation: 3, whole: false, empty: false }), Verdict::Changes);
        let call = w.next_call();
        assert_eq!(w.answered(call, Head { generation: 3, whole: false, empty: true }), Verdict::Same);
    }

    #[test]
    fn an_agent_is_asked_at_once_and_a_service_before_what_it_has_counts_as_told() {
        for seed in 0..300 {
            let news = Head { empty: false, ..ANSWER };
            let mut agent = Watching::new(Discovery::Push, 100, Some(7), seed);
            let call = agent.next_call();
            assert!(call.after.is_zero() && call.hold <= HOLD, "{call:?}");
            agent.answered(call, news);
            assert!(agent.next_call().after.is_zero(), "a watch goes on within 200 ms");
            for fronts in [4, 100, 1_000] {
                let mut service = Watching::new(ASK, fronts, Some(7), seed);
                (0..6).for_each(|_| service.failed(Failure::Said));
                let call = service.next_call();
                service.answered(call, news);
                assert!(service.next_call().after < Duration::from_millis(180));
            }
        }
    }

    /// One clock for silence: what a silent watch misses counts as told 6 s after the silence began, or 2 s after its hold is
    /// over, and sends must stop within the grace from then on, of which the module uses 0.7. The answer to the next call may take a while.
    #[test]
    fn a_watch_that_falls_silent_is_begun_anew_before_what_it_missed_counts() {
        const ANSWERED: Duration = Duration::from_millis(1_000);
        let most = Duration::from_secs(2) + Duration::from_millis(350) - ANSWERED;
        for (how, fronts) in [(Discovery::Push, 300), (ASK, 4), (ASK, 100), (ASK, 300), (ASK, 1_000)] {
            for seed in 0..300 {
                let mut w = Watching::new(how, fronts, Some(7), seed);
                let first = w.next_call();
                w.answered(first, ANSWER);
                let silent = w.next_call();
                w.failed(Failure::Silent);
                let anew = w.next_call();
                let late = silent.patience - silent.hold + anew.after;
                assert!(late <= most, "{how:?}, {fronts} fronts: {late:?} after its hold");
                // An agent: within the 6 s even if it falls silent once more.
                w.failed(Failure::Silent);
                let twice = silent.patience + anew.after + anew.patience + w.next_call().after;
                assert!(how != Discovery::Push || twice < Duration::from_secs(6), "{twice:?}");
            }
        }
    }

    #[test]
    fn an_agent_is_asked_again_while_what_it_gets_at_the_return_can_still_be_acted_on() {
        for seed in 0..300 {
            let mut w = Watching::new(Discovery::Push, 300, Some(7), seed);
            for failures in 1..60 {
                w.failed(if failures % 3 == 0 { Failure::Silent } else { Failure::Said });
                let call = w.next_call();
                // The module uses 0.7 of a grace of 1 s: news that is 0.3 s late is late for good.
                assert!(call.after < Duration::from_millis(100), "{:?} after {failures}", call.after);
            }
        }
    }

    #[test]
    fn a_call_for_the_whole_list_is_not_waited_for_as_if_it_were_held() {
        let mut w = Watching::new(ASK, 1_000, None, 1);
        let call = w.next_call();
        assert!(call.hold.is_zero() && call.patience < Duration::from_secs(3), "{call:?}");
    }
}

//! Views and parts together in a model checker: three fronts, the real machines, words lost, kept and delivered late or twice,
//! a front that is not run for a while (that is: not scheduled), a death and a return at any step.

use lupinrack_fleet_membership::agree::{Agree, Number, Step, Times, Word};
use lupinrack_fleet_membership::bits::Bits;
use lupinrack_fleet_membership::lease::{Lease, Right};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

const N: usize = 3;
const TIMES: Times = Times {
    lease: 2,
    lapse: 3,
    drop: 1,
    quiet: 5,
    renew: 1,
};

/// A fault that is planted, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    None,
    /// The right is not checked again when something is sent.
    Unchecked,
    /// A majority is counted from a view, which may be of one.
    FromView,
    /// A new life goes by the old one's number and speaks at once.
    SameLife,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proc {
    agree: Agree,
    lease: Lease,
    /// What it was last told that it may use.
    told: Right,
    /// When it last ran.
    ran: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: i64,
    procs: Vec<Option<Proc>>,
    lives: u64,
    /// A word on its way: from, to, what.
    kept: Option<(usize, usize, WordKey)>,
    wanted: Bits,
    deaths: u8,
    lists: BTreeMap<Number, Bits>,
    conflict: bool,
}

/// `Word` without a hash of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WordKey(Word);

impl std::hash::Hash for WordKey {
    fn hash<H: std::hash::Hasher>(&self, h: &mut H) {
        (
            self.0.promised,
            self.0.number,
            self.0.promises,
            self.0.view,
            self.0.round,
        )
            .hash(h);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    /// One front runs: it carries on at the present moment.
    Run(usize),
    /// One asks another, which answers, what is left of its lease with it.
    Ask(usize, usize),
    /// One's word to another is kept on its way.
    Keep(usize, usize),
    /// What is on its way arrives; it may arrive again.
    Deliver,
    Stand(usize),
    /// Whom the next view is to list.
    Want(u8),
    Die(usize),
    Return(usize),
}

struct Fleet {
    plant: Plant,
    until: i64,
}

impl Fleet {
    fn configured(&self) -> usize {
        if self.plant == Plant::FromView {
            1
        } else {
            N
        }
    }

    fn born(&self, me: usize, life: u64, now: i64) -> Proc {
        let agree = Agree::new(me as u16, life, self.configured(), TIMES, now);
        Proc {
            agree,
            lease: Lease::new(me as u16, N, TIMES),
            told: Right::default(),
            ran: now,
        }
    }

    fn steps(&self, s: &mut State, me: usize, steps: Vec<Step>) {
        let now = s.now;
        for step in steps {
            let Some(p) = &mut s.procs[me] else { return };
            match step {
                Step::Accepted(view) => {
                    let list = *s.lists.entry(view.number).or_insert(view.members);
                    s.conflict |= list != view.members;
                    p.lease.accept(&view);
                }
                Step::Renewed(began) => {
                    let view = *p.agree.view();
                    p.lease
                        .hold(now, view.number, began + TIMES.lease, view.members);
                }
                Step::Spread | Step::GaveUp => {}
            }
        }
        if let Some(p) = &mut s.procs[me] {
            (p.told, p.ran) = (p.lease.right(now), now);
        }
    }

    fn hear(&self, s: &mut State, me: usize, word: &Word) {
        let (now, mut steps) = (s.now, Vec::new());
        if let Some(p) = &mut s.procs[me] {
            p.agree.hear(now, word, &mut steps);
        }
        self.steps(s, me, steps);
    }

    /// What a front uses at this moment if it sends now: it may have been told so long ago.
    fn uses(&self, s: &State, p: &Proc) -> f64 {
        let right = if self.plant == Plant::Unchecked {
            p.told
        } else {
            p.lease.right(s.now)
        };
        // As the module does: what was told holds until its end.
        let held = match self.plant {
            Plant::Unchecked => right.whole,
            _ => p.told.whole && s.now < p.told.until,
        };
        if held {
            1.0 / (N - p.told.absent.len()) as f64
        } else {
            0.0
        }
    }
}

fn ask(fleet: &Fleet, s: &mut State, me: usize, other: usize) {
    let now = s.now;
    let words = |s: &State, a: usize, b: usize| {
        let theirs = s.procs[b]
            .as_ref()
            .map_or(Number::default(), |p| p.agree.view().number);
        s.procs[a].as_ref().map(|p| p.agree.word(theirs))
    };
    let Some(word) = words(s, me, other) else {
        return;
    };
    if s.procs[other].is_none() {
        return;
    }
    fleet.hear(s, other, &word);
    let Some(word) = words(s, other, me) else {
        return;
    };
    let left = s.procs[other]
        .as_ref()
        .and_then(|p| p.lease.left(now))
        .unwrap_or(0);
    fleet.hear(s, me, &word);
    if let Some(p) = &mut s.procs[me] {
        let members = p.agree.view().members;
        p.lease.hold(now, word.number, now + left, members);
    }
    fleet.steps(s, me, Vec::new());
}

fn tick(fleet: &Fleet, s: &mut State, me: usize) {
    let (now, wanted, mut steps) = (s.now, s.wanted, Vec::new());
    if let Some(p) = &mut s.procs[me] {
        p.agree.tick(now, Some(wanted), &mut steps);
    }
    fleet.steps(s, me, steps);
}

fn stand(fleet: &Fleet, s: &mut State, me: usize) {
    let (now, mut steps) = (s.now, Vec::new());
    if let Some(p) = &mut s.procs[me] {
        p.agree.stand(now, &mut steps);
    }
    fleet.steps(s, me, steps);
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    /// All three have been up for long and hold settled leases on a view of all, led by the first; and the steps of a take-over.
    fn init_states(&self) -> Vec<State> {
        let mut s = State {
            now: 0,
            procs: (0..N)
                .map(|i| Some(self.born(i, i as u64 + 1, -100)))
                .collect(),
            lives: N as u64 + 1,
            kept: None,
            wanted: Bits::first(N),
            deaths: 1,
            lists: BTreeMap::new(),
            conflict: false,
        };
        stand(self, &mut s, 0);
        for _ in 0..8 {
            for _ in 0..2 {
                tick(self, &mut s, 0);
                ask(self, &mut s, 1, 0);
                ask(self, &mut s, 2, 0);
            }
            s.now += 1;
        }
        s.now -= 1;
        assert!(
            s.procs.iter().flatten().all(|p| p.lease.settled(s.now)),
            "{s:?}"
        );
        // Steps on the way to a view without the third, which is not run: each is a beginning of its own.
        let mut all = vec![s.clone()];
        s.wanted = [0u16, 1].into_iter().collect();
        for _ in 0..2 {
            tick(self, &mut s, 0);
            ask(self, &mut s, 1, 0);
        }
        // Numbered by the leader, and known to nobody else yet.
        let mut issued = all[0].clone();
        issued.wanted = s.wanted;
        tick(self, &mut issued, 0);
        let mut died = issued.clone();
        (died.procs[0], died.deaths) = (None, 0);
        all.extend([issued, died, s.clone()]);
        for _ in 0..4 {
            s.now += 1;
            for _ in 0..2 {
                tick(self, &mut s, 0);
                ask(self, &mut s, 1, 0);
            }
            all.push(s.clone());
        }
        // One stands by itself, cut off, while the others renew.
        let mut s = all[0].clone();
        s.wanted = [0u16, 1].into_iter().collect();
        stand(self, &mut s, 1);
        for _ in 0..3 {
            tick(self, &mut s, 1);
            s.now += 1;
            s.wanted = Bits::first(N);
            for _ in 0..2 {
                tick(self, &mut s, 0);
                ask(self, &mut s, 2, 0);
            }
            s.wanted = [0u16, 1].into_iter().collect();
        }
        all.push(s);
        all
    }

    fn actions(&self, s: &State, out: &mut Vec<Action>) {
        if s.now < self.until {
            out.push(Action::Tick);
        }
        for i in 0..N {
            let Some(p) = &s.procs[i] else {
                out.push(Action::Return(i));
                continue;
            };
            out.push(Action::Run(i));
            if !p.agree.leads() {
                out.push(Action::Stand(i));
            }
            if s.deaths > 0 {
                out.push(Action::Die(i));
            }
            for j in (0..N).filter(|j| *j != i) {
                out.push(Action::Ask(i, j));
                out.push(Action::Keep(i, j));
            }
        }
        out.extend(s.kept.is_some().then_some(Action::Deliver));
        out.extend([0b011, 0b101, 0b111].map(Action::Want));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Tick => s.now += 1,
            Action::Run(i) => tick(self, &mut s, i),
            Action::Ask(i, j) => ask(self, &mut s, i, j),
            Action::Keep(i, j) => {
                let word = s.procs[i].as_ref()?.agree.word(Number::default());
                s.kept = Some((i, j, WordKey(word)));
            }
            Action::Deliver => {
                let (_, to, word) = s.kept.clone()?;
                self.hear(&mut s, to, &word.0);
            }
            Action::Stand(i) => stand(self, &mut s, i),
            Action::Want(mask) => s.wanted = (0..N as u16).filter(|i| mask >> i & 1 == 1).collect(),
            Action::Die(i) => {
                s.procs[i] = None;
                s.deaths -= 1;
            }
            Action::Return(i) => {
                let (life, now) = match self.plant {
                    Plant::SameLife => (i as u64 + 1, s.now - 100),
                    _ => (s.lives, s.now),
                };
                s.lives += 1;
                s.procs[i] = Some(self.born(i, life, now));
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no sum past the whole", |m: &Fleet, s: &State| {
                s.procs.iter().flatten().map(|p| m.uses(s, p)).sum::<f64>() <= 1.0 + 1e-9
            }),
            Property::always("one list under a number", |_, s: &State| !s.conflict),
            Property::sometimes("what one had goes to the others", |m: &Fleet, s: &State| {
                s.procs.iter().flatten().any(|p| m.uses(s, p) > 0.4)
            }),
        ]
    }
}

fn explore(plant: Plant, until: i64, depth: usize) -> (usize, Vec<&'static str>) {
    let checker = Fleet { plant, until }
        .checker()
        .threads(
            std::thread::available_parallelism()
                .map_or(2, usize::from)
                .min(4),
        )
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found: Vec<&str> = checker.discoveries().into_keys().collect();
    (checker.unique_state_count(), found)
}

const SUM: &str = "no sum past the whole";
const LIST: &str = "one list under a number";

#[test]
fn no_state_within_the_depth_breaks_a_promise() {
    let (states, found) = explore(Plant::None, 30, 6);
    assert!(states > 10_000, "{states} states");
    assert_eq!(
        found,
        ["what one had goes to the others"],
        "{states} states"
    );
}

#[test]
fn planted_faults_are_found() {
    for (plant, promise, depth) in [
        (Plant::Unchecked, SUM, 6),
        (Plant::FromView, SUM, 6),
        (Plant::SameLife, LIST, 7),
    ] {
        let (states, found) = explore(plant, 30, depth);
        assert!(
            found.contains(&promise),
            "{plant:?}: nothing found in {states} states"
        );
    }
}

/// How far a depth given in LUPINRACK_DEPTH goes.
#[test]
#[ignore = "takes as long as its depth says"]
fn deeper() {
    let depth = std::env::var("LUPINRACK_DEPTH")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(8);
    let (states, found) = explore(Plant::None, 30, depth);
    println!("depth {depth}: {states} states, found {found:?}");
    assert!(!found.contains(&SUM) && !found.contains(&LIST), "{found:?}");
}

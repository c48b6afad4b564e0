//! Checkers that every drill of the fleet needs: what was promised against what was seen, written apart from the program's code.
//! They know the processes' lines, the nodes' notes and the rig's own deeds, and nothing of the machines.

use crate::history::{Entry, Moment, Note};
use crate::script::{Act, Script};
use crate::witness::{Asked, Seen, CAPACITY, FALLS, LIMIT};
use mock_servers::load::Came;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What a checker holds of sums beside rounding.
const EPSILON: f64 = 1e-6;
/// What sockets add to a rule on time, in seconds: a limit's slack grows by what it allows in that.
const SOCKETS_S: f64 = 0.15;
/// A front was well if nothing was done to it for so long.
const WELL: u64 = 4_000_000;

/// Whether the promises held, and where not.
pub type Verdict = Result<(), Vec<String>>;

/// The value below which this share of all lies; 0 where there are none.
pub fn quantile(of: &[f64], q: f64) -> f64 {
    let mut sorted = of.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// The lines of one kind that processes said.
pub fn said<'a>(
    history: &'a [(Moment, Entry)],
    what: &'a str,
) -> impl Iterator<Item = (Moment, &'a Note)> {
    history.iter().filter_map(move |(at, e)| match e {
        Entry::Said(n) if n.what == what => Some((*at, n)),
        _ => None,
    })
}

/// Volumes whose limit was broken: a bucket over all that ran anywhere. A request draws with the first of its attempts that comes to a
/// node, and with no other: that is the rule, and the module's promise.
pub fn limits(seen: &[Seen], broken: &mut Vec<String>) -> u64 {
    let (rate, burst, slack) = LIMIT;
    let most = burst + slack + rate * SOCKETS_S;
    let mut levels: HashMap<u64, (f64, Moment)> = HashMap::new();
    let mut over: BTreeMap<u64, f64> = BTreeMap::new();
    let mut drawn = HashSet::new();
    let counts = |s: &&Seen| s.ran && s.volume < 10_000 && s.volume > 0;
    for s in seen
        .iter()
        .filter(counts)
        .filter(|s| drawn.insert(s.id.as_str()))
    {
        let (level, at) = levels.entry(s.volume).or_insert((most, s.at));
        *level = (*level + rate * (s.at - *at) as f64 / 1e6).min(most) - f64::from(s.units);
        *at = s.at;
        if *level < -EPSILON {
            let worst = over.entry(s.volume).or_default();
            *worst = worst.max(-*level);
        }
    }
    broken.extend(
        over.iter()
            .map(|(v, by)| format!("limit of volume {v} broken by {by:.1} units")),
    );
    over.len() as u64
}

/// Seconds in which a cold node got more than it can bear, and the most that one got over what it can.
pub fn cold(seen: &[Seen], broken: &mut Vec<String>) -> (u64, f64) {
    let (warm, from, warms) = CAPACITY;
    let (mut over, mut most) = (0, 0.0_f64);
    let mut nodes: BTreeMap<usize, Vec<&Seen>> = BTreeMap::new();
    for s in seen.iter().filter(|s| s.cold.is_some()) {
        nodes.entry(s.node).or_default().push(s);
    }
    for (node, got) in nodes {
        let mut first = 0;
        let mut sum = 0.0;
        let mut last_over = 0;
        for s in &got {
            sum += f64::from(s.units);
            while s.at - got[first].at > 1_000_000 {
                sum -= f64::from(got[first].units);
                first += 1;
            }
            let age = (s.at - s.cold.unwrap_or(s.at)) as f64 / 1e6;
            let can = warm * (from + (1.0 - from) * (age / warms).min(1.0));
            most = most.max(sum / (FALLS * can));
            if sum > FALLS * can && s.at - last_over > 1_000_000 {
                last_over = s.at;
                over += 1;
                broken.push(format!(
                    "cold node {node} got {sum} units within 1 s at {age:.1} s of age"
                ));
            }
        }
    }
    (over, most)
}

/// Writes that ran more than once, at whichever nodes and however late.
pub fn duplicates(seen: &[Seen], broken: &mut Vec<String>) -> u64 {
    let mut ran: HashMap<&str, u64> = HashMap::new();
    for s in seen.iter().filter(|s| s.ran && !s.dropped) {
        if let Some(key) = &s.key {
            *ran.entry(key).or_default() += 1;
        }
    }
    let twice = ran.values().filter(|runs| **runs > 1).count() as u64;
    if twice > 0 {
        broken.push(format!("{twice} writes ran more than once"));
    }
    twice
}

/// Requests without an answer at fronts that were well meanwhile.
pub fn lost(done: &[(Asked, Came)], well: &Wellness, broken: &mut Vec<String>) -> u64 {
    let lost = |(a, c): &&(Asked, Came)| {
        *c == Came::Lost && well.untouched(a.front, a.at, a.at + 5_000_000)
    };
    let lost: Vec<&(Asked, Came)> = done.iter().filter(lost).collect();
    if let Some((first, _)) = lost.first() {
        broken.push(format!(
            "{} requests lost, the first at front {} at {}",
            lost.len(),
            first.front,
            first.at
        ));
    }
    lost.len() as u64
}

/// What was done to whom, and when.
pub struct Wellness {
    n: u16,
    /// Changes of a front's own process, and whether it runs from then on.
    runs: Vec<Vec<(Moment, bool)>>,
    /// Changes of what each front can reach, both ways.
    reach: Vec<(Moment, Vec<bool>)>,
}

impl Wellness {
    /// From the rig's deeds.
    pub fn new(script: &Script, deeds: &[(Moment, Act)]) -> Wellness {
        let n = script.fronts;
        let size = usize::from(n);
        let mut runs: Vec<Vec<(Moment, bool)>> = vec![vec![(0, !script.late)]; size];
        let mut cuts = vec![false; size * size];
        let mut lossy = false;
        let mut reach = vec![(0, vec![true; size])];
        for (at, act) in deeds {
            match act {
                Act::Kill { front } | Act::Stop { front } | Act::Term { front } => {
                    runs[usize::from(*front)].push((*at, false));
                }
                // Connections that rest are closed with the older process; what its clients then lose is no promise here.
                Act::Upgrade { front } => {
                    runs[usize::from(*front)].extend([(*at, false), (*at + 1, true)])
                }
                Act::Start { front } | Act::Cont { front } => {
                    runs[usize::from(*front)].push((*at, true))
                }
                Act::Path { from, to, fault } => {
                    cuts[usize::from(*from) * size + usize::from(*to)] =
                        fault.cut || fault.loss > 0.5;
                }
                Act::Split { groups } => {
                    let of = |i: usize| groups.iter().position(|g| g.contains(&(i as u16)));
                    for (i, cut) in cuts.iter_mut().enumerate() {
                        *cut = of(i / size).is_none() || of(i / size) != of(i % size);
                    }
                }
                Act::Mute { front } => {
                    (0..size).for_each(|to| cuts[usize::from(*front) * size + to] = true);
                }
                Act::Heal => cuts.fill(false),
                Act::Net { fault } => lossy = fault.loss > 0.5,
                _ => continue,
            }
            let both =
                |a: usize, b: usize| a == b || !(cuts[a * size + b] || cuts[b * size + a] || lossy);
            let sees = |f: usize| (0..size).filter(|o| both(f, *o)).count() * 2 > size;
            reach.push((*at, (0..size).map(sees).collect()));
        }
        Wellness { n, runs, reach }
    }

    /// Whether a front ran all through a span.
    pub fn untouched(&self, front: u16, from: Moment, to: Moment) -> bool {
        let runs = &self.runs[usize::from(front)];
        let before = runs
            .iter()
            .rev()
            .find(|(at, _)| *at <= from)
            .is_some_and(|(_, r)| *r);
        before && !runs.iter().any(|(at, _)| (from..to).contains(at))
    }

    /// Whether a front ran and reached a majority of all fronts, both ways, for some time up to a moment.
    pub fn well(&self, front: u16, at: Moment) -> bool {
        let from = at.saturating_sub(WELL);
        let f = usize::from(front);
        let before = self
            .reach
            .iter()
            .rev()
            .find(|(t, _)| *t <= from)
            .is_some_and(|(_, r)| r[f]);
        let within = self
            .reach
            .iter()
            .filter(|(t, _)| (from..at).contains(t))
            .all(|(_, r)| r[f]);
        self.untouched(front, from, at) && before && within
    }

    /// Whether so many fronts ran at a moment that a majority was there.
    pub fn majority(&self, at: Moment) -> bool {
        let runs = |f: usize| {
            self.runs[f]
                .iter()
                .rev()
                .find(|(t, _)| *t <= at)
                .is_some_and(|(_, r)| *r)
        };
        (0..usize::from(self.n)).filter(|f| runs(*f)).count() * 2 > usize::from(self.n)
    }
}

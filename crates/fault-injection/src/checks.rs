//! Checks that all drills of the fleet share. They compare the guarantees with what was observed, share no code with the
//! program, and use only the processes' log lines, the nodes' records and the faults that the harness injected.

use crate::history::{Entry, LogRecord, Moment};
use crate::run_record::{NodeAttempt, SentRequest, LIMIT, NODE_CAPACITY, OVERLOAD_FACTOR};
use crate::script::{Act, Script};
use mock_servers::load::RequestOutcome;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Tolerance for rounding errors in sums.
const EPSILON: f64 = 1e-6;
/// Delay in seconds that sockets may add. A limit's slack grows by what its rate allows in this time.
const SOCKET_DELAY_S: f64 = 0.15;
/// A front counts as healthy if no fault affected it for this long, in microseconds.
const HEALTHY_AFTER_US: u64 = 4_000_000;

/// Whether all guarantees held, or a description of each violation.
pub type Verdict = Result<(), Vec<String>>;

/// The value at this quantile, by nearest rank; 0 if there are no values.
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// The log records of one fleet event, from all processes.
pub fn log_records<'a>(
    history: &'a [(Moment, Entry)],
    event: &'a str,
) -> impl Iterator<Item = (Moment, &'a LogRecord)> {
    history.iter().filter_map(move |(at, entry)| match entry {
        Entry::Logged(record) if record.event == event => Some((*at, record)),
        _ => None,
    })
}

/// Number of volumes whose limit was exceeded, by a token bucket over all requests that ran on any node. Only the first
/// attempt of a request that reaches a node draws from the bucket; retries do not, as the policy guarantees.
pub fn limits(seen: &[NodeAttempt], broken: &mut Vec<String>) -> u64 {
    let (rate, burst, slack) = LIMIT;
    let max_level = burst + slack + rate * SOCKET_DELAY_S;
    let mut levels: HashMap<u64, (f64, Moment)> = HashMap::new();
    let mut exceeded: BTreeMap<u64, f64> = BTreeMap::new();
    let mut charged = HashSet::new();
    let counts_against_limit =
        |attempt: &&NodeAttempt| attempt.ran && attempt.volume < 10_000 && attempt.volume > 0;
    for attempt in seen
        .iter()
        .filter(counts_against_limit)
        .filter(|attempt| charged.insert(attempt.id.as_str()))
    {
        let (level, at) = levels
            .entry(attempt.volume)
            .or_insert((max_level, attempt.at));
        *level = (*level + rate * (attempt.at - *at) as f64 / 1e6).min(max_level)
            - f64::from(attempt.units);
        *at = attempt.at;
        if *level < -EPSILON {
            let worst = exceeded.entry(attempt.volume).or_default();
            *worst = worst.max(-*level);
        }
    }
    broken.extend(
        exceeded
            .iter()
            .map(|(v, by)| format!("limit of volume {v} exceeded by {by:.1} units")),
    );
    exceeded.len() as u64
}

/// Number of seconds in which a warming-up node received more than its overload threshold, and the highest load in units of
/// that threshold.
pub fn cold(seen: &[NodeAttempt], broken: &mut Vec<String>) -> (u64, f64) {
    let (warm_capacity, from, warm_up_s) = NODE_CAPACITY;
    let (mut exceeded_seconds, mut max_load) = (0, 0.0_f64);
    let mut nodes: BTreeMap<usize, Vec<&NodeAttempt>> = BTreeMap::new();
    for attempt in seen.iter().filter(|attempt| attempt.cold.is_some()) {
        nodes.entry(attempt.node).or_default().push(attempt);
    }
    for (node, attempts) in nodes {
        let mut first = 0;
        let mut sum = 0.0;
        let mut last_over = 0;
        for attempt in &attempts {
            sum += f64::from(attempt.units);
            while attempt.at - attempts[first].at > 1_000_000 {
                sum -= f64::from(attempts[first].units);
                first += 1;
            }
            let age = (attempt.at - attempt.cold.unwrap_or(attempt.at)) as f64 / 1e6;
            let capacity = warm_capacity * (from + (1.0 - from) * (age / warm_up_s).min(1.0));
            max_load = max_load.max(sum / (OVERLOAD_FACTOR * capacity));
            if sum > OVERLOAD_FACTOR * capacity && attempt.at - last_over > 1_000_000 {
                last_over = attempt.at;
                exceeded_seconds += 1;
                broken.push(format!(
                    "warming-up node {node} received {sum} units within 1 s at {age:.1} s of age"
                ));
            }
        }
    }
    (exceeded_seconds, max_load)
}

/// Number of keyed writes that ran more than once, on any nodes and at any time.
pub fn duplicates(seen: &[NodeAttempt], broken: &mut Vec<String>) -> u64 {
    let mut runs_by_key: HashMap<&str, u64> = HashMap::new();
    for attempt in seen
        .iter()
        .filter(|attempt| attempt.ran && !attempt.dropped)
    {
        if let Some(key) = &attempt.key {
            *runs_by_key.entry(key).or_default() += 1;
        }
    }
    let duplicated = runs_by_key.values().filter(|runs| **runs > 1).count() as u64;
    if duplicated > 0 {
        broken.push(format!("{duplicated} writes ran more than once"));
    }
    duplicated
}

/// Number of requests that were not answered although their front ran for the 5 s after they were sent.
pub fn lost(
    done: &[(SentRequest, RequestOutcome)],
    timeline: &FaultTimeline,
    broken: &mut Vec<String>,
) -> u64 {
    let lost = |(request, outcome): &&(SentRequest, RequestOutcome)| {
        *outcome == RequestOutcome::Lost
            && timeline.ran_throughout(request.front, request.at, request.at + 5_000_000)
    };
    let lost: Vec<&(SentRequest, RequestOutcome)> = done.iter().filter(lost).collect();
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

/// When each front ran, and which fronts could reach a majority.
pub struct FaultTimeline {
    fronts: u16,
    /// For each front, when its process started or stopped, and whether it runs from then on.
    runs: Vec<Vec<(Moment, bool)>>,
    /// When reachability changed, and whether each front reaches a majority in both directions from then on.
    reach: Vec<(Moment, Vec<bool>)>,
}

impl FaultTimeline {
    /// Derives the timeline from the acts that the harness carried out.
    pub fn new(script: &Script, injected_acts: &[(Moment, Act)]) -> FaultTimeline {
        let fronts = script.fronts;
        let size = usize::from(fronts);
        let mut runs: Vec<Vec<(Moment, bool)>> = vec![vec![(0, !script.late)]; size];
        let mut cuts = vec![false; size * size];
        let mut lossy = false;
        let mut reach = vec![(0, vec![true; size])];
        for (at, act) in injected_acts {
            match act {
                Act::Kill { front } | Act::Stop { front } | Act::Term { front } => {
                    runs[usize::from(*front)].push((*at, false));
                }
                // Idle connections close with the older process. Requests that clients lose this way violate no guarantee here.
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
        FaultTimeline {
            fronts,
            runs,
            reach,
        }
    }

    /// Whether a front's process ran from `from` to `to` without interruption.
    pub fn ran_throughout(&self, front: u16, from: Moment, to: Moment) -> bool {
        let runs = &self.runs[usize::from(front)];
        let before = runs
            .iter()
            .rev()
            .find(|(at, _)| *at <= from)
            .is_some_and(|(_, r)| *r);
        before && !runs.iter().any(|(at, _)| (from..to).contains(at))
    }

    /// Whether a front ran and reached a majority of all fronts in both directions for `HEALTHY_AFTER_US` before `at`.
    pub fn is_healthy(&self, front: u16, at: Moment) -> bool {
        let from = at.saturating_sub(HEALTHY_AFTER_US);
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
        self.ran_throughout(front, from, at) && before && within
    }

    /// Whether a majority of the fronts ran at a moment.
    pub fn majority_running(&self, at: Moment) -> bool {
        let runs = |f: usize| {
            self.runs[f]
                .iter()
                .rev()
                .find(|(t, _)| *t <= at)
                .is_some_and(|(_, r)| *r)
        };
        (0..usize::from(self.fronts)).filter(|f| runs(*f)).count() * 2 > usize::from(self.fronts)
    }
}

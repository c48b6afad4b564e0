//! The checkers: what was promised against what was seen, written apart from the program's code. They know the processes'
//! lines, the nodes' notes and the rig's own deeds, and nothing of the machines.

use crate::history::{Entry, Moment, Note};
use crate::rig::{CAPACITY, FALLS, LIMIT};
use crate::script::{Act, Script};
use serde::Serialize;
use serde_json::Value;
use stand_ins::load::Came;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Range;

/// What a checker holds of sums beside rounding.
const EPSILON: f64 = 1e-6;
/// What sockets add to a rule on time, in seconds: a limit's slack grows by what it allows in that.
const SOCKETS_S: f64 = 0.15;
/// A front was well if nothing was done to it for so long.
const WELL: u64 = 4_000_000;

/// A request as it was asked.
#[derive(Clone, Debug)]
pub struct Asked {
    /// When.
    pub at: Moment,
    /// Which front.
    pub front: u16,
    /// The volume.
    pub volume: u64,
    /// Its units.
    pub units: u32,
    /// Whether it counts against a limit.
    pub limited: bool,
    /// Whether it writes.
    pub writes: bool,
}

/// An attempt as a node saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its last byte came.
    pub at: Moment,
    /// Which node.
    pub node: usize,
    /// When the node started, where it started cold.
    pub cold: Option<Moment>,
    /// The request's id.
    pub id: String,
    /// The volume.
    pub volume: u64,
    /// Its units.
    pub units: u32,
    /// Whether it ran, or was a repeat of what did.
    pub ran: bool,
    /// Whether it was a repeat, dropped by the node.
    pub dropped: bool,
    /// The key of a write.
    pub key: Option<String>,
}

/// Whether the promises held, and where not.
pub type Verdict = Result<(), Vec<String>>;

/// What came of a script.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The script's name.
    pub script: String,
    /// Its seed.
    pub seed: u64,
    /// Processes started.
    pub processes: u64,
    /// Kills.
    pub kills: u64,
    /// Stops.
    pub pauses: u64,
    /// Cuts of any kind.
    pub partitions: u64,
    /// Requests.
    pub requests: u64,
    /// Served.
    pub served: u64,
    /// Views that anybody accepted.
    pub views: u64,
    /// Two lists under one number. A promise: 0.
    pub view_conflicts: u64,
    /// Volumes of which more was sent than the limit and its slack allow. A promise: 0.
    pub limit_broken: u64,
    /// The most that was in use of anything shared at one moment, over the whole. A promise: not above 1.
    pub parts_sum_max: f64,
    /// Seconds in which a cold node got more than it can bear. A promise: 0.
    pub cold_over: u64,
    /// The most that a cold node got within a second, over what it can bear; more than 1 breaks the promise above.
    pub cold_most: f64,
    /// Repeats of writes that a node dropped: they could have run twice.
    pub repeats: u64,
    /// Requests without an answer at fronts to which nothing was done. A promise: 0.
    pub lost: u64,
    /// Writes that ran twice. A promise: 0.
    pub duplicates: u64,
    /// Fronts held for dead while alive and reachable by a majority.
    pub false_deaths: u64,
    /// From a death until the first front holds it for one, in milliseconds: median.
    pub detect_ms_p50: f64,
    /// The same, 99th percentile.
    pub detect_ms_p99: f64,
    /// From there until every well front accepted a view without it, 99th percentile.
    pub agree_ms_p99: f64,
    /// Of the limits' units, the share left unused while asked for.
    pub idle_limit_share: f64,
    /// Bytes of datagrams that a front sent, a second.
    pub bytes_per_front_s: f64,
    /// Datagrams that a front sent, a second.
    pub datagrams_per_front_s: f64,
    /// Processor time of the processes that lived to the end, over all requests, in microseconds.
    pub cpu_us_per_request: f64,
    /// Every broken promise in words.
    pub broken: Vec<String>,
}

impl Figures {
    /// Whether all promises held.
    pub fn verdict(&self) -> Verdict {
        if self.broken.is_empty() {
            Ok(())
        } else {
            Err(self.broken.clone())
        }
    }

    /// Puts all that was seen against what was promised.
    #[allow(clippy::too_many_arguments, reason = "each is one kind of witness")]
    pub fn of(
        script: &Script,
        span: Range<Moment>,
        history: &[(Moment, Entry)],
        deeds: &[(Moment, Act)],
        seen: &[Seen],
        done: &[(Asked, Came)],
        sent: Vec<(u64, u64)>,
        processes: u64,
        cpu_ms: f64,
    ) -> Figures {
        let count = |of: fn(&Act) -> bool| deeds.iter().filter(|(_, a)| of(a)).count() as u64;
        let seconds = (span.end - span.start).max(1) as f64 / 1e6;
        let well = Wellness::new(script, deeds);
        let mut broken = Vec::new();
        let (views, view_conflicts) = views(history, &mut broken);
        let parts_sum_max = parts(script, history, deeds, &mut broken);
        let limit_broken = limits(seen, &mut broken);
        let (cold_over, cold_most) = cold(seen, &mut broken);
        let lost = lost(done, &well, &mut broken);
        let duplicates = duplicates(seen, &mut broken);
        let false_deaths = deaths(history, &well).len() as u64;
        let (detect, agree) = detection(script, history, deeds, &well);
        let per_front = |n: u64| n as f64 / sent.len().max(1) as f64 / seconds;
        Figures {
            script: script.name.clone(),
            seed: script.seed,
            processes,
            kills: count(|a| matches!(a, Act::Kill { .. })),
            pauses: count(|a| matches!(a, Act::Stop { .. })),
            partitions: count(|a| matches!(a, Act::Split { .. } | Act::Mute { .. }))
                + count(|a| matches!(a, Act::Path { fault, .. } if fault.cut)),
            requests: done.len() as u64,
            served: done.iter().filter(|(_, c)| *c == Came::Served).count() as u64,
            views,
            view_conflicts,
            limit_broken,
            parts_sum_max,
            cold_over,
            cold_most,
            repeats: seen.iter().filter(|s| s.dropped).count() as u64,
            lost,
            duplicates,
            false_deaths,
            detect_ms_p50: quantile(&detect, 0.5),
            detect_ms_p99: quantile(&detect, 0.99),
            agree_ms_p99: quantile(&agree, 0.99),
            idle_limit_share: idle(script, seen, &span),
            bytes_per_front_s: per_front(sent.iter().map(|(_, b)| b).sum()),
            datagrams_per_front_s: per_front(sent.iter().map(|(c, _)| c).sum()),
            cpu_us_per_request: cpu_ms * 1000.0 / done.len().max(1) as f64,
            broken,
        }
    }
}

fn quantile(of: &[f64], q: f64) -> f64 {
    let mut sorted = of.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

fn said<'a>(history: &'a [(Moment, Entry)], what: &'a str) -> impl Iterator<Item = (Moment, &'a Note)> {
    history.iter().filter_map(move |(at, e)| match e {
        Entry::Said(n) if n.what == what => Some((*at, n)),
        _ => None,
    })
}

/// Numbers of views, and numbers under which two lists were accepted.
pub fn views(history: &[(Moment, Entry)], broken: &mut Vec<String>) -> (u64, u64) {
    let mut lists: BTreeMap<String, HashSet<String>> = BTreeMap::new();
    for (_, n) in said(history, "view") {
        let text = |name: &str| n.fields[name].as_str().unwrap_or("").to_string();
        lists.entry(text("view")).or_default().insert(text("members"));
    }
    let conflicts: Vec<&String> = lists.iter().filter(|(_, l)| l.len() > 1).map(|(n, _)| n).collect();
    broken.extend(conflicts.iter().map(|n| format!("view {n}: two lists, {:?}", lists[*n])));
    (lists.len() as u64, conflicts.len() as u64)
}

/// What one process may use, as it said.
#[derive(Clone, Default)]
struct Holds {
    until: Moment,
    reserve: f64,
    cold: f64,
    factors: HashMap<u64, f64>,
    rest: f64,
}

impl Holds {
    fn read(fields: &Value) -> Holds {
        let factors = fields["factors"].as_str().unwrap_or("").split(' ').filter_map(|pair| {
            let (volume, factor) = pair.split_once(':')?;
            Some((u64::from_str_radix(volume, 16).ok()?, factor.parse().ok()?))
        });
        Holds {
            until: fields["until_unix_us"].as_u64().unwrap_or(0),
            reserve: fields["reserve"].as_f64().unwrap_or(0.0),
            cold: fields["cold"].as_f64().unwrap_or(0.0),
            factors: factors.collect(),
            rest: fields["rest"].as_f64().unwrap_or(1.0),
        }
    }

    fn of(&self, at: Moment, volume: Option<u64>) -> f64 {
        match volume {
            _ if at >= self.until => self.reserve,
            None => self.cold,
            Some(volume) => self.factors.get(&volume).copied().unwrap_or(self.rest),
        }
    }
}

/// The most in use at one moment, over the whole: of cold budgets by all fronts, of each volume by its set.
pub fn parts(
    script: &Script,
    history: &[(Moment, Entry)],
    deeds: &[(Moment, Act)],
    broken: &mut Vec<String>,
) -> f64 {
    let mut held: HashMap<(u16, bool), Holds> = HashMap::new();
    let mut most = 0.0_f64;
    let n = f64::from(script.fronts);
    for (at, entry) in history {
        match entry {
            Entry::Said(note) if note.what == "rights" => {
                held.insert((note.front, note.twin), Holds::read(&note.fields));
            }
            Entry::Lives(front, twin, false) => drop(held.remove(&(*front, *twin))),
            _ => continue,
        }
        let of = |front: u16, volume: Option<u64>| -> f64 {
            [false, true].iter().filter_map(|t| held.get(&(front, *t))).map(|h| h.of(*at, volume)).sum()
        };
        let cold: f64 = (0..script.fronts).map(|f| of(f, None) / n).sum();
        let mut worst = (cold, "cold budgets".to_string());
        for volume in 0..script.volumes {
            let mut set = script.set(volume);
            let hosts = set.len() as f64;
            set.extend(deeds.iter().filter(|(t, _)| t <= at).filter_map(|(_, act)| match act {
                Act::Joins { volume: v, front } if *v == volume => Some(*front),
                _ => None,
            }));
            let id = u64::from(volume) + 1;
            let sum: f64 = set.iter().map(|f| of(*f, Some(id)) / hosts).sum();
            if sum > worst.0 {
                worst = (sum, format!("volume {id}"));
            }
        }
        if worst.0 > 1.0 + EPSILON && worst.0 > most + EPSILON {
            broken.push(format!("{:.4} of {} in use at {at}", worst.0, worst.1));
        }
        most = most.max(worst.0);
    }
    most
}

/// Volumes whose limit was broken: a bucket over all that ran anywhere.
pub fn limits(seen: &[Seen], broken: &mut Vec<String>) -> u64 {
    let (rate, burst, slack) = LIMIT;
    let most = burst + slack + rate * SOCKETS_S;
    let mut levels: HashMap<u64, (f64, Moment)> = HashMap::new();
    let mut over: BTreeMap<u64, f64> = BTreeMap::new();
    for s in seen.iter().filter(|s| s.ran && s.volume < 10_000 && s.volume > 0) {
        let (level, at) = levels.entry(s.volume).or_insert((most, s.at));
        *level = (*level + rate * (s.at - *at) as f64 / 1e6).min(most) - f64::from(s.units);
        *at = s.at;
        if *level < -EPSILON {
            let worst = over.entry(s.volume).or_default();
            *worst = worst.max(-*level);
        }
    }
    broken.extend(over.iter().map(|(v, by)| format!("limit of volume {v} broken by {by:.1} units")));
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
                broken.push(format!("cold node {node} got {sum} units within 1 s at {age:.1} s of age"));
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
    let lost = |(a, c): &&(Asked, Came)| *c == Came::Lost && well.untouched(a.front, a.at, a.at + 5_000_000);
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
                Act::Upgrade { front } => runs[usize::from(*front)].extend([(*at, false), (*at + 1, true)]),
                Act::Start { front } | Act::Cont { front } => runs[usize::from(*front)].push((*at, true)),
                Act::Path { from, to, fault } => {
                    cuts[usize::from(*from) * size + usize::from(*to)] = fault.cut || fault.loss > 0.5;
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
            let both = |a: usize, b: usize| a == b || !(cuts[a * size + b] || cuts[b * size + a] || lossy);
            let sees = |f: usize| (0..size).filter(|o| both(f, *o)).count() * 2 > size;
            reach.push((*at, (0..size).map(sees).collect()));
        }
        Wellness { n, runs, reach }
    }

    /// Whether a front ran all through a span.
    pub fn untouched(&self, front: u16, from: Moment, to: Moment) -> bool {
        let runs = &self.runs[usize::from(front)];
        let before = runs.iter().rev().find(|(at, _)| *at <= from).is_some_and(|(_, r)| *r);
        before && !runs.iter().any(|(at, _)| (from..to).contains(at))
    }

    /// Whether a front ran and reached a majority of all fronts, both ways, for some time up to a moment.
    pub fn well(&self, front: u16, at: Moment) -> bool {
        let from = at.saturating_sub(WELL);
        let f = usize::from(front);
        let before = self.reach.iter().rev().find(|(t, _)| *t <= from).is_some_and(|(_, r)| r[f]);
        let within = self.reach.iter().filter(|(t, _)| (from..at).contains(t)).all(|(_, r)| r[f]);
        self.untouched(front, from, at) && before && within
    }

    /// Whether so many fronts ran at a moment that a majority was there.
    pub fn majority(&self, at: Moment) -> bool {
        let runs = |f: usize| self.runs[f].iter().rev().find(|(t, _)| *t <= at).is_some_and(|(_, r)| *r);
        (0..usize::from(self.n)).filter(|f| runs(*f)).count() * 2 > usize::from(self.n)
    }
}

fn index(name: &Value) -> Option<u16> {
    name.as_str()?.strip_prefix('n')?.parse().ok()
}

/// Moments at which a well front was held for dead by a well one; once in 5 s for each.
pub fn deaths(history: &[(Moment, Entry)], well: &Wellness) -> Vec<(Moment, u16, u16)> {
    let mut last: HashMap<u16, Moment> = HashMap::new();
    said(history, "member")
        .filter(|(_, n)| n.fields["to"] == "dead")
        .filter_map(|(at, n)| Some((at, n.front, index(&n.fields["front"])?)))
        .filter(|(at, by, of)| well.well(*of, *at) && well.well(*by, *at))
        .filter(|(at, _, of)| last.insert(*of, *at).is_none_or(|t| at - t > 5_000_000))
        .collect()
}

/// From each death to the first front that holds it for one, and from there to the last well front's view without it.
fn detection(
    script: &Script,
    history: &[(Moment, Entry)],
    deeds: &[(Moment, Act)],
    well: &Wellness,
) -> (Vec<f64>, Vec<f64>) {
    let (mut detect, mut agree) = (Vec::new(), Vec::new());
    for (at, act) in deeds {
        let (Act::Kill { front } | Act::Stop { front }) = act else { continue };
        // Until it is back.
        let back = deeds.iter().find(|(t, a)| {
            t > at && matches!(a, Act::Start { front: f } | Act::Cont { front: f } if f == front)
        });
        let back = back.map_or(Moment::MAX, |(t, _)| *t);
        let name = format!("n{front}");
        let first = said(history, "member").find(|(t, n)| {
            t > at && *t < back && n.fields["to"] == "dead" && n.fields["front"] == name.as_str()
        });
        let Some((first, _)) = first else { continue };
        detect.push((first - at) as f64 / 1000.0);
        if !well.majority(first) {
            continue;
        }
        let others = (0..script.fronts).filter(|f| f != front && well.well(*f, first + 1_000_000));
        for other in others {
            let without = said(history, "view").find(|(t, n)| {
                let members = n.fields["members"].as_str().unwrap_or("");
                n.front == other && *t > *at && *t < back && !members.split(' ').any(|m| m == name)
            });
            if let Some((t, _)) = without {
                agree.push(t.saturating_sub(first) as f64 / 1000.0);
            }
        }
    }
    (detect, agree)
}

/// Of what the limits allow over the span, the share that did not run.
fn idle(script: &Script, seen: &[Seen], span: &Range<Moment>) -> f64 {
    let allowed = LIMIT.0 * (span.end - span.start) as f64 / 1e6 * f64::from(script.volumes);
    let ran: f64 = seen
        .iter()
        .filter(|s| s.ran && s.volume > 0 && s.volume < 10_000 && span.contains(&s.at))
        .map(|s| f64::from(s.units))
        .sum();
    1.0 - ran / allowed.max(1.0)
}

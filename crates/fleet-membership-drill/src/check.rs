//! The checkers: what was promised against what was seen, written apart from the program's code. They know the processes'
//! lines, the nodes' notes and the harness's own deeds, and nothing of the machines.

use lupinrack_fault_injection::checks::{
    cold, duplicates, limits, log_records, lost, quantile, FaultTimeline, Verdict,
};
use lupinrack_fault_injection::history::{Entry, Moment};
use lupinrack_fault_injection::run_record::{NodeAttempt, RunRecord, LIMIT};
use lupinrack_fault_injection::{Act, Script};
use mock_servers::load::RequestOutcome;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Range;

/// What a checker holds of sums beside rounding.
const EPSILON: f64 = 1e-6;
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
    pub fn of(script: &Script, run_record: RunRecord) -> Figures {
        let RunRecord {
            span,
            history,
            injected_acts,
            seen,
            done,
            sent,
            processes,
            cpu_ms,
        } = run_record;
        let (history, injected_acts, seen, done) =
            (&history[..], &injected_acts[..], &seen[..], &done[..]);
        let count =
            |of: fn(&Act) -> bool| injected_acts.iter().filter(|(_, a)| of(a)).count() as u64;
        let seconds = (span.end - span.start).max(1) as f64 / 1e6;
        let well = FaultTimeline::new(script, injected_acts);
        let mut broken = Vec::new();
        let (views, view_conflicts) = views(history, &mut broken);
        let parts_sum_max = parts(script, history, injected_acts, &mut broken);
        let limit_broken = limits(seen, &mut broken);
        let (cold_over, cold_most) = cold(seen, &mut broken);
        let lost = lost(done, &well, &mut broken);
        let duplicates = duplicates(seen, &mut broken);
        let false_deaths = deaths(history, &well).len() as u64;
        let (detect, agree) = detection(script, history, injected_acts, &well);
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
            served: done
                .iter()
                .filter(|(_, c)| *c == RequestOutcome::Served)
                .count() as u64,
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

/// Numbers of views, and numbers under which two lists were accepted.
pub fn views(history: &[(Moment, Entry)], broken: &mut Vec<String>) -> (u64, u64) {
    let mut lists: BTreeMap<String, HashSet<String>> = BTreeMap::new();
    for (_, n) in log_records(history, "view") {
        let text = |name: &str| n.fields[name].as_str().unwrap_or("").to_string();
        lists
            .entry(text("view"))
            .or_default()
            .insert(text("members"));
    }
    let conflicts: Vec<&String> = lists
        .iter()
        .filter(|(_, l)| l.len() > 1)
        .map(|(n, _)| n)
        .collect();
    broken.extend(
        conflicts
            .iter()
            .map(|n| format!("view {n}: two lists, {:?}", lists[*n])),
    );
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
        let factors = fields["factors"]
            .as_str()
            .unwrap_or("")
            .split(' ')
            .filter_map(|pair| {
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
    injected_acts: &[(Moment, Act)],
    broken: &mut Vec<String>,
) -> f64 {
    let mut held: HashMap<(u16, bool), Holds> = HashMap::new();
    let mut most = 0.0_f64;
    let n = f64::from(script.fronts);
    for (at, entry) in history {
        match entry {
            Entry::Logged(note) if note.event == "rights" => {
                held.insert((note.front, note.twin), Holds::read(&note.fields));
            }
            Entry::Running(front, twin, false) => drop(held.remove(&(*front, *twin))),
            _ => continue,
        }
        let of = |front: u16, volume: Option<u64>| -> f64 {
            [false, true]
                .iter()
                .filter_map(|t| held.get(&(front, *t)))
                .map(|h| h.of(*at, volume))
                .sum()
        };
        let cold: f64 = (0..script.fronts).map(|f| of(f, None) / n).sum();
        let mut worst = (cold, "cold budgets".to_string());
        for volume in 0..script.volumes {
            let mut set = script.fronts_of(volume);
            let hosts = set.len() as f64;
            set.extend(injected_acts.iter().filter(|(t, _)| t <= at).filter_map(
                |(_, act)| match act {
                    Act::Joins { volume: v, front } if *v == volume => Some(*front),
                    _ => None,
                },
            ));
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

fn index(name: &Value) -> Option<u16> {
    name.as_str()?.strip_prefix('n')?.parse().ok()
}

/// Moments at which a well front was held for dead by a well one; once in 5 s for each.
pub fn deaths(history: &[(Moment, Entry)], well: &FaultTimeline) -> Vec<(Moment, u16, u16)> {
    let mut last: HashMap<u16, Moment> = HashMap::new();
    log_records(history, "member")
        .filter(|(_, n)| n.fields["to"] == "dead")
        .filter_map(|(at, n)| Some((at, n.front, index(&n.fields["front"])?)))
        .filter(|(at, by, of)| well.is_healthy(*of, *at) && well.is_healthy(*by, *at))
        .filter(|(at, _, of)| last.insert(*of, *at).is_none_or(|t| at - t > 5_000_000))
        .collect()
}

/// From each death to the first front that holds it for one, and from there to the last well front's view without it.
fn detection(
    script: &Script,
    history: &[(Moment, Entry)],
    injected_acts: &[(Moment, Act)],
    well: &FaultTimeline,
) -> (Vec<f64>, Vec<f64>) {
    let (mut detect, mut agree) = (Vec::new(), Vec::new());
    for (at, act) in injected_acts {
        let (Act::Kill { front } | Act::Stop { front }) = act else {
            continue;
        };
        // Until it is back.
        let back = injected_acts.iter().find(|(t, a)| {
            t > at && matches!(a, Act::Start { front: f } | Act::Cont { front: f } if f == front)
        });
        let back = back.map_or(Moment::MAX, |(t, _)| *t);
        let name = format!("n{front}");
        let first = log_records(history, "member").find(|(t, n)| {
            t > at && *t < back && n.fields["to"] == "dead" && n.fields["front"] == name.as_str()
        });
        let Some((first, _)) = first else { continue };
        detect.push((first - at) as f64 / 1000.0);
        if !well.majority_running(first) {
            continue;
        }
        let others =
            (0..script.fronts).filter(|f| f != front && well.is_healthy(*f, first + 1_000_000));
        for other in others {
            let without = log_records(history, "view").find(|(t, n)| {
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
fn idle(script: &Script, seen: &[NodeAttempt], span: &Range<Moment>) -> f64 {
    let allowed = LIMIT.0 * (span.end - span.start) as f64 / 1e6 * f64::from(script.volumes);
    let ran: f64 = seen
        .iter()
        .filter(|s| s.ran && s.volume > 0 && s.volume < 10_000 && span.contains(&s.at))
        .map(|s| f64::from(s.units))
        .sum();
    1.0 - ran / allowed.max(1.0)
}

//! Checks the guarantees of the membership against what was observed: the log lines of the processes, the requests that reached the
//! nodes, and the faults that were injected. It shares no code with the state machines, so that a bug there cannot hide itself.

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

/// The rounding error allowed in a sum of shares.
const EPSILON: f64 = 1e-6;
/// The report of a script.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DrillReport {
    /// The script's name.
    pub script: String,
    /// Its seed.
    pub seed: u64,
    /// Processes started.
    pub processes: u64,
    /// Processes killed.
    pub kills: u64,
    /// Processes suspended.
    pub pauses: u64,
    /// Network partitions, muted fronts and cut paths.
    pub partitions: u64,
    /// Requests.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Views that any front accepted.
    pub views: u64,
    /// View numbers with more than one member list. Must be 0.
    pub view_conflicts: u64,
    /// Volumes whose limit, with its tolerance, was exceeded. Must be 0.
    pub limit_broken: u64,
    /// The largest sum of all fronts' shares of one limit at any time, as a fraction of that limit. Must not be above 1.
    pub parts_sum_max: f64,
    /// Seconds in which a node in slow start got more load than it can bear. Must be 0.
    pub cold_over: u64,
    /// The largest load of a node in slow start within a second, as a fraction of what it can bear. `cold_over` counts seconds above 1.
    pub cold_most: f64,
    /// Repeated writes that a node dropped; without that they would have run twice.
    pub repeats: u64,
    /// Requests without a response at fronts without a fault. Must be 0.
    pub lost: u64,
    /// Writes that ran twice. Must be 0.
    pub duplicates: u64,
    /// Fronts declared dead while they ran and reached a majority.
    pub false_deaths: u64,
    /// Time from a front's death until the first other front declares it dead, in milliseconds: median.
    pub detect_ms_p50: f64,
    /// The same, 99th percentile.
    pub detect_ms_p99: f64,
    /// Time from there until every healthy front accepted a view without it, in milliseconds: 99th percentile.
    pub agree_ms_p99: f64,
    /// The fraction of the limits that was not used, although clients requested all of it.
    pub idle_limit_share: f64,
    /// Bytes of datagrams that a front sent per second.
    pub bytes_per_front_s: f64,
    /// Datagrams that a front sent per second.
    pub datagrams_per_front_s: f64,
    /// CPU time of the processes that ran to the end, divided by all requests, in microseconds.
    pub cpu_us_per_request: f64,
    /// A message for each violated guarantee.
    pub broken: Vec<String>,
}

impl DrillReport {
    /// An error with all messages if a guarantee was violated.
    pub fn verdict(&self) -> Verdict {
        if self.broken.is_empty() {
            Ok(())
        } else {
            Err(self.broken.clone())
        }
    }

    /// Checks what was observed while a script ran.
    pub fn new(script: &Script, run_record: RunRecord) -> DrillReport {
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
        let count = |matches: fn(&Act) -> bool| {
            injected_acts.iter().filter(|(_, act)| matches(act)).count() as u64
        };
        let seconds = (span.end - span.start).max(1) as f64 / 1e6;
        let well = FaultTimeline::new(script, injected_acts);
        let mut broken = Vec::new();
        let (views, view_conflicts) = count_views(history, &mut broken);
        let parts_sum_max = max_share_sum(script, history, injected_acts, &mut broken);
        let limit_broken = limits(seen, &mut broken);
        let (cold_over, cold_most) = cold(seen, &mut broken);
        let lost = lost(done, &well, &mut broken);
        let duplicates = duplicates(seen, &mut broken);
        let false_deaths = false_deaths(history, &well).len() as u64;
        let (detect_ms, agree_ms) = detection_times(script, history, injected_acts, &well);
        let per_front_s = |total: u64| total as f64 / sent.len().max(1) as f64 / seconds;
        DrillReport {
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
            detect_ms_p50: quantile(&detect_ms, 0.5),
            detect_ms_p99: quantile(&detect_ms, 0.99),
            agree_ms_p99: quantile(&agree_ms, 0.99),
            idle_limit_share: unused_limit_share(script, seen, &span),
            bytes_per_front_s: per_front_s(sent.iter().map(|(_, bytes)| bytes).sum()),
            datagrams_per_front_s: per_front_s(sent.iter().map(|(datagrams, _)| datagrams).sum()),
            cpu_us_per_request: cpu_ms * 1000.0 / done.len().max(1) as f64,
            broken,
        }
    }
}

/// The number of accepted view numbers, and of those with more than one member list.
pub fn count_views(history: &[(Moment, Entry)], violations: &mut Vec<String>) -> (u64, u64) {
    let mut member_lists: BTreeMap<String, HashSet<String>> = BTreeMap::new();
    for (_, note) in log_records(history, "view") {
        let text = |name: &str| note.fields[name].as_str().unwrap_or("").to_string();
        member_lists
            .entry(text("view"))
            .or_default()
            .insert(text("members"));
    }
    let conflicts: Vec<&String> = member_lists
        .iter()
        .filter(|(_, lists)| lists.len() > 1)
        .map(|(number, _)| number)
        .collect();
    violations.extend(conflicts.iter().map(|number| {
        format!(
            "view {number} has several member lists: {:?}",
            member_lists[*number]
        )
    }));
    (member_lists.len() as u64, conflicts.len() as u64)
}

/// What one process may use, as it logged it.
#[derive(Clone, Default)]
struct LoggedShares {
    valid_until: Moment,
    reserve: f64,
    slow_start: f64,
    volume_factors: HashMap<u64, f64>,
    default_volume_factor: f64,
}

impl LoggedShares {
    fn parse(fields: &Value) -> LoggedShares {
        let factors = fields["factors"]
            .as_str()
            .unwrap_or("")
            .split(' ')
            .filter_map(|pair| {
                let (volume, factor) = pair.split_once(':')?;
                Some((u64::from_str_radix(volume, 16).ok()?, factor.parse().ok()?))
            });
        LoggedShares {
            valid_until: fields["until_unix_us"].as_u64().unwrap_or(0),
            reserve: fields["reserve"].as_f64().unwrap_or(0.0),
            slow_start: fields["cold"].as_f64().unwrap_or(0.0),
            volume_factors: factors.collect(),
            default_volume_factor: fields["rest"].as_f64().unwrap_or(1.0),
        }
    }

    fn factor(&self, at: Moment, volume: Option<u64>) -> f64 {
        match volume {
            _ if at >= self.valid_until => self.reserve,
            None => self.slow_start,
            Some(volume) => self
                .volume_factors
                .get(&volume)
                .copied()
                .unwrap_or(self.default_volume_factor),
        }
    }
}

/// The largest sum of shares at any time, as a fraction of the limit: of all fronts for the slow-start budgets, and of the fronts of a
/// volume for its limit.
pub fn max_share_sum(
    script: &Script,
    history: &[(Moment, Entry)],
    injected_acts: &[(Moment, Act)],
    violations: &mut Vec<String>,
) -> f64 {
    let mut shares: HashMap<(u16, bool), LoggedShares> = HashMap::new();
    let mut max_sum = 0.0_f64;
    let front_count = f64::from(script.fronts);
    for (at, entry) in history {
        match entry {
            Entry::Logged(note) if note.event == "rights" => {
                shares.insert((note.front, note.twin), LoggedShares::parse(&note.fields));
            }
            Entry::Running(front, twin, false) => drop(shares.remove(&(*front, *twin))),
            _ => continue,
        }
        let factor = |front: u16, volume: Option<u64>| -> f64 {
            [false, true]
                .iter()
                .filter_map(|twin| shares.get(&(front, *twin)))
                .map(|share| share.factor(*at, volume))
                .sum()
        };
        let slow_start: f64 = (0..script.fronts)
            .map(|front| factor(front, None) / front_count)
            .sum();
        let mut largest = (slow_start, "slow-start budgets".to_string());
        for volume in 0..script.volumes {
            let mut fronts = script.fronts_of(volume);
            let hosts = fronts.len() as f64;
            fronts.extend(
                injected_acts
                    .iter()
                    .filter(|(acted_at, _)| acted_at <= at)
                    .filter_map(|(_, act)| match act {
                        Act::Joins {
                            volume: joined,
                            front,
                        } if *joined == volume => Some(*front),
                        _ => None,
                    }),
            );
            let id = u64::from(volume) + 1;
            let sum: f64 = fronts
                .iter()
                .map(|front| factor(*front, Some(id)) / hosts)
                .sum();
            if sum > largest.0 {
                largest = (sum, format!("volume {id}"));
            }
        }
        if largest.0 > 1.0 + EPSILON && largest.0 > max_sum + EPSILON {
            violations.push(format!(
                "{:.4} times the limit of {} is in use at {at}",
                largest.0, largest.1
            ));
        }
        max_sum = max_sum.max(largest.0);
    }
    max_sum
}

fn front_index(name: &Value) -> Option<u16> {
    name.as_str()?.strip_prefix('n')?.parse().ok()
}

/// When a healthy front declared another healthy one dead, with the indexes of both; at most once in 5 s for each front.
pub fn false_deaths(history: &[(Moment, Entry)], well: &FaultTimeline) -> Vec<(Moment, u16, u16)> {
    let mut last: HashMap<u16, Moment> = HashMap::new();
    log_records(history, "member")
        .filter(|(_, note)| note.fields["to"] == "dead")
        .filter_map(|(at, note)| Some((at, note.front, front_index(&note.fields["front"])?)))
        .filter(|(at, by, front)| well.is_healthy(*front, *at) && well.is_healthy(*by, *at))
        .filter(|(at, _, front)| {
            last.insert(*front, *at)
                .is_none_or(|previous| at - previous > 5_000_000)
        })
        .collect()
}

/// In milliseconds: from each death until the first front declares it, and from there until each healthy front accepts a view without
/// the dead one.
fn detection_times(
    script: &Script,
    history: &[(Moment, Entry)],
    injected_acts: &[(Moment, Act)],
    well: &FaultTimeline,
) -> (Vec<f64>, Vec<f64>) {
    let (mut detect_ms, mut agree_ms) = (Vec::new(), Vec::new());
    for (at, act) in injected_acts {
        let (Act::Kill { front } | Act::Stop { front }) = act else {
            continue;
        };
        let returned = injected_acts.iter().find(|(acted_at, act)| {
            acted_at > at
                && matches!(act, Act::Start { front: f } | Act::Cont { front: f } if f == front)
        });
        let returned_at = returned.map_or(Moment::MAX, |(acted_at, _)| *acted_at);
        let name = format!("n{front}");
        let declared = log_records(history, "member").find(|(logged_at, note)| {
            logged_at > at
                && *logged_at < returned_at
                && note.fields["to"] == "dead"
                && note.fields["front"] == name.as_str()
        });
        let Some((declared_at, _)) = declared else {
            continue;
        };
        detect_ms.push((declared_at - at) as f64 / 1000.0);
        if !well.majority_running(declared_at) {
            continue;
        }
        let others = (0..script.fronts)
            .filter(|other| other != front && well.is_healthy(*other, declared_at + 1_000_000));
        for other in others {
            let view_without = log_records(history, "view").find(|(logged_at, note)| {
                let members = note.fields["members"].as_str().unwrap_or("");
                note.front == other
                    && *logged_at > *at
                    && *logged_at < returned_at
                    && !members.split(' ').any(|member| member == name)
            });
            if let Some((accepted_at, _)) = view_without {
                agree_ms.push(accepted_at.saturating_sub(declared_at) as f64 / 1000.0);
            }
        }
    }
    (detect_ms, agree_ms)
}

/// The fraction of what the limits allow in the span that was not used.
fn unused_limit_share(script: &Script, seen: &[NodeAttempt], span: &Range<Moment>) -> f64 {
    let allowed_units = LIMIT.0 * (span.end - span.start) as f64 / 1e6 * f64::from(script.volumes);
    let used_units: f64 = seen
        .iter()
        .filter(|s| s.ran && s.volume > 0 && s.volume < 10_000 && span.contains(&s.at))
        .map(|s| f64::from(s.units))
        .sum();
    1.0 - used_units / allowed_units.max(1.0)
}

//! Finds out why tasks wait, and since when each server has been left out.

use crate::placement::demand::Demand;
use crate::placement::exclusion::ExclusionFinder;
use crate::placement::planner::Planner;
use crate::run_tracker::RunTracker;
use crate::runs::run::{Run, RunPhase};
use crate::servers::table::ServerTable;
use crate::wait_report::{ExcludedServers, Exclusion, UnlistedStarts, WaitReport, WaitingStep};
use lupinrack_cluster_api::identity::{JobId, ServerId};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// A step is reported after it has been waiting for this long, in milliseconds.
const MIN_REPORTED_WAIT_MS: u64 = 2_000;
/// Interval between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Maximum number of steps in one report.
const MAX_REPORTED_STEPS: usize = 4;

/// Identifies a step of one occurrence of a job.
type StepKey = (JobId, u32, u32);

/// Why one server is left out, and since when.
#[derive(Clone, Copy, Debug)]
struct ServerState {
    reason: Exclusion,
    since: Millis,
}

/// The schedule of the reports, and for the reported steps since when each server has been left out.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitLog {
    last_report_at: Option<Millis>,
    /// Since when the owner has had no authority.
    without_authority_since: Option<Millis>,
    states: BTreeMap<StepKey, BTreeMap<ServerId, ServerState>>,
}

impl WaitLog {
    /// Notes whether the owner has authority in this round.
    pub(crate) fn note_authority(&mut self, has_authority: bool, now: Millis) {
        self.without_authority_since = match self.without_authority_since {
            _ if has_authority => None,
            Some(since) => Some(since),
            None => Some(now),
        };
    }

    /// Whether the next report is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.last_report_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL_MS)
    }

    /// The report of a round without a placement pass; `None` if there is nothing to say.
    pub(crate) fn report_starts(
        &mut self,
        tracker: &RunTracker,
        servers: &ServerTable,
        now: Millis,
    ) -> Option<WaitReport> {
        self.last_report_at = Some(now);
        self.states.clear();
        let report = WaitReport {
            starts: unlisted_starts(tracker.runs.iter(), now),
            without_authority_ms: self.without_authority_ms(now),
            sessions: servers.session_count(),
            ..WaitReport::default()
        };
        is_worth_a_report(&report).then_some(report)
    }

    /// The report of a placement pass that has ended; `None` if no task has waited for long.
    pub(crate) fn report_pass(
        &mut self,
        planner: &Planner<'_>,
        demands: &[Demand<'_>],
        servers: &ServerTable,
    ) -> Option<WaitReport> {
        let now = planner.now;
        self.last_report_at = Some(now);
        let mut waiting: Vec<(u64, &Demand<'_>)> = demands
            .iter()
            .filter(|demand| demand.tasks().any(|task| !planner.runs.contains(task)))
            .map(|demand| (now.since(demand.ready.since), demand))
            .filter(|(waited_ms, _)| *waited_ms >= MIN_REPORTED_WAIT_MS)
            .collect();
        waiting.sort_by(|(a, _), (b, _)| b.cmp(a));
        let more_steps = waiting.len().saturating_sub(MAX_REPORTED_STEPS);
        waiting.truncate(MAX_REPORTED_STEPS);
        let previous = std::mem::take(&mut self.states);
        let steps = waiting
            .into_iter()
            .map(|(waited_ms, demand)| {
                let key = (demand.id, demand.ready.occurrence, demand.ready.step);
                let states = server_states(planner, demand, servers, previous.get(&key));
                let step = waiting_step(planner, demand, waited_ms, &states);
                self.states.insert(key, states);
                step
            })
            .collect();
        let report = WaitReport {
            steps,
            more_steps,
            starts: unlisted_starts(planner.runs.iter(), now),
            without_authority_ms: self.without_authority_ms(now),
            sessions: servers.session_count(),
        };
        is_worth_a_report(&report).then_some(report)
    }

    fn without_authority_ms(&self, now: Millis) -> u64 {
        self.without_authority_since
            .map_or(0, |since| now.since(since))
    }
}

fn is_worth_a_report(report: &WaitReport) -> bool {
    let UnlistedStarts {
        proposed_ms,
        recorded_ms,
        ..
    } = report.starts;
    let longest_ms = proposed_ms
        .max(recorded_ms)
        .max(report.without_authority_ms);
    !report.steps.is_empty() || longest_ms >= MIN_REPORTED_WAIT_MS
}

/// Why each server of the service does not start a task of the demand. A server keeps the time since
/// which it has been left out for the same reason.
fn server_states(
    planner: &Planner<'_>,
    demand: &Demand<'_>,
    servers: &ServerTable,
    previous: Option<&BTreeMap<ServerId, ServerState>>,
) -> BTreeMap<ServerId, ServerState> {
    let finder = ExclusionFinder::new(planner, demand);
    let candidates: BTreeMap<&ServerId, usize> = planner
        .candidates
        .iter()
        .map(|candidate| &candidate.server)
        .zip(0..)
        .collect();
    let timeout_ms = planner.settings.heartbeat_timeout_ms;
    servers
        .iter()
        .map(|(id, server)| {
            let unschedulable = server.unschedulable_reason(planner.now, timeout_ms);
            let reason = match candidates.get(id) {
                Some(index) => finder.reason(*index),
                None => unschedulable.unwrap_or(Exclusion::Able),
            };
            let since = previous
                .and_then(|states| states.get(id))
                .filter(|state| state.reason == reason)
                .map_or(planner.now, |state| state.since);
            let since = match reason {
                Exclusion::NoSession | Exclusion::NotHeardFrom => server.last_contact.min(since),
                _ => since,
            };
            (id.clone(), ServerState { reason, since })
        })
        .collect()
}

fn waiting_step(
    planner: &Planner<'_>,
    demand: &Demand<'_>,
    waited_ms: u64,
    states: &BTreeMap<ServerId, ServerState>,
) -> WaitingStep {
    let unplaced = |task| !planner.runs.contains(task);
    let queued = |task| planner.queues.contains(task);
    let mut servers: BTreeMap<Exclusion, ExcludedServers> = BTreeMap::new();
    for (id, state) in states {
        let excluded_ms = planner.now.since(state.since);
        let excluded = servers.entry(state.reason).or_insert(ExcludedServers {
            count: 0,
            longest: id.clone(),
            longest_ms: excluded_ms,
        });
        excluded.count += 1;
        if excluded_ms > excluded.longest_ms {
            excluded.longest = id.clone();
            excluded.longest_ms = excluded_ms;
        }
    }
    WaitingStep {
        job: demand.id,
        occurrence: demand.ready.occurrence,
        step: demand.ready.step,
        tasks: demand.tasks().filter(|task| unplaced(*task)).count(),
        queued: demand.tasks().filter(|task| queued(*task)).count(),
        is_gang: demand.step.gang,
        waited_ms,
        servers,
    }
}

fn unlisted_starts<'a>(runs: impl Iterator<Item = &'a Run>, now: Millis) -> UnlistedStarts {
    let mut starts = UnlistedStarts::default();
    let unlisted = runs.filter(|run| run.running_since.is_none() && !run.ended);
    for run in unlisted {
        let waited_ms = now.since(run.progressed_at);
        match run.phase {
            RunPhase::Proposed => {
                starts.proposed += 1;
                starts.proposed_ms = starts.proposed_ms.max(waited_ms);
            }
            RunPhase::Recorded => {
                starts.recorded += 1;
                starts.recorded_ms = starts.recorded_ms.max(waited_ms);
            }
        }
    }
    starts
}

//! Preemption: room is made for the most urgent work where less urgent work can continue later from a checkpoint.

use crate::estimator::rest_ms;
use crate::eviction::unclaimed::Spare;
use crate::placement::planner::Demand;
use crate::resources::{difference, fits, sum};
use crate::runs::table::{Run, StopReason};
use crate::scheduler::Scheduler;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// Only work of this priority preempts.
const PREEMPTING_PRIORITY: u32 = 0;
/// Tasks that room is made for in one round, at most.
const TASKS_MOST: usize = 32;

/// Runs on one server that would make room.
struct Victims {
    place: usize,
    tasks: Vec<TaskId>,
    room: Resources,
    lost_ms: u64,
}

impl Scheduler {
    /// Stops runs for the most urgent tasks that have waited in vain, as few as make room for them.
    pub(crate) fn preempt(&mut self, demands: &[Demand<'_>], mut spare: Spare, now: Millis) {
        let waiting = self.waiting_in_vain(demands, now);
        if waiting.is_empty() {
            return;
        }
        self.add_room_soon_free(&mut spare, now);
        for demand in waiting {
            let needs = &demand.step.needs;
            if spare.claim(needs, &demand.step.requires) {
                continue;
            }
            let Some(victims) = self.cheapest_victims(demand, &spare, now) else {
                continue;
            };
            let row = &mut spare.rows[victims.place];
            row.left = difference(&sum(&row.left, &victims.room), needs);
            victims
                .tasks
                .into_iter()
                .for_each(|task| self.stop_run(task, StopReason::Preempted));
        }
    }

    /// The demands of tasks that may preempt, one for each task.
    fn waiting_in_vain<'d, 'a>(
        &self,
        demands: &'d [Demand<'a>],
        now: Millis,
    ) -> Vec<&'d Demand<'a>> {
        let urgent = demands.iter().filter(|demand| {
            let waited_ms = now.since(demand.ready.since);
            demand.job.priority == PREEMPTING_PRIORITY
                && !demand.rank.hopeless
                && waited_ms >= self.settings.preempt_after_ms
        });
        let tasks = urgent.flat_map(|demand| {
            let waiting = demand
                .ready
                .indices
                .iter()
                .filter(|index| !self.runs.contains(demand.task(**index)));
            waiting.map(move |_| demand)
        });
        tasks.take(TASKS_MOST).collect()
    }

    /// Adds what is being stopped, and what ends by itself as soon as a stop would take.
    fn add_room_soon_free(&self, spare: &mut Spare, now: Millis) {
        for run in self.runs.iter().filter(|run| !run.ended) {
            if rest_ms(run, &self.durations, &self.settings, now) <= self.settings.max_stop_ms {
                spare.add(&run.server, &run.traits.needs);
            }
        }
    }

    fn cheapest_victims(&self, demand: &Demand<'_>, spare: &Spare, now: Millis) -> Option<Victims> {
        let able = spare.rows.iter().enumerate().filter(|(_, spare)| {
            !spare.row.suspected
                && spare.row.has_label(&demand.step.requires)
                && fits(&demand.step.needs, &spare.row.facts.capacity)
        });
        let victims = able.filter_map(|(place, spare)| {
            self.victims_on(
                place,
                &spare.row.server,
                &spare.left,
                &demand.step.needs,
                now,
            )
        });
        victims.min_by_key(|victims| (victims.lost_ms, victims.tasks.len()))
    }

    /// The runs on a server that lose least, as many as make room for `needs`.
    fn victims_on(
        &self,
        place: usize,
        server: &ServerId,
        left: &Resources,
        needs: &Resources,
        now: Millis,
    ) -> Option<Victims> {
        let mut able: Vec<&Run> = self
            .runs
            .of_server(server)
            .filter(|run| self.may_stop(run, now))
            .collect();
        let lost_ms = |run: &Run| now.since(run.saved_at);
        able.sort_by_key(|run| {
            (
                std::cmp::Reverse(run.traits.priority),
                lost_ms(run),
                run.task,
            )
        });
        let mut victims = Victims {
            place,
            tasks: Vec::new(),
            room: Resources::default(),
            lost_ms: 0,
        };
        for run in able {
            if fits(needs, &sum(left, &victims.room)) {
                break;
            }
            victims.room = sum(&victims.room, &run.traits.needs);
            victims.lost_ms += lost_ms(run);
            victims.tasks.push(run.task);
        }
        fits(needs, &sum(left, &victims.room)).then_some(victims)
    }

    /// Whether a run may give way: it continues later from its checkpoint, and would not end by itself as soon.
    fn may_stop(&self, run: &Run, now: Millis) -> bool {
        run.is_wanted()
            && run.running_since.is_some()
            && run.traits.priority > PREEMPTING_PRIORITY
            && run.traits.checkpoints
            && !run.traits.gang
            && !run.traits.long_running
            && rest_ms(run, &self.durations, &self.settings, now) > self.settings.max_stop_ms
    }
}

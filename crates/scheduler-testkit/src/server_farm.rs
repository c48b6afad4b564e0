//! The servers of a simulation: starts, progress, ends, gangs and crashes of them.

mod step;

use crate::gangs::{GangId, Gangs};
use crate::heartbeat_response::{HeartbeatResponse, StartCommand};
use crate::idle_jobs::OpenServer;
use crate::model_server::{ModelServer, ServerEnd, ServerSettings};
use crate::observed_start::ObservedStart;
use crate::server_run::{RunPlan, ServerRun};
use crate::step_context::StepContext;
use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::server::{RunEnd, ServerFacts};
use std::ops::Range;

/// The delay from the order to stop a run to its end, in milliseconds.
const STOP_DELAY_MS: Range<u64> = 20..400;

/// How a simulation's servers are created.
#[derive(Clone, Copy, Debug)]
pub struct FarmSettings {
    /// The description of the server in a slot, by slot and incarnation.
    pub facts: fn(usize, u64) -> ServerFacts,
    /// How the servers process responses.
    pub server: ServerSettings,
}

/// The place of one server, with one incarnation after the other.
#[derive(Clone, Debug)]
struct ServerSlot {
    /// The server; `None` while it is down.
    server: Option<ModelServer>,
    /// The server's incarnation; the last one while it is down.
    incarnation: u64,
    /// When the next incarnation starts, while the server is down.
    returns_at: Option<u64>,
}

/// A server that has drained and shut down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deregistration {
    /// The server's slot.
    pub slot: usize,
    /// The server's identity.
    pub server: ServerId,
}

/// The servers of a simulation.
#[derive(Clone, Debug)]
pub struct ServerFarm {
    settings: FarmSettings,
    slots: Vec<ServerSlot>,
    gangs: Gangs,
}

impl ServerFarm {
    /// A farm without servers.
    pub fn new(settings: FarmSettings) -> ServerFarm {
        ServerFarm {
            settings,
            slots: Vec::new(),
            gangs: Gangs::default(),
        }
    }

    /// Adds a slot whose first server has this incarnation and starts at `begins_at`.
    pub fn add_slot(&mut self, incarnation: u64, begins_at: u64) {
        let slot = self.slots.len();
        self.slots.push(ServerSlot {
            server: Some(self.new_server(slot, incarnation, begins_at)),
            incarnation,
            returns_at: None,
        });
    }

    /// The number of slots. Slots are numbered from 0.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The incarnation of a slot's server; the last one while the server is down.
    pub fn incarnation(&self, slot: usize) -> u64 {
        self.slots[slot].incarnation
    }

    /// The server of a slot, if it is up.
    pub fn server(&self, slot: usize) -> Option<&ModelServer> {
        self.slots[slot].server.as_ref()
    }

    /// The servers that accept new runs.
    pub fn open_servers(&self) -> Vec<OpenServer<'_>> {
        let servers = self.slots.iter().filter_map(|slot| slot.server.as_ref());
        servers
            .filter(|server| server.draining_since().is_none())
            .map(|server| OpenServer {
                capacity: server.facts().capacity,
                used: server.used(),
                labels: &server.facts().labels,
            })
            .collect()
    }

    /// The server of a slot, if it is up.
    pub fn server_mut(&mut self, slot: usize) -> Option<&mut ModelServer> {
        self.slots[slot].server.as_mut()
    }

    /// Replaces a slot's server by its next incarnation. The present one may be up or down.
    pub fn restart(&mut self, slot: usize, now: u64) {
        let incarnation = self.slots[slot].incarnation + 1;
        let server = self.new_server(slot, incarnation, now);
        self.slots[slot] = ServerSlot {
            server: Some(server),
            incarnation,
            returns_at: None,
        };
    }

    /// Crashes the server of a slot with all its runs. It returns after `returns_after_ms` as a new incarnation.
    pub fn crash(&mut self, slot: usize, returns_after_ms: u64, context: &mut StepContext<'_>) {
        let incarnation = self.slots[slot].incarnation;
        let Some(server) = self.slots[slot].server.take() else {
            return;
        };
        for (task, run) in server.runs {
            context.oracle.observe_run_end(task, slot, incarnation);
            if run.gang {
                self.end_gang_member(task, run.attempt, RunEnd::LeaseExpired, context);
            }
        }
        self.slots[slot].returns_at = Some(context.now + returns_after_ms);
    }

    /// Delivers the response to a heartbeat of this incarnation to the server of a slot.
    pub fn receive_response(
        &mut self,
        slot: usize,
        incarnation: u64,
        response: &HeartbeatResponse,
        context: &mut StepContext<'_>,
    ) {
        if self.slots[slot].incarnation != incarnation {
            return;
        }
        let Some(server) = self.slots[slot].server.as_mut() else {
            return;
        };
        if !server.accept_response(response, context.now) {
            return;
        }
        for end in server.remove_observed_ends(response.observed) {
            observe_recorded_end(&end, context);
        }
        for (task, attempt) in &response.stops {
            stop(server, *task, *attempt, context);
        }
        for command in &response.starts {
            self.start(slot, command, context);
        }
    }

    fn new_server(&self, slot: usize, incarnation: u64, begins_at: u64) -> ModelServer {
        let facts = (self.settings.facts)(slot, incarnation);
        ModelServer::new(facts, self.settings.server, begins_at)
    }

    fn start(&mut self, slot: usize, command: &StartCommand, context: &mut StepContext<'_>) {
        let ServerSlot {
            server: Some(server),
            incarnation,
            ..
        } = &mut self.slots[slot]
        else {
            return;
        };
        let (task, attempt) = (command.task, command.attempt);
        if !server.has_lease(context.now) || !server.is_new_attempt(task, attempt) {
            return;
        }
        let observed = ObservedStart {
            now: context.now,
            wall_ms: context.wall_ms,
            slot,
            incarnation: *incarnation,
            task,
            attempt,
            spec: &command.spec,
            checkpoint: &command.checkpoint,
            used: server.used(),
            capacity: server.facts().capacity,
            labels: &server.facts().labels,
            siblings: server.siblings(task),
            draining_since: server.draining_since(),
        };
        context.oracle.observe_start(&observed, context.time_bounds);
        if let Some(run) = new_run(server, command, context) {
            server.runs.insert(task, run);
        }
    }

    /// Records the end of a gang's member. If one member is done, all members are done.
    fn end_gang_member(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        end: RunEnd,
        context: &mut StepContext<'_>,
    ) {
        if end == RunEnd::Done {
            let members = context.oracle.step(task).map_or(0, |step| step.count);
            for index in 0..members {
                context
                    .oracle
                    .observe_done(TaskId { index, ..task }, context.now);
            }
        }
        self.gangs.record_member_end(GangId::of(task, attempt));
    }
}

/// Records that the owner has recorded an end. Ends from before the lease expired are skipped: the owner may have recorded
/// an inferred end in their place.
fn observe_recorded_end(end: &ServerEnd, context: &mut StepContext<'_>) {
    if end.lease_expired_since {
        return;
    }
    let task = end.finished.task;
    match end.finished.end {
        RunEnd::Done => context
            .oracle
            .observe_done_recorded(task, end.ended_at, context.now),
        RunEnd::Failed => context.oracle.observe_failure_recorded(task),
        _ => {}
    }
}

/// Orders a run to stop. It ends after a random delay.
fn stop(server: &mut ModelServer, task: TaskId, attempt: Attempt, context: &mut StepContext<'_>) {
    let run = server.runs.get_mut(&task);
    if let Some(run) = run.filter(|run| run.attempt == attempt) {
        let stops_at = context.now + context.rng.u64(STOP_DELAY_MS);
        run.stops_at.get_or_insert(stops_at);
    }
}

/// The run that a command starts; `None` for an unknown job or step.
fn new_run(
    server: &ModelServer,
    command: &StartCommand,
    context: &StepContext<'_>,
) -> Option<ServerRun> {
    let task = command.task;
    let job = context.oracle.jobs().get(&task.job)?;
    let step = context.oracle.step(task)?;
    let labels = &server.facts().labels;
    let plan = RunPlan {
        work_factor: job.work_factor,
        has_affinity_label: step.affinity.is_empty() || labels.contains(&step.affinity),
        has_injected_failure: context.oracle.failures(task) < job.injected_failures,
    };
    let (attempt, checkpoint) = (command.attempt, &command.checkpoint);
    Some(ServerRun::new(attempt, step, checkpoint, plan, context.now))
}

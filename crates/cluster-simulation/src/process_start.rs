//! Starts the processes of machines: the inputs of each role, and the machines whose core processes found the system.

use crate::faults::schedule::{CATCH_UP_MS, GRACE_MS};
use crate::machine::agent::AgentProcess;
use crate::machine::front::FrontProcess;
use crate::machine::{address_of, Machine, Process, ProcessEvent};
use crate::server::MAX_LEASE_MS;
use crate::world::World;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::core::state_size::max_admitted_bytes;
use lupinrack_cluster_node::core::{CoreMachine, CoreSettings};
use lupinrack_control_store::Recovered;
use lupinrack_scheduler::SchedulerSettings;
use lupinrack_worker_agent::AgentSettings;

/// Retention of ended jobs beyond the length of the run, since the final reads cover all of them, in
/// milliseconds.
const RETENTION_MARGIN_MS: u64 = 60_000;

impl World {
    pub(crate) fn start_machines(&mut self) {
        for machine in 0..self.machines.len() {
            if self.machines[machine]
                .starts_at
                .is_some_and(|at| self.now >= at)
            {
                self.machines[machine].starts_at = None;
                self.start_process(machine);
            }
        }
    }

    fn start_process(&mut self, machine: usize) {
        let incarnation = self.rng.u64(1..);
        let now = self.now;
        let seeds = self.seeds.clone();
        let state = &mut self.machines[machine];
        state.incarnation = incarnation;
        state.clock.began = now;
        state.suspended = false;
        state.inbox.clear();
        let moment = state.clock.read(now);
        let mut disk = None;
        let process = match state.role {
            Role::Frontend => Some(Process::Front(Box::new(
                self.new_front(machine, seeds, moment.now),
            ))),
            Role::Agent => Some(Process::Agent(Box::new(
                self.new_agent(machine, seeds, moment.now),
            ))),
            Role::Core => {
                let recovered = state.disk.contents();
                let id = recovered.disk.unwrap_or_else(|| DiskId(self.rng.u64(1..)));
                disk = Some(id);
                self.new_core(machine, id, recovered)
                    .map(|core| Process::Core(Box::new(core)))
            }
        };
        let role = self.machines[machine].role;
        let address = address_of(machine);
        let hello = Hello {
            address,
            role,
            zone: String::new(),
            incarnation,
            disk,
        };
        self.machines[machine].process = process;
        self.machines[machine].is_new = false;
        let endpoint = &mut self.endpoints[machine];
        endpoint.running = true;
        endpoint.powered = true;
        endpoint.hello = Frame::Hello(hello);
        self.dispatch(machine, ProcessEvent::Tick);
    }

    fn new_front(&self, machine: usize, seeds: Vec<PeerAddress>, now: Millis) -> FrontProcess {
        FrontProcess::new(self.member(machine), self.live_table(), seeds, now)
    }

    fn new_agent(&self, machine: usize, seeds: Vec<PeerAddress>, now: Millis) -> AgentProcess {
        AgentProcess::new(
            self.member(machine),
            self.live_table(),
            seeds,
            agent_settings(),
            now,
        )
    }

    fn member(&self, machine: usize) -> LiveMember {
        let Machine {
            role, incarnation, ..
        } = self.machines[machine];
        LiveMember {
            address: address_of(machine),
            role,
            zone: String::new(),
            process_incarnation: incarnation,
        }
    }

    /// All fronts that were not removed, including those that are down or partitioned off.
    fn live_table(&self) -> LiveTable {
        let listed = self.fronts().filter(|front| !self.machines[*front].removed);
        LiveTable::new(listed.map(|front| self.member(front)).collect())
    }

    fn new_core(
        &mut self,
        machine: usize,
        disk: DiskId,
        recovered: Recovered,
    ) -> Option<CoreMachine> {
        let seeds = self.seeds.clone();
        let founders = if self.founds_system(machine) {
            seeds.clone()
        } else {
            Vec::new()
        };
        let config = CoreSettings {
            name: format!("core-{machine}"),
            me: Voter {
                disk,
                address: address_of(machine),
                zone: String::new(),
            },
            incarnation: self.machines[machine].incarnation,
            founders,
            seeds,
            tolerated_losses: self.config.tolerance,
            catch_up_ms: CATCH_UP_MS,
            grace_ms: GRACE_MS,
            remember_ms: self.config.traffic_ms + self.config.finish_ms + RETENTION_MARGIN_MS,
            scheduler: SchedulerSettings {
                lease_ms: MAX_LEASE_MS,
                ..SchedulerSettings::default()
            },
            sync_ms: self.config.sync_ms.unwrap_or(0),
            log_bytes: self.config.log_bytes(),
            admitted_state_bytes: max_admitted_bytes(0, 0),
        };
        let moment = self.machines[machine].clock.read(self.now);
        match CoreMachine::new(config, recovered, moment) {
            Ok(core) => Some(core),
            Err(error) => {
                self.oracle
                    .report_violation(self.now, &format!("core {machine} does not start: {error}"));
                None
            }
        }
    }

    /// Whether a core process may found the system: on its first start, if it is one of the first seeds.
    fn founds_system(&self, machine: usize) -> bool {
        let first = machine < self.config.cores && self.machines[machine].is_new;
        first && self.seeds.contains(&address_of(machine))
    }
}

fn agent_settings() -> AgentSettings {
    AgentSettings {
        lease_max_ms: MAX_LEASE_MS,
        heartbeat_ms: 1_000,
        idle_heartbeat_ms: 400,
        busy_heartbeat_ms: 100,
    }
}

//! The encoded size of the replicated state, including space reserved for what accepted jobs will still record.

use lupinrack_cluster_api::job::JobSpec;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, Operation};
use lupinrack_control_state::{ControlState, JobRecord};

/// Size of the fields of a job's record other than its specification, in bytes.
const JOB_BYTES: u64 = 256;
/// Size of a step without its strings, in bytes.
const STEP_BYTES: u64 = 96;
/// Size of a task's record, in bytes: its state, its server, its attempts and the identity of its checkpoint.
const TASK_BYTES: u64 = 128;
/// The state contains a configuration twice: as it was sent, and parsed.
const CONFIGURATION_COPIES: u64 = 2;

/// Bytes in a megabyte, the unit of machine sizes in the settings.
const MEGABYTE: u64 = 1_000_000;
/// The state may take this fraction of a machine's memory: the state in memory, its encoding for a snapshot, and the
/// copies for a joining disk together take several times the encoded size.
const MEMORY_DIVISOR: u64 = 8;
/// The state may take this fraction of a machine's disk: two snapshots and the log at twice its size limit have to fit,
/// with space left for operations that are always accepted.
const DISK_DIVISOR: u64 = 5;
/// The limit on a machine of unknown size, in bytes.
const DEFAULT_MAX_STATE_BYTES: u64 = 32 * MEGABYTE;

/// The size limit of the state up to which new work is admitted, in bytes, on a machine with this memory and disk. A
/// size of 0 megabytes means that it is unknown.
pub fn max_admitted_bytes(memory_mb: u64, disk_mb: u64) -> u64 {
    let fraction = |megabytes: u64, divisor: u64| match megabytes {
        0 => DEFAULT_MAX_STATE_BYTES,
        known => known.saturating_mul(MEGABYTE) / divisor,
    };
    fraction(memory_mb, MEMORY_DIVISOR).min(fraction(disk_mb, DISK_DIVISOR))
}

/// The size of the state in bytes: exact at the last snapshot, plus an upper bound for the changes since.
#[derive(Clone, Copy, Debug, Default)]
pub struct StateSize {
    /// Size of the last snapshot.
    snapshot: u64,
    /// Reserved for jobs that were accepted since, and for what the jobs in the snapshot will still record.
    job_reserve: u64,
    /// Reserved for configuration changes since the snapshot.
    configuration_reserve: u64,
}

impl StateSize {
    /// Sets the exact size after the state was encoded for a snapshot.
    pub fn measure(&mut self, state: &ControlState, encoded_bytes: usize) {
        self.snapshot = encoded_bytes as u64;
        let open = state.jobs().values().filter(|job| job.is_open());
        self.job_reserve = open.map(unrecorded_bytes).sum();
        self.configuration_reserve = 0;
    }

    /// Adds the size that an applied operation reserves.
    pub fn applied(&mut self, operation: &Operation) {
        let bytes = reserved_bytes(operation);
        match operation {
            Operation::ChangeConfiguration(ConfigurationChange {
                body: ConfigurationBody::Replacement(_),
                ..
            }) => self.configuration_reserve = bytes,
            Operation::ChangeConfiguration(_) => self.configuration_reserve += bytes,
            _ => self.job_reserve += bytes,
        }
    }

    /// The size of the state including all reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.snapshot + self.job_reserve + self.configuration_reserve
    }
}

/// Upper bound on the growth of the state by a client's operation, in bytes. All other operations report on accepted
/// work, whose growth is included in this reservation.
pub fn reserved_bytes(operation: &Operation) -> u64 {
    match operation {
        Operation::AcceptJob { spec, .. } => job_bytes(spec) + task_bytes(spec),
        Operation::AcceptJobAt { target, spec, .. } => {
            let address_bytes = (target.host.len() + target.path.len()) as u64;
            address_bytes + job_bytes(spec) + task_bytes(spec)
        }
        Operation::ChangeConfiguration(change) => {
            let (ConfigurationBody::Replacement(body) | ConfigurationBody::Patch(body)) =
                &change.body;
            CONFIGURATION_COPIES * body.len() as u64
        }
        _ => 0,
    }
}

fn job_bytes(spec: &JobSpec) -> u64 {
    let steps = spec.steps.len() as u64 * STEP_BYTES;
    JOB_BYTES + spec.spec.len() as u64 + steps
}

/// Size of the task records of one occurrence of the job.
fn task_bytes(spec: &JobSpec) -> u64 {
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.count)).sum();
    tasks.saturating_mul(TASK_BYTES)
}

/// What the tasks of an open job will still record, in bytes, if as many run at once as one occurrence has. Tasks of the
/// only occurrence that have succeeded are never started again.
fn unrecorded_bytes(job: &JobRecord) -> u64 {
    let only = job.occurrences.open().get(&0);
    let remaining = match only.filter(|_| job.occurrence_count() == 1) {
        Some(occurrence) => u64::from(occurrence.open_tasks()) * TASK_BYTES,
        None => task_bytes(&job.spec),
    };
    let recorded = job.started_tasks() * TASK_BYTES;
    remaining.saturating_sub(recorded)
}

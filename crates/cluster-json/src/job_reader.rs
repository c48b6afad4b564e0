//! Parsing and validation of submitted jobs.

use crate::job_body::{JobBody, StepBody};
use crate::job_error::JobError;
use crate::job_limits::JobLimits;
use crate::json_object::JsonObject;
use crate::quantity::Quantity;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};

/// Parses and validates a job from the body of a request.
///
/// # Errors
///
/// [`JobError::Syntax`] if the body is not a job in JSON, and otherwise the first rule or limit that the job violates.
pub fn parse_job(body: &[u8], limits: JobLimits) -> Result<JobSpec, JobError> {
    let JsonObject(job) = serde_json::from_slice::<JsonObject<JobBody>>(body)
        .map_err(|error| JobError::Syntax(error.to_string()))?;
    check_spec(&job.spec, limits)?;
    check_steps(&job.steps, limits)?;
    let repeat = read_repeat(&job, limits)?;
    let steps = job
        .steps
        .into_iter()
        .enumerate()
        .map(|(number, JsonObject(step))| StepReader { number, limits }.read(step))
        .collect::<Result<_, _>>()?;
    Ok(JobSpec {
        spec: job.spec.into_owned(),
        steps,
        repeat,
        start_at_ms: job.start_at_ms,
        interval_ms: job.interval_ms,
    })
}

fn check_spec(spec: &str, limits: JobLimits) -> Result<(), JobError> {
    let (bytes, limit) = (spec.len(), limits.max_spec_bytes);
    if bytes > limit {
        return Err(JobError::SpecTooLong { bytes, limit });
    }
    Ok(())
}

fn check_steps(steps: &[JsonObject<StepBody>], limits: JobLimits) -> Result<(), JobError> {
    if steps.is_empty() {
        return Err(JobError::NoSteps);
    }
    if steps.len() > limits.max_steps {
        return Err(JobError::TooManySteps {
            steps: steps.len(),
            limit: limits.max_steps,
        });
    }
    let mut tasks: u64 = 0;
    for (number, JsonObject(step)) in steps.iter().enumerate() {
        check_count(number, step.count, limits)?;
        tasks = tasks.saturating_add(step.count);
    }
    let limit = limits.max_tasks;
    if tasks > limit {
        return Err(JobError::TooManyTasks { tasks, limit });
    }
    Ok(())
}

fn check_count(step: usize, tasks: u64, limits: JobLimits) -> Result<(), JobError> {
    let limit = limits.max_tasks_per_step;
    if tasks == 0 {
        return Err(JobError::NoTasks { step });
    }
    if tasks > limit {
        return Err(JobError::TooManyTasksInStep { step, tasks, limit });
    }
    Ok(())
}

/// The number of occurrences. The due time of the last one must fit into 64-bit milliseconds.
fn read_repeat(job: &JobBody, limits: JobLimits) -> Result<u32, JobError> {
    let too_many = || JobError::TooManyOccurrences {
        repeat: job.repeat,
        limit: limits.max_repeat,
    };
    if job.repeat > limits.max_repeat {
        return Err(too_many());
    }
    job.interval_ms
        .checked_mul(job.repeat)
        .and_then(|span_ms| job.start_at_ms.checked_add(span_ms))
        .ok_or(JobError::TimeOverflow)?;
    u32::try_from(job.repeat).map_err(|_| too_many())
}

/// Parses and validates one step of a job.
#[derive(Clone, Copy)]
struct StepReader {
    /// The step's number.
    number: usize,
    limits: JobLimits,
}

impl StepReader {
    fn read(self, step: StepBody) -> Result<Step, JobError> {
        let anti_affinity = self.quantity(Quantity::AntiAffinity, step.anti_affinity)?;
        Ok(Step {
            count: u32::try_from(step.count).unwrap_or(u32::MAX),
            needs: Resources {
                cpu: self.quantity(Quantity::Cpu, step.cpu)?,
                memory_mb: self.quantity(Quantity::Memory, step.mem_mb)?,
                gpu: self.quantity(Quantity::Gpu, step.gpu)?,
            },
            estimate_ms: self.quantity(Quantity::Estimate, step.estimate_ms)?,
            depends_on: self.dependencies(&step.depends_on)?,
            checkpoints: step.checkpoints,
            gang: step.gang,
            same_rack: step.same_rack,
            requires: step.requires.into_owned(),
            affinity: step.affinity.into_owned(),
            anti_affinity: u32::try_from(anti_affinity).unwrap_or(u32::MAX),
            speculative: step.speculative,
            long_running: step.long_running,
        })
    }

    fn quantity(self, quantity: Quantity, value: u64) -> Result<u64, JobError> {
        let limit = self.limits.max_quantity;
        if value > limit {
            return Err(JobError::QuantityTooLarge {
                step: self.number,
                quantity,
                value,
                limit,
            });
        }
        Ok(value)
    }

    /// The dependencies of this step, in ascending order and without duplicates.
    fn dependencies(self, stated: &[u64]) -> Result<Vec<u32>, JobError> {
        let mut dependencies = stated
            .iter()
            .map(|dependency| self.earlier_step(*dependency))
            .collect::<Result<Vec<u32>, JobError>>()?;
        dependencies.sort_unstable();
        dependencies.dedup();
        Ok(dependencies)
    }

    fn earlier_step(self, dependency: u64) -> Result<u32, JobError> {
        match usize::try_from(dependency) {
            Ok(earlier) if earlier < self.number => Ok(earlier as u32),
            _ => Err(JobError::NotAnEarlierStep {
                step: self.number,
                dependency,
            }),
        }
    }
}

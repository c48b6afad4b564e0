//! Reading and checking of jobs, and their writing.

use crate::job_body::{JobForm, StepForm};
use crate::job_error::{Figure, JobFault};
use crate::job_limits::JobLimits;
use crate::json_object::Object;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use std::borrow::Cow;

/// Reads a job from the body of a request and checks it whole; the first fault is returned.
pub fn parse_job(body: &[u8], limits: JobLimits) -> Result<JobSpec, JobFault> {
    let parsed = serde_json::from_slice::<Object<JobForm>>(body);
    let Object(form) = parsed.map_err(|error| JobFault::Syntax(error.to_string()))?;
    check_spec(&form, limits)?;
    check_steps(&form, limits)?;
    let repeat = checked_repeat(&form, limits)?;
    let steps = form.steps.into_iter().enumerate();
    let steps = steps
        .map(|(number, Object(step))| checked_step(number, step, limits))
        .collect::<Result<_, _>>()?;
    Ok(JobSpec {
        spec: form.spec.into_owned(),
        steps,
        repeat,
        start_at_ms: form.start_at_ms,
        interval_ms: form.interval_ms,
    })
}

/// A job as the body of a request.
pub fn job_body(job: &JobSpec) -> String {
    let form = JobForm {
        spec: Cow::Borrowed(&job.spec),
        steps: job
            .steps
            .iter()
            .map(|step| Object(step_form(step)))
            .collect(),
        repeat: u64::from(job.repeat),
        start_at_ms: job.start_at_ms,
        interval_ms: job.interval_ms,
    };
    serde_json::to_string(&form).unwrap_or_default()
}

fn check_spec(form: &JobForm, limits: JobLimits) -> Result<(), JobFault> {
    let (bytes, limit) = (form.spec.len(), limits.max_spec_bytes);
    match bytes > limit {
        true => Err(JobFault::SpecTooLong { bytes, limit }),
        false => Ok(()),
    }
}

fn check_steps(form: &JobForm, limits: JobLimits) -> Result<(), JobFault> {
    let steps = form.steps.len();
    if steps == 0 {
        return Err(JobFault::NoSteps);
    }
    if steps > limits.max_steps {
        return Err(JobFault::TooManySteps {
            steps,
            limit: limits.max_steps,
        });
    }
    let tasks = form
        .steps
        .iter()
        .fold(0u64, |sum, Object(step)| sum.saturating_add(step.count));
    for (step, Object(form)) in form.steps.iter().enumerate() {
        check_count(step, form.count, limits)?;
    }
    match tasks > limits.max_tasks {
        true => Err(JobFault::TooManyTasks {
            tasks,
            limit: limits.max_tasks,
        }),
        false => Ok(()),
    }
}

fn check_count(step: usize, tasks: u64, limits: JobLimits) -> Result<(), JobFault> {
    let limit = limits.max_tasks_per_step;
    match tasks {
        0 => Err(JobFault::NoTasks { step }),
        _ if tasks > limit => Err(JobFault::TooManyTasksInStep { step, tasks, limit }),
        _ => Ok(()),
    }
}

fn checked_repeat(form: &JobForm, limits: JobLimits) -> Result<u32, JobFault> {
    let too_many = JobFault::TooManyTimes {
        repeat: form.repeat,
        limit: limits.max_repeat,
    };
    if form.repeat > limits.max_repeat {
        return Err(too_many);
    }
    let span = form
        .interval_ms
        .checked_mul(form.repeat)
        .ok_or(JobFault::TimeOverflow)?;
    form.start_at_ms
        .checked_add(span)
        .ok_or(JobFault::TimeOverflow)?;
    u32::try_from(form.repeat).map_err(|_| too_many)
}

fn checked_step(number: usize, form: StepForm, limits: JobLimits) -> Result<Step, JobFault> {
    let figure = |figure, value| checked_figure(number, figure, value, limits.max_figure);
    let anti_affinity = figure(Figure::AntiAffinity, form.anti_affinity)?;
    Ok(Step {
        count: u32::try_from(form.count).unwrap_or(u32::MAX),
        needs: Resources {
            cpu: figure(Figure::Cpu, form.cpu)?,
            memory_mb: figure(Figure::Memory, form.mem_mb)?,
            gpu: figure(Figure::Gpu, form.gpu)?,
        },
        estimate_ms: figure(Figure::Estimate, form.estimate_ms)?,
        depends_on: checked_dependencies(number, &form.depends_on)?,
        checkpoints: form.checkpoints,
        gang: form.gang,
        same_rack: form.same_rack,
        requires: form.requires.into_owned(),
        affinity: form.affinity.into_owned(),
        anti_affinity: u32::try_from(anti_affinity).unwrap_or(u32::MAX),
        speculative: form.speculative,
        long_running: form.long_running,
    })
}

fn checked_figure(step: usize, figure: Figure, value: u64, limit: u64) -> Result<u64, JobFault> {
    match value > limit {
        true => Err(JobFault::FigureTooLarge {
            step,
            figure,
            value,
            limit,
        }),
        false => Ok(value),
    }
}

/// The steps that one depends on, ascending and each once.
fn checked_dependencies(step: usize, stated: &[u64]) -> Result<Vec<u32>, JobFault> {
    let earlier = |dependency: &u64| match usize::try_from(*dependency) {
        Ok(number) if number < step => Ok(number as u32),
        _ => Err(JobFault::NotAnEarlierStep {
            step,
            dependency: *dependency,
        }),
    };
    let mut dependencies = stated
        .iter()
        .map(earlier)
        .collect::<Result<Vec<u32>, JobFault>>()?;
    dependencies.sort_unstable();
    dependencies.dedup();
    Ok(dependencies)
}

fn step_form(step: &Step) -> StepForm<'_> {
    StepForm {
        count: u64::from(step.count),
        cpu: step.needs.cpu,
        mem_mb: step.needs.memory_mb,
        gpu: step.needs.gpu,
        estimate_ms: step.estimate_ms,
        depends_on: step.depends_on.iter().copied().map(u64::from).collect(),
        checkpoints: step.checkpoints,
        gang: step.gang,
        same_rack: step.same_rack,
        requires: Cow::Borrowed(&step.requires),
        affinity: Cow::Borrowed(&step.affinity),
        anti_affinity: u64::from(step.anti_affinity),
        speculative: step.speculative,
        long_running: step.long_running,
    }
}

//! The JSON form of jobs in request bodies, before validation.

use crate::json_object::JsonObject;
use lupinrack_cluster_api::job::{JobSpec, Step};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The body of a request that submits a job. Fields with their default value are not written.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct JobBody<'a> {
    #[serde(borrow, skip_serializing_if = "is_default")]
    pub(crate) spec: Cow<'a, str>,
    #[serde(borrow)]
    pub(crate) steps: Vec<JsonObject<StepBody<'a>>>,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) repeat: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) start_at_ms: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) interval_ms: u64,
}

/// A step of a job.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each flag is a field of the JSON form, independent of the others"
)]
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct StepBody<'a> {
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) count: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) cpu: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) mem_mb: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) gpu: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) estimate_ms: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) depends_on: Vec<u64>,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) checkpoints: bool,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) gang: bool,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) same_rack: bool,
    #[serde(borrow, skip_serializing_if = "is_default")]
    pub(crate) requires: Cow<'a, str>,
    #[serde(borrow, skip_serializing_if = "is_default")]
    pub(crate) affinity: Cow<'a, str>,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) anti_affinity: u64,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) speculative: bool,
    #[serde(skip_serializing_if = "is_default")]
    pub(crate) long_running: bool,
}

/// Writes a job as the body of a request that submits it.
pub fn job_body(job: &JobSpec) -> String {
    let body = JobBody {
        spec: Cow::Borrowed(&job.spec),
        steps: job.steps.iter().map(StepBody::from_step).collect(),
        repeat: u64::from(job.repeat),
        start_at_ms: job.start_at_ms,
        interval_ms: job.interval_ms,
    };
    // A struct of texts and numbers always has a JSON form.
    serde_json::to_string(&body).unwrap_or_default()
}

impl StepBody<'_> {
    fn from_step(step: &Step) -> JsonObject<StepBody<'_>> {
        JsonObject(StepBody {
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
        })
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

//! Jobs as JSON states them, before any check.

use crate::json_object::Object;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A job.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct JobForm<'a> {
    #[serde(borrow, skip_serializing_if = "is_empty")]
    pub spec: Cow<'a, str>,
    #[serde(borrow)]
    pub steps: Vec<Object<StepForm<'a>>>,
    #[serde(skip_serializing_if = "is_zero")]
    pub repeat: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub start_at_ms: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub interval_ms: u64,
}

/// A step.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct StepForm<'a> {
    #[serde(skip_serializing_if = "is_zero")]
    pub count: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub cpu: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub mem_mb: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub gpu: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub estimate_ms: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u64>,
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    #[serde(borrow, skip_serializing_if = "is_empty")]
    pub requires: Cow<'a, str>,
    #[serde(borrow, skip_serializing_if = "is_empty")]
    pub affinity: Cow<'a, str>,
    #[serde(skip_serializing_if = "is_zero")]
    pub anti_affinity: u64,
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_empty(text: &str) -> bool {
    text.is_empty()
}

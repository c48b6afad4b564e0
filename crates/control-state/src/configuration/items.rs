//! The items of a configuration as the operator writes them, read with `nanoserde`.

use crate::configuration::error::{ConfigurationFault, FaultReason};
use crate::configuration::json_text::{join, read_fields};
use lupinrack_cluster_api::configuration::{Limits, Route, Service};
use lupinrack_cluster_api::identity::{QueueName, ServiceName};
use nanoserde::DeJson;

/// Thousandths in a whole.
const MILLI: f64 = 1000.0;

const NAMED_FIELDS: [&str; 1] = ["name"];
const SERVICE_FIELDS: [&str; 2] = ["name", "guards"];
const LIMITS_FIELDS: [&str; 4] = [
    "max-header-bytes",
    "max-body-bytes",
    "header-timeout-ms",
    "idle-timeout-ms",
];
const ROUTE_FIELDS: [&str; 9] = [
    "name",
    "host",
    "path-prefix",
    "timeout-ms",
    "target-latency-ms",
    "priority",
    "service",
    "max-retries",
    "extension",
];

#[derive(DeJson)]
struct NamedJson {
    name: String,
}

#[derive(DeJson)]
struct RouteJson {
    name: String,
    host: String,
    #[nserde(rename = "path-prefix")]
    path_prefix: String,
    #[nserde(rename = "timeout-ms")]
    timeout_ms: u64,
    #[nserde(rename = "target-latency-ms")]
    target_latency_ms: u64,
    priority: u32,
    service: String,
    #[nserde(rename = "max-retries")]
    max_retries: u32,
    extension: f64,
}

#[derive(DeJson)]
struct ServiceJson {
    name: String,
    guards: bool,
}

#[derive(DeJson)]
struct LimitsJson {
    #[nserde(rename = "max-header-bytes")]
    max_header_bytes: u64,
    #[nserde(rename = "max-body-bytes")]
    max_body_bytes: u64,
    #[nserde(rename = "header-timeout-ms")]
    header_timeout_ms: u64,
    #[nserde(rename = "idle-timeout-ms")]
    idle_timeout_ms: u64,
}

/// Reads an item's name.
pub(crate) fn read_name(text: &str, path: &str) -> Result<String, ConfigurationFault> {
    let item: NamedJson = read_fields(text, path, &NAMED_FIELDS)?;
    Ok(item.name)
}

/// Reads a route.
pub(crate) fn read_route(text: &str, path: &str) -> Result<Route, ConfigurationFault> {
    let item: RouteJson = read_fields(text, path, &ROUTE_FIELDS)?;
    let extension_milli = read_milli(item.extension, &join(path, "extension"))?;
    if item.timeout_ms == 0 {
        return Err(ConfigurationFault::new(
            join(path, "timeout-ms"),
            FaultReason::Zero,
        ));
    }
    Ok(Route {
        name: QueueName(item.name),
        host: item.host,
        path_prefix: item.path_prefix,
        timeout_ms: item.timeout_ms,
        target_latency_ms: item.target_latency_ms,
        priority: item.priority,
        service: ServiceName(item.service),
        max_retries: item.max_retries,
        extension_milli,
    })
}

/// Reads a service.
pub(crate) fn read_service(text: &str, path: &str) -> Result<Service, ConfigurationFault> {
    let item: ServiceJson = read_fields(text, path, &SERVICE_FIELDS)?;
    Ok(Service {
        name: ServiceName(item.name),
        guards: item.guards,
    })
}

/// Reads the bounds.
pub(crate) fn read_limits(text: &str, path: &str) -> Result<Limits, ConfigurationFault> {
    let item: LimitsJson = read_fields(text, path, &LIMITS_FIELDS)?;
    Ok(Limits {
        max_header_bytes: item.max_header_bytes,
        max_body_bytes: item.max_body_bytes,
        header_timeout_ms: item.header_timeout_ms,
        idle_timeout_ms: item.idle_timeout_ms,
    })
}

/// A number in thousandths, rounded; one too large for them is the largest.
fn read_milli(value: f64, path: &str) -> Result<u64, ConfigurationFault> {
    if !value.is_finite() || value < 0.0 {
        return Err(ConfigurationFault::new(path, FaultReason::NotANumber));
    }
    Ok((value * MILLI).round() as u64)
}

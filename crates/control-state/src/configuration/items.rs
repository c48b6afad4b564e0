//! Reading of the fields of items, with `nanoserde`.

use crate::configuration::document_item::{check_names_differ, DocumentItem};
use crate::configuration::error::{InvalidConfiguration, InvalidReason};
use crate::configuration::json_text::{item_path, join, read_fields, read_value, split_array};
use lupinrack_cluster_api::configuration::{Limits, Route, Service};
use lupinrack_cluster_api::identity::{QueueName, ServiceName};
use nanoserde::DeJson;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1000.0;

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

/// Reads a list of items with different names, which keep their texts.
pub(super) fn read_items(
    text: &str,
    path: &str,
) -> Result<Vec<DocumentItem>, InvalidConfiguration> {
    let mut items = Vec::new();
    for (index, text) in split_array(text, path)?.into_iter().enumerate() {
        let name = read_name(&text, &item_path(path, index))?;
        items.push(DocumentItem { name, text });
    }
    check_names_differ(&items, path)?;
    Ok(items)
}

/// Reads a list of names.
pub(super) fn read_names(text: &str, path: &str) -> Result<Vec<String>, InvalidConfiguration> {
    let names = split_array(text, path)?;
    let read = |(index, text): (usize, &String)| read_value(text, &item_path(path, index));
    names.iter().enumerate().map(read).collect()
}

/// Reads an item's name.
fn read_name(text: &str, path: &str) -> Result<String, InvalidConfiguration> {
    let item: NamedJson = read_fields(text, path, &NAMED_FIELDS)?;
    Ok(item.name)
}

/// Reads a route.
pub(super) fn read_route(text: &str, path: &str) -> Result<Route, InvalidConfiguration> {
    let item: RouteJson = read_fields(text, path, &ROUTE_FIELDS)?;
    let extension_milli = read_milli(item.extension, &join(path, "extension"))?;
    if item.timeout_ms == 0 {
        return Err(InvalidConfiguration::new(
            join(path, "timeout-ms"),
            InvalidReason::Zero,
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
pub(super) fn read_service(text: &str, path: &str) -> Result<Service, InvalidConfiguration> {
    let item: ServiceJson = read_fields(text, path, &SERVICE_FIELDS)?;
    Ok(Service {
        name: ServiceName(item.name),
        guards: item.guards,
    })
}

/// Reads the limits.
pub(super) fn read_limits(text: &str, path: &str) -> Result<Limits, InvalidConfiguration> {
    let item: LimitsJson = read_fields(text, path, &LIMITS_FIELDS)?;
    Ok(Limits {
        max_header_bytes: item.max_header_bytes,
        max_body_bytes: item.max_body_bytes,
        header_timeout_ms: item.header_timeout_ms,
        idle_timeout_ms: item.idle_timeout_ms,
    })
}

/// A number in thousandths, rounded; the largest possible if it is too large.
fn read_milli(value: f64, path: &str) -> Result<u64, InvalidConfiguration> {
    if !value.is_finite() || value < 0.0 {
        return Err(InvalidConfiguration::new(path, InvalidReason::NotANumber));
    }
    Ok((value * THOUSANDTHS).round() as u64)
}

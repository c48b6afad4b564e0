//! Reading of the bodies with which the operator changes the configuration.
//!
//! A body is read strictly as to its form, since one that is cut short must not be taken, and kept in the operator's
//! words; see [`crate::configuration::document`] for the checks of what it says.

use crate::configuration::document::{check_names_differ, ConfigurationDocument, DocumentItem};
use crate::configuration::error::{ConfigurationFault, FaultReason};
use crate::configuration::items::read_name;
use crate::configuration::json_text::{item_path, join, read_value, split_array, JsonObject};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::operation::ConfigurationBody;
use std::collections::{BTreeMap, BTreeSet};

/// The empty path, of the body itself.
const WHOLE: &str = "";

/// The version before the first configuration.
const NO_VERSION: u64 = 0;

/// Reads and checks the text of a whole configuration; the first fault is named with its place.
pub fn check_configuration(text: &str) -> Result<Configuration, ConfigurationFault> {
    let document = read_whole(text)?;
    check_version(&document, NO_VERSION)?;
    document.check()
}

/// The document that a body makes of the current one. It is not checked but for its form.
pub fn apply_body(
    current: &ConfigurationDocument,
    body: &ConfigurationBody,
) -> Result<ConfigurationDocument, ConfigurationFault> {
    match body {
        ConfigurationBody::Replacement(text) => read_whole(text),
        ConfigurationBody::Patch(text) => apply_patch(current, text),
    }
}

/// Refuses a body that is invalid whatever the current configuration is: one that cannot be read, that sets version 0, or
/// whose items are faulty in themselves. So any process may refuse it, also one that does not know what is current.
pub fn check_body(body: &ConfigurationBody) -> Result<(), ConfigurationFault> {
    match body {
        ConfigurationBody::Replacement(text) => check_configuration(text).map(drop),
        ConfigurationBody::Patch(text) => check_patch(text),
    }
}

fn check_patch(text: &str) -> Result<(), ConfigurationFault> {
    let Patch {
        version, upsert, ..
    } = read_patch(text)?;
    let added = ConfigurationDocument {
        version,
        routes: upsert.routes,
        services: upsert.services,
        ..ConfigurationDocument::default()
    };
    check_version(&added, NO_VERSION)?;
    added.check_items()
}

/// Refuses a version that is not above `current`.
pub fn check_version(
    document: &ConfigurationDocument,
    current: u64,
) -> Result<(), ConfigurationFault> {
    if document.version > current {
        return Ok(());
    }
    Err(ConfigurationFault::new(
        "version",
        FaultReason::VersionNotAbove(current),
    ))
}

/// Reads the body of a `PUT`.
pub fn read_whole(text: &str) -> Result<ConfigurationDocument, ConfigurationFault> {
    let mut body = JsonObject::split(text, WHOLE)?;
    let version = take_version(&mut body)?;
    let routes = read_items(&body.take_required("routes")?, "routes")?;
    let services = read_items(&body.take_required("services")?, "services")?;
    let limits = Some(body.take_required("limits")?);
    let other = body
        .remaining()
        .map(|(name, text)| DocumentItem { name, text })
        .collect();
    Ok(ConfigurationDocument {
        version,
        routes,
        services,
        limits,
        other,
    })
}

/// Applies the body of a `PATCH`: removals first, then items that are added or replaced under their names. A name that
/// is to be removed and is not there changes nothing; fields that have no meaning here are refused.
pub fn apply_patch(
    current: &ConfigurationDocument,
    text: &str,
) -> Result<ConfigurationDocument, ConfigurationFault> {
    let Patch {
        version,
        remove,
        upsert,
    } = read_patch(text)?;
    let mut document = current.clone();
    document.version = version;
    change_items(&mut document.routes, &remove.routes, upsert.routes);
    change_items(&mut document.services, &remove.services, upsert.services);
    Ok(document)
}

/// The body of a `PATCH`.
struct Patch {
    version: u64,
    remove: PatchPart<String>,
    upsert: PatchPart<DocumentItem>,
}

fn read_patch(text: &str) -> Result<Patch, ConfigurationFault> {
    let mut body = JsonObject::split(text, WHOLE)?;
    let version = take_version(&mut body)?;
    let remove = take_part(&mut body, "remove", read_names)?;
    let upsert = take_part(&mut body, "upsert", read_items)?;
    body.expect_empty()?;
    Ok(Patch {
        version,
        remove,
        upsert,
    })
}

/// The lists of one part of a `PATCH`.
struct PatchPart<T> {
    routes: Vec<T>,
    services: Vec<T>,
}

/// Takes `upsert` or `remove` out of a body; lists that are left out are empty.
fn take_part<T>(
    body: &mut JsonObject,
    name: &str,
    read: fn(&str, &str) -> Result<Vec<T>, ConfigurationFault>,
) -> Result<PatchPart<T>, ConfigurationFault> {
    let Some(text) = body.take(name) else {
        return Ok(PatchPart {
            routes: Vec::new(),
            services: Vec::new(),
        });
    };
    let mut part = JsonObject::split(&text, name)?;
    let mut list = |field: &str| match part.take(field) {
        Some(text) => read(&text, &join(name, field)),
        None => Ok(Vec::new()),
    };
    let (routes, services) = (list("routes")?, list("services")?);
    part.expect_empty()?;
    Ok(PatchPart { routes, services })
}

fn take_version(body: &mut JsonObject) -> Result<u64, ConfigurationFault> {
    read_value(&body.take_required("version")?, "version")
}

/// Reads a list of items that carry names.
fn read_items(text: &str, path: &str) -> Result<Vec<DocumentItem>, ConfigurationFault> {
    let mut items = Vec::new();
    for (index, text) in split_array(text, path)?.into_iter().enumerate() {
        let name = read_name(&text, &item_path(path, index))?;
        items.push(DocumentItem { name, text });
    }
    check_names_differ(&items, path)?;
    Ok(items)
}

/// Reads a list of names.
fn read_names(text: &str, path: &str) -> Result<Vec<String>, ConfigurationFault> {
    let names = split_array(text, path)?;
    let read = |(index, text): (usize, &String)| read_value(text, &item_path(path, index));
    names.iter().enumerate().map(read).collect()
}

/// Removes and then adds or replaces items; what is replaced keeps its place.
fn change_items(items: &mut Vec<DocumentItem>, remove: &[String], upsert: Vec<DocumentItem>) {
    let remove: BTreeSet<&str> = remove.iter().map(String::as_str).collect();
    items.retain(|item| !remove.contains(item.name.as_str()));
    let place_of = |(place, item): (usize, &DocumentItem)| (item.name.clone(), place);
    let places: BTreeMap<String, usize> = items.iter().enumerate().map(place_of).collect();
    for item in upsert {
        match places.get(&item.name) {
            Some(place) => items[*place] = item,
            None => items.push(item),
        }
    }
}

//! Bodies of configuration changes: `PUT` with a complete configuration, `PATCH` with items to
//! change.

use crate::configuration::document::ConfigurationDocument;
use crate::configuration::document_item::DocumentItem;
use crate::configuration::error::{InvalidConfiguration, InvalidReason};
use crate::configuration::items::read_items;
use crate::configuration::json_text::{JsonObject, ROOT};
use crate::configuration::patch::Patch;
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::operation::ConfigurationBody;

/// The version before the first configuration.
const NO_VERSION: u64 = 0;

/// Reads and checks the text of a complete configuration.
///
/// # Errors
///
/// The first fault, with its place.
pub fn check_configuration(text: &str) -> Result<Configuration, InvalidConfiguration> {
    let document = read_replacement(text)?;
    check_version(&document, NO_VERSION)?;
    document.check()
}

/// Applies a body to the current document, and returns the new one. Only the form of the body is
/// checked, see [`ConfigurationDocument::check`].
///
/// # Errors
///
/// If the body cannot be read.
pub fn apply_body(
    current: &ConfigurationDocument,
    body: &ConfigurationBody,
) -> Result<ConfigurationDocument, InvalidConfiguration> {
    match body {
        ConfigurationBody::Replacement(text) => read_replacement(text),
        ConfigurationBody::Patch(text) => Ok(Patch::read(text)?.apply_to(current)),
    }
}

/// Checks a body as far as that is possible without the current configuration. So any process can
/// reject a body that cannot be read, that sets version 0, or that has an invalid item.
///
/// # Errors
///
/// The first fault, with its place.
pub fn check_body(body: &ConfigurationBody) -> Result<(), InvalidConfiguration> {
    match body {
        ConfigurationBody::Replacement(text) => check_configuration(text).map(drop),
        ConfigurationBody::Patch(text) => {
            let added = Patch::read(text)?.into_added_items();
            check_version(&added, NO_VERSION)?;
            added.check_items()
        }
    }
}

/// Rejects a version that is not above `current`.
pub(super) fn check_version(
    document: &ConfigurationDocument,
    current: u64,
) -> Result<(), InvalidConfiguration> {
    if document.version > current {
        return Ok(());
    }
    Err(InvalidConfiguration::new(
        "version",
        InvalidReason::VersionNotAbove(current),
    ))
}

/// Reads the body of a `PUT`.
fn read_replacement(text: &str) -> Result<ConfigurationDocument, InvalidConfiguration> {
    let mut body = JsonObject::split(text, ROOT)?;
    let version = body.take_version()?;
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

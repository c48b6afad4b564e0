//! A configuration as the operator sent it.

use crate::configuration::document_item::{check_names_differ, DocumentItem};
use crate::configuration::error::{InvalidConfiguration, InvalidReason};
use crate::configuration::items::{read_limits, read_route, read_service};
use crate::configuration::json_text::{item_path, join};
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, Route, Service};
use std::collections::{BTreeMap, BTreeSet};

/// A complete configuration, with the JSON texts that the operator sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationDocument {
    /// Its version; 0 before the first.
    pub version: u64,
    /// Its routes, in the order in which they were sent.
    pub routes: Vec<DocumentItem>,
    /// Its services, in the order in which they were sent.
    pub services: Vec<DocumentItem>,
    /// The JSON text of its limits; none before the first configuration.
    pub limits: Option<String>,
    /// Top-level fields that nothing here reads.
    pub other: Vec<DocumentItem>,
}

impl ConfigurationDocument {
    /// The document as one JSON object.
    pub fn render(&self) -> String {
        let mut fields = vec![format!("\"version\":{}", self.version)];
        fields.push(format!("\"routes\":[{}]", render_list(&self.routes)));
        fields.push(format!("\"services\":[{}]", render_list(&self.services)));
        fields.extend(self.limits.iter().map(|text| format!("\"limits\":{text}")));
        fields.extend(self.other.iter().map(render_field));
        format!("{{{}}}", fields.join(","))
    }

    /// Reads all items and checks them against each other.
    ///
    /// # Errors
    ///
    /// The first fault, with its place.
    pub fn check(&self) -> Result<Configuration, InvalidConfiguration> {
        let mut services = self.read_services()?;
        let mut routes = self.read_routes()?;
        check_services_known(&routes, &services)?;
        check_prefixes_differ(&routes)?;
        let Some(limits) = &self.limits else {
            return Err(InvalidConfiguration::new(
                "limits",
                InvalidReason::MissingField,
            ));
        };
        let limits = read_limits(limits, "limits")?;
        routes.sort_by(|one, other| one.name.cmp(&other.name));
        services.sort_by(|one, other| one.name.cmp(&other.name));
        Ok(Configuration {
            version: self.version,
            routes,
            services,
            limits,
        })
    }

    /// Checks the items by themselves: each of them, and that no two routes have the same host and
    /// prefix.
    pub(super) fn check_items(&self) -> Result<(), InvalidConfiguration> {
        self.read_services()?;
        check_prefixes_differ(&self.read_routes()?)
    }

    /// The services, in the order of the document.
    fn read_services(&self) -> Result<Vec<Service>, InvalidConfiguration> {
        check_names_differ(&self.services, "services")?;
        let read = |(index, item): (usize, &DocumentItem)| {
            read_service(&item.text, &item_path("services", index))
        };
        self.services.iter().enumerate().map(read).collect()
    }

    /// The routes, in the order of the document.
    fn read_routes(&self) -> Result<Vec<Route>, InvalidConfiguration> {
        check_names_differ(&self.routes, "routes")?;
        let read = |(index, item): (usize, &DocumentItem)| {
            read_route(&item.text, &item_path("routes", index))
        };
        self.routes.iter().enumerate().map(read).collect()
    }
}

fn render_list(items: &[DocumentItem]) -> String {
    let texts: Vec<&str> = items.iter().map(|item| item.text.as_str()).collect();
    texts.join(",")
}

fn render_field(item: &DocumentItem) -> String {
    let name = serde_json::Value::String(item.name.clone());
    format!("{name}:{}", item.text)
}

/// Rejects a route whose service is not among `services`.
fn check_services_known(
    routes: &[Route],
    services: &[Service],
) -> Result<(), InvalidConfiguration> {
    let known: BTreeSet<_> = services.iter().map(|service| &service.name).collect();
    for (index, route) in routes.iter().enumerate() {
        if !known.contains(&route.service) {
            let path = join(&item_path("routes", index), "service");
            let reason = InvalidReason::UnknownService(route.service.0.clone());
            return Err(InvalidConfiguration::new(path, reason));
        }
    }
    Ok(())
}

/// Rejects a route with the host and prefix of an earlier one.
fn check_prefixes_differ(routes: &[Route]) -> Result<(), InvalidConfiguration> {
    let mut seen = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        let Some(other) = seen.insert((&route.host, &route.path_prefix), &route.name) else {
            continue;
        };
        let path = join(&item_path("routes", index), "path-prefix");
        return Err(InvalidConfiguration::new(
            path,
            InvalidReason::SameHostAndPrefix(other.0.clone()),
        ));
    }
    Ok(())
}

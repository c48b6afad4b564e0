//! A configuration as the operator sent it: the texts of its items, in their order.

use crate::configuration::error::{ConfigurationFault, FaultReason};
use crate::configuration::items::{read_limits, read_route, read_service};
use crate::configuration::json_text::{item_path, join};
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, Route, Service};
use std::collections::{BTreeMap, BTreeSet};

/// A named part of a document.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DocumentItem {
    /// Its name.
    pub name: String,
    /// Its JSON text as it was sent.
    pub text: String,
}

/// A whole configuration in the operator's words.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationDocument {
    /// Its version; 0 before the first.
    pub version: u64,
    /// Its routes, in the order in which they were sent.
    pub routes: Vec<DocumentItem>,
    /// Its services, likewise.
    pub services: Vec<DocumentItem>,
    /// The JSON text of its bounds; none before the first configuration.
    pub limits: Option<String>,
    /// Fields of the whole that nothing here reads.
    pub other: Vec<DocumentItem>,
}

impl ConfigurationDocument {
    /// The whole as one JSON object.
    pub fn render(&self) -> String {
        let mut fields = vec![format!("\"version\":{}", self.version)];
        fields.push(format!("\"routes\":[{}]", render_list(&self.routes)));
        fields.push(format!("\"services\":[{}]", render_list(&self.services)));
        fields.extend(self.limits.iter().map(|text| format!("\"limits\":{text}")));
        fields.extend(self.other.iter().map(render_field));
        format!("{{{}}}", fields.join(","))
    }

    /// Reads all items and checks the whole.
    pub fn check(&self) -> Result<Configuration, ConfigurationFault> {
        let services = self.read_services()?;
        let routes = self.read_routes()?;
        check_services_known(&routes, &services)?;
        check_prefixes_differ(&routes)?;
        let Some(limits) = &self.limits else {
            return Err(ConfigurationFault::new("limits", FaultReason::MissingField));
        };
        let limits = read_limits(limits, "limits")?;
        Ok(Configuration {
            version: self.version,
            routes: by_name(routes),
            services,
            limits,
        })
    }

    /// Checks the items for themselves: each of them, and that no two routes have the same host and prefix.
    pub(crate) fn check_items(&self) -> Result<(), ConfigurationFault> {
        self.read_services()?;
        check_prefixes_differ(&self.read_routes()?)
    }

    /// The services, sorted by name.
    fn read_services(&self) -> Result<Vec<Service>, ConfigurationFault> {
        check_names_differ(&self.services, "services")?;
        let read = |(index, item): (usize, &DocumentItem)| {
            read_service(&item.text, &item_path("services", index))
        };
        let mut services = self
            .services
            .iter()
            .enumerate()
            .map(read)
            .collect::<Result<Vec<_>, _>>()?;
        services.sort_by(|one, other| one.name.cmp(&other.name));
        Ok(services)
    }

    /// The routes, in the order of the document.
    fn read_routes(&self) -> Result<Vec<Route>, ConfigurationFault> {
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

fn by_name(mut routes: Vec<Route>) -> Vec<Route> {
    routes.sort_by(|one, other| one.name.cmp(&other.name));
    routes
}

/// Refuses items of one list under the same name.
pub(crate) fn check_names_differ(
    items: &[DocumentItem],
    path: &str,
) -> Result<(), ConfigurationFault> {
    let mut names = BTreeSet::new();
    for (index, item) in items.iter().enumerate() {
        if !names.insert(&item.name) {
            let path = join(&item_path(path, index), "name");
            return Err(ConfigurationFault::new(path, FaultReason::DuplicateName));
        }
    }
    Ok(())
}

fn check_services_known(routes: &[Route], services: &[Service]) -> Result<(), ConfigurationFault> {
    let known: BTreeSet<_> = services.iter().map(|service| &service.name).collect();
    for (index, route) in routes.iter().enumerate() {
        if !known.contains(&route.service) {
            let path = join(&item_path("routes", index), "service");
            let reason = FaultReason::UnknownService(route.service.0.clone());
            return Err(ConfigurationFault::new(path, reason));
        }
    }
    Ok(())
}

fn check_prefixes_differ(routes: &[Route]) -> Result<(), ConfigurationFault> {
    let mut seen = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        let Some(other) = seen.insert((&route.host, &route.path_prefix), &route.name) else {
            continue;
        };
        let path = join(&item_path("routes", index), "path-prefix");
        return Err(ConfigurationFault::new(
            path,
            FaultReason::SameHostAndPrefix(other.0.clone()),
        ));
    }
    Ok(())
}

//! The body of a `PATCH`.

use crate::configuration::document::ConfigurationDocument;
use crate::configuration::document_item::DocumentItem;
use crate::configuration::error::InvalidConfiguration;
use crate::configuration::items::{read_items, read_names};
use crate::configuration::json_text::{join, JsonObject, ROOT};
use std::collections::{BTreeMap, BTreeSet};

/// Items to remove from the current configuration, and items to add or replace. Removing a name
/// that does not exist changes nothing; unknown fields are rejected.
pub(super) struct Patch {
    version: u64,
    remove: ItemLists<String>,
    upsert: ItemLists<DocumentItem>,
}

/// A list of routes and one of services.
struct ItemLists<T> {
    routes: Vec<T>,
    services: Vec<T>,
}

impl Patch {
    /// Reads the text of a body.
    pub(super) fn read(text: &str) -> Result<Self, InvalidConfiguration> {
        let mut body = JsonObject::split(text, ROOT)?;
        let version = body.take_version()?;
        let remove = take_lists(&mut body, "remove", read_names)?;
        let upsert = take_lists(&mut body, "upsert", read_items)?;
        body.expect_empty()?;
        Ok(Self {
            version,
            remove,
            upsert,
        })
    }

    /// Applies the patch: removals first, then items that are added, or replace those of the same
    /// name.
    pub(super) fn apply_to(self, current: &ConfigurationDocument) -> ConfigurationDocument {
        let mut document = current.clone();
        document.version = self.version;
        change_items(
            &mut document.routes,
            &self.remove.routes,
            self.upsert.routes,
        );
        change_items(
            &mut document.services,
            &self.remove.services,
            self.upsert.services,
        );
        document
    }

    /// A document with only the items that the patch adds or replaces.
    pub(super) fn into_added_items(self) -> ConfigurationDocument {
        ConfigurationDocument {
            version: self.version,
            routes: self.upsert.routes,
            services: self.upsert.services,
            ..ConfigurationDocument::default()
        }
    }
}

/// Takes the object `name` out of a body and reads its lists; those that are left out are empty.
fn take_lists<T>(
    body: &mut JsonObject,
    name: &str,
    read_list: fn(&str, &str) -> Result<Vec<T>, InvalidConfiguration>,
) -> Result<ItemLists<T>, InvalidConfiguration> {
    let Some(text) = body.take(name) else {
        return Ok(ItemLists {
            routes: Vec::new(),
            services: Vec::new(),
        });
    };
    let mut lists = JsonObject::split(&text, name)?;
    let mut take_list = |field: &str| match lists.take(field) {
        Some(text) => read_list(&text, &join(name, field)),
        None => Ok(Vec::new()),
    };
    let (routes, services) = (take_list("routes")?, take_list("services")?);
    lists.expect_empty()?;
    Ok(ItemLists { routes, services })
}

/// Removes items by name, then adds others or replaces those of the same name where they are.
fn change_items(items: &mut Vec<DocumentItem>, remove: &[String], upsert: Vec<DocumentItem>) {
    let remove: BTreeSet<&str> = remove.iter().map(String::as_str).collect();
    items.retain(|item| !remove.contains(item.name.as_str()));
    let index_of = |(index, item): (usize, &DocumentItem)| (item.name.clone(), index);
    let indices: BTreeMap<String, usize> = items.iter().enumerate().map(index_of).collect();
    for item in upsert {
        match indices.get(&item.name) {
            Some(index) => items[*index] = item,
            None => items.push(item),
        }
    }
}

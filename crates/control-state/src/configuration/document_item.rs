//! The items of a configuration, with the JSON texts that the operator sent.

use crate::configuration::error::{InvalidConfiguration, InvalidReason};
use crate::configuration::json_text::{item_path, join};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;

/// A named part of a document.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DocumentItem {
    /// Its name.
    pub name: String,
    /// Its JSON text as it was sent.
    pub text: String,
}

/// Rejects items of one list under the same name.
pub(super) fn check_names_differ(
    items: &[DocumentItem],
    path: &str,
) -> Result<(), InvalidConfiguration> {
    let mut names = BTreeSet::new();
    for (index, item) in items.iter().enumerate() {
        if !names.insert(&item.name) {
            let path = join(&item_path(path, index), "name");
            return Err(InvalidConfiguration::new(
                path,
                InvalidReason::DuplicateName,
            ));
        }
    }
    Ok(())
}

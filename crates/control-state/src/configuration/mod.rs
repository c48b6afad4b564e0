//! The configuration, as the operator sends it and as the system reads it.
//!
//! The JSON of a body is parsed strictly, since a truncated body must not be accepted. The
//! operator's text of each item is kept and given back, with fields and forms of numbers that
//! nothing here reads.

mod accepted_changes;
mod body;
mod document;
mod document_item;
mod error;
mod items;
mod json_text;
mod patch;
mod state;

pub use accepted_changes::{AcceptedChanges, ChangeDigest, DIGEST_BYTES, MAX_ACCEPTED_CHANGES};
pub use body::{apply_body, check_body, check_configuration};
pub use document::ConfigurationDocument;
pub use document_item::DocumentItem;
pub use error::{InvalidConfiguration, InvalidReason};
pub use state::ConfigurationState;

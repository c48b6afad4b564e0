//! The configuration: what is sent, what is read from it, and how it changes.

pub(crate) mod accepted_changes;
pub mod body;
pub(crate) mod document;
pub(crate) mod error;
mod items;
mod json_text;
mod state;

//! Fronts that know each other, as machines without I/O, clock or chance of their own: who is there ([`swim`]), on which
//! list a majority agreed ([`agree`]), what may be used of what is shared and until when ([`lease`], [`serving`], [`part`]), and what to do
//! while they disagree ([`stance`]). [`Front`] puts them together; a driver, the lab and the model checker run the same.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod agree;
pub mod bits;
pub mod config;
pub mod front;
pub mod lease;
pub mod part;
pub mod serving;
pub mod stance;
pub mod swim;
pub mod wire;

pub use front::{Counts, Event, Front, Output, Source, Told};

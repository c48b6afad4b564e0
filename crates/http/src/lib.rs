//! The platform's front: HTTP/1.1 clients in front, storage nodes behind. Modules follow the stages of a request.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod accept;
pub mod budget;
pub mod gate;
pub mod intake;
pub mod line;
pub mod passing;
pub mod places;
pub mod probe;
pub mod request;
pub mod upstream;

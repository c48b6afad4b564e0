//! The platform's front: an HTTP/1.1 proxy between clients and storage nodes.
//!
//! [`accept`] accepts connections, [`client_slots`] limits their number, and [`client_stream`] splits each one into
//! requests. [`intake`] validates a request and reads its body into memory from [`memory_budget`]. [`request`] follows the
//! policy's orders until the request has its final response. [`upstream`] sends attempts over [`upstream_connection`], and
//! [`streamed_response`] is the body of a long response. [`probe`] sends health probes.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod accept;
pub mod client_slots;
pub mod client_stream;
pub mod intake;
pub mod memory_budget;
pub mod probe;
pub mod request;
pub mod streamed_response;
pub mod upstream;
pub mod upstream_connection;

//! The HTTP server and the HTTP client on loopback.

mod client;
mod drain;
mod limits;
mod properties;
mod server;
mod support;
mod timeouts;

//! The transport of the cluster scheduler: frames between its processes, and HTTP.
//!
//! Everything here runs on a tokio runtime of one thread and has no state of the scheduler. [`peers`] carries frames
//! between processes, [`http_server`] and [`http_client`] speak HTTP/1.1, [`listen`] opens listening sockets, and
//! [`shared_value`] shares values that are replaced atomically.

pub mod http_client;
pub mod http_server;
pub mod listen;
pub mod peers;
pub mod shared_value;

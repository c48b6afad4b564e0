//! A complete cluster on loopback: real processes of the program, mock workers, jobs, and process kills.
//!
//! Three core processes, two fronts and four agents run as child processes. Each has its own loopback address, so that
//! all of them use the same ports, as they do on separate machines. [`run`] starts them, submits jobs while it kills and
//! restarts processes, and returns a [`LocalReport`] that says whether every job ended as expected.
//!
//! The crate owns the child processes, their folder (settings, disks and logs) and the mock workers; dropping the future of
//! [`run`] ends all of them. Start reading in `run.rs`, which contains the phases of a run; `local_cluster.rs` manages the
//! processes and workers, `client.rs` submits jobs, and `report.rs` builds the report.

mod child_process;
mod client;
mod cluster_shape;
mod dependency_order;
mod error;
mod http_call;
mod job_kind;
mod local_cluster;
mod member;
mod operator;
mod ports;
mod process_kills;
mod progress;
mod report;
mod run;
mod settings_file;
mod shared_limits;

pub use child_process::ChildProcess;
pub use client::JobOutcome;
pub use cluster_shape::ClusterShape;
pub use dependency_order::count_early_starts;
pub use error::{LocalError, Step};
pub use job_kind::JobKind;
pub use member::{Member, Role};
pub use ports::Ports;
pub use process_kills::KillTarget;
pub use report::{KilledProcess, LocalReport, UnexpectedJob};
pub use run::{run, LocalSettings, Progress};
pub use settings_file::{settings_text, StartKind};

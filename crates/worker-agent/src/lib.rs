//! The agent on each server's machine: it receives heartbeats and responds with starts and stops.
//!
//! [`Agent`] is a state machine that reads no clock and does no I/O. Its driver (the agent's process in
//! `lupinrack-cluster-node`, or a simulation) hands it the server's heartbeats and the messages of the owner of the server's
//! shard, each with its arrival time, and delivers what the agent returns: responses to heartbeats
//! ([`Agent::respond_to_heartbeat`]) and messages to the owner ([`Agent::poll`]).
//!
//! The agent keeps the owner's orders as desired state and compares it with every heartbeat, so a start or stop survives
//! any number of lost responses. The agent stores nothing on disk: after the agent has restarted, the owner's first message
//! of the next session holds the complete desired state again.
//!
//! Start reading at [`Agent`], then continue with its parts, each of which is the only writer of its state:
//!
//! - `incarnation`: the server's current incarnation, with its newest heartbeat, lease and desired state;
//! - `incarnation_history`: decides whether a heartbeat is from the running server or from another incarnation;
//! - `owner_link`: the session with the owner, and the messages that are due in it.
//!
//! [`heartbeat_json`] parses the bodies of heartbeats and renders the bodies of their responses.

mod agent;
mod attempt_watermarks;
mod desired_state;
pub mod heartbeat_json;
mod heartbeat_response;
mod incarnation;
mod incarnation_history;
mod lease;
mod owner_link;
mod owner_message_error;
mod owner_session;
mod pending_heartbeat;
mod report_schedule;
mod server_heartbeat;
mod settings;

pub use agent::Agent;
pub use desired_state::{MAX_START_BYTES, MAX_WATERMARKED_TASKS};
pub use heartbeat_json::ParseHeartbeatError;
pub use heartbeat_response::{HeartbeatResponse, StopOrder};
pub use incarnation::{HEARTBEAT_GRACE_MS, MAX_HEARTBEAT_DELAY_MS, MAX_LISTED_ENDS};
pub use lease::MIN_LEASE_MS;
pub use owner_message_error::OwnerMessageError;
pub use owner_session::ATTACH_RETRY_MS;
pub use pending_heartbeat::{HeartbeatOutcome, PendingHeartbeat};
pub use report_schedule::{FULL_REPORT_INTERVAL_MS, PROGRESS_INTERVAL_MS, REPORT_INTERVAL_MS};
pub use server_heartbeat::{ServerHeartbeat, UnknownRun};
pub use settings::AgentSettings;

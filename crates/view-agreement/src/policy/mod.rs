//! Which view a process should propose next, given the heartbeats of the other core processes.
//!
//! [`ViewPolicy`] owns the failure detector and returns the view to propose. The rules of the next
//! view are in three modules: `founding` for view 1, and `chain_plan` and `voter_plan` for later
//! views. `proposer_order` decides whose turn it is to propose.

mod chain_plan;
mod cluster_snapshot;
mod failure_detector;
mod founding;
mod peer;
mod peer_report;
mod proposer_order;
mod redundancy;
mod settings;
mod shutdown;
mod view_policy;
mod voter_plan;

pub use peer_report::{DuplicateDisk, PeerReport};
pub use redundancy::{Redundancy, SpareReplica};
pub use settings::PolicySettings;
pub use view_policy::ViewPolicy;

//! The state machine.

use crate::record::JobRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{DiskId, FencingToken, JobId, ServiceName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use std::collections::{BTreeMap, BTreeSet};

/// Who schedules a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Shard {
    /// The disk whose process owns it.
    pub owner: DiskId,
    /// The token of its move there.
    pub token: FencingToken,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ControlState {
    /// The newest configuration.
    pub configuration: Configuration,
    /// Digests of the changes that were taken, by the version that each of them set, oldest dropped first.
    pub changes_taken: BTreeMap<u64, u64>,
    /// All jobs that are remembered.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Jobs that have not ended, by service.
    pub open_jobs: BTreeMap<ServiceName, BTreeSet<JobId>>,
    /// Who schedules what.
    pub shards: BTreeMap<ServiceName, Shard>,
}

impl ControlState {
    /// Applies the next committed operation.
    pub fn apply(&mut self, operation: &Operation) -> OperationResult {
        let _ = operation;
        OperationResult::Refused(ErrorKind::NotServed)
    }
}

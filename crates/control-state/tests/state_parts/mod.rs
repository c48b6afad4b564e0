//! The stored form of a state, written out: all its parts, in their order.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::identity::{JobId, ServerId, ServiceName};
use lupinrack_control_state::{
    AcceptedChanges, AgentBinding, ConfigurationDocument, ControlState, JobRecord, Shard,
};
use std::collections::{BTreeMap, BTreeSet};

/// The content of the bytes of a state.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct StateParts {
    pub(crate) configuration: Configuration,
    pub(crate) document: ConfigurationDocument,
    pub(crate) accepted_changes: AcceptedChanges,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
    pub(crate) open_jobs: BTreeMap<ServiceName, BTreeSet<JobId>>,
    pub(crate) shards: BTreeMap<ServiceName, Shard>,
    pub(crate) bindings: BTreeMap<ServerId, AgentBinding>,
    pub(crate) bindings_recorded: u64,
}

impl StateParts {
    pub(crate) fn of(state: &ControlState) -> Self {
        let bytes = state.to_bytes().expect("a state has bytes");
        borsh::from_slice(&bytes).expect("they are its parts")
    }

    pub(crate) fn state(&self) -> ControlState {
        let bytes = borsh::to_vec(self).expect("parts have bytes");
        ControlState::from_bytes(&bytes).expect("they are those of a state")
    }
}

//! The stored form of a state, spelled out: all its parts, in their order.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::identity::{JobId, ServerId, ServiceName};
use lupinrack_control_state::{
    AcceptedChanges, AgentBinding, ConfigurationDocument, ControlState, JobRecord, Shard,
};
use std::collections::{BTreeMap, BTreeSet};

/// What the bytes of a state hold.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct StateParts {
    pub configuration: Configuration,
    pub document: ConfigurationDocument,
    pub accepted_changes: AcceptedChanges,
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub open_jobs: BTreeMap<ServiceName, BTreeSet<JobId>>,
    pub shards: BTreeMap<ServiceName, Shard>,
    pub bindings: BTreeMap<ServerId, AgentBinding>,
    pub bindings_recorded: u64,
}

impl StateParts {
    pub fn of(state: &ControlState) -> Self {
        let bytes = state.to_bytes().expect("a state has bytes");
        borsh::from_slice(&bytes).expect("they are its parts")
    }

    pub fn state(&self) -> ControlState {
        let bytes = borsh::to_vec(self).expect("parts have bytes");
        ControlState::from_bytes(&bytes).expect("they are those of a state")
    }
}

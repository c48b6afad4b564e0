//! The owners of shards.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{DiskId, FencingToken, ServiceName};
use lupinrack_cluster_api::operation::OperationResult;
use std::collections::BTreeMap;

/// Which process schedules a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Shard {
    /// The disk of the process that owns the shard.
    pub owner: DiskId,
    /// The fencing token under which it took ownership.
    pub token: FencingToken,
}

/// The shards of all services.
///
/// Invariant: the token of a shard never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ShardTable {
    by_service: BTreeMap<ServiceName, Shard>,
}

impl ShardTable {
    /// The shard of a service; none if it never had an owner.
    pub fn get(&self, service: &ServiceName) -> Option<&Shard> {
        self.by_service.get(service)
    }

    /// All shards that have had an owner, by service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Shard)> {
        self.by_service.iter()
    }

    /// Whether a token is older than that of the shard's owner. Operations under such a token are
    /// refused.
    pub fn is_fenced(&self, service: &ServiceName, token: FencingToken) -> bool {
        self.get(service).is_some_and(|shard| token < shard.token)
    }

    /// Moves a shard to an owner whose token is above that of the current owner.
    pub(crate) fn take(
        &mut self,
        service: &ServiceName,
        token: FencingToken,
        owner: DiskId,
    ) -> OperationResult {
        if self.get(service).is_some_and(|shard| token <= shard.token) {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        self.by_service
            .insert(service.clone(), Shard { owner, token });
        OperationResult::Done
    }
}

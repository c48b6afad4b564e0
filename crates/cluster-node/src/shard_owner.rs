//! The assignment of shards to owners. It depends on the view only, so all processes with the same view agree.

use lupinrack_cluster_api::identity::{DiskId, PeerAddress, ServiceName};
use lupinrack_cluster_api::rendezvous;
use lupinrack_cluster_api::view::View;

/// The member of the chain that owns a service's shard. Rendezvous hashing moves few shards when the chain changes.
pub fn owner_of(view: &View, service: &ServiceName) -> Option<DiskId> {
    let weigh = |disk: &DiskId| rendezvous::weight(service.0.as_bytes(), disk.0);
    view.chain.iter().copied().max_by_key(weigh)
}

/// The address of the process that owns a service's shard.
pub fn owner_address(view: &View, service: &ServiceName) -> Option<PeerAddress> {
    view.address(owner_of(view, service)?)
}

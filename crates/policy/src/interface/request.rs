//! A request as it arrives.

use super::ids::{Key, Micros, RequestId, Shard, VolumeId};

/// A request of a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// The index of its class.
    pub class: u16,
    /// The index of its volume's plan.
    pub plan: u32,
    /// Its volume.
    pub volume: VolumeId,
    /// The number of hosts through which requests of the volume come.
    pub hosts: f64,
    /// Its cost in units.
    pub units: f64,
    /// The piece of data, if the request names one.
    pub key: Option<Key>,
    /// The shard that stores the data; `None`: a new object, which any node may take.
    pub shard: Option<Shard>,
    /// When the client gives up.
    pub client_deadline: Micros,
    /// The client marked it as a retry of its own.
    pub is_client_retry: bool,
    /// The shard is not known yet: the request waits for
    /// [`Event::ShardChanged`](super::Event::ShardChanged).
    pub shard_unknown: bool,
}

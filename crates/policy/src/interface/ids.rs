//! Identifiers, and the unit of time.

/// Microseconds on the embedder's monotonic clock: a point in time or a duration.
pub type Micros = i64;

/// A request, as the embedder numbers it. A number is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A storage node. It keeps its number when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// A volume: the stream for which reservation, rate limit and share are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// A key of a volume: one piece of data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// The part of the data that a node stores. If the node is replaced, its successor stores it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

/// A failure domain of nodes. Nodes of one zone share their links to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Zone(pub u8);

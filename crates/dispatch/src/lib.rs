//! HYBRID-DSFQ: proportional-share queueing of tasks over many servers.
//!
//! The crate owns the queues of the servers of one owner and the tags of the tasks in them. It does
//! no I/O and reads no clock; the time is an argument. The scheduler enqueues a task on the server
//! that it chose ([`Dispatcher::enqueue`]) and releases the tasks that this server should start now
//! ([`Dispatcher::release`]). Start reading at [`Dispatcher`].
//!
//! The algorithm is a distributed variant of start-time fair queueing (Wang and Merchant,
//! *Proportional-Share Scheduling for Distributed Storage Systems*, FAST 2007). Every server has a
//! queue and a virtual time `v`, the highest start tag released there. A task of a stream with weight
//! `φ` that is enqueued on a server is tagged
//!
//! ```text
//! S = max(v, F_prev + delay / φ)        F = S + cost / φ
//! ```
//!
//! where `F_prev` is the finish tag of the stream's previous task on that server. The delay charges
//! the stream for the cost of its tasks on other servers in the meantime, so that its share holds
//! over all servers together. It is clipped so that the stream keeps the share `φmin` of each server: see
//! [`hybrid_delay`]. Tasks are released in the order of their start tags, each only when it fits the free
//! capacity of the server.
//!
//! # Differences from the paper
//!
//! | paper | here |
//! | --- | --- |
//! | a stream is a client with a given weight | a stream is a queue of the configuration; its weight follows from its priority and is between 0 and 1 |
//! | clients are backlogged | a stream may be idle; its state is dropped after [`DispatchSettings::stream_idle_ms`], and its tags then start from zero |
//! | coordinators report `batchcost` with each request | it is derived from the tasks that this dispatcher enqueued |
//! | every request at the head of a queue can be served | a task that does not fit may be bypassed, at most [`DispatchSettings::max_bypasses`] times |
//! | one scheduler sees every stream | a server's queue has one owner at a time; tags are never sent to other processes |
//!
//! `v` and `F_prev` start from zero at a new owner: tags only order the tasks that one owner has
//! queued, so no state has to be recovered. A server that is draining or gone returns its queue
//! ([`Dispatcher::remove_server`]). Members of a gang are enqueued like other tasks: `fits` decides
//! whether a member may start, and the caller starts the rest of its gang. Tasks whose dependencies
//! or due times are not met are not enqueued at all.

mod cost;
mod delay;
mod dispatcher;
mod server_queue;
mod settings;
mod stream_state;
mod tags;

pub use delay::hybrid_delay;
pub use dispatcher::{Arrival, Dispatcher, Key};
pub use settings::DispatchSettings;
pub use tags::{Tag, Tags};

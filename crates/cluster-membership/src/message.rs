//! The messages of the protocol.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;

/// The message of a datagram. Updates are piggybacked on every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// The SWIM paper's *ping*: requests an acknowledgement.
    Ping {
        /// The number that the sender gave this ping.
        sequence_number: u32,
    },
    /// The SWIM paper's *ping-req*: requests that the receiver pings another member on the sender's behalf.
    PingRequest {
        /// The number of the requester's own ping, which the response repeats.
        sequence_number: u32,
        /// The member to ping.
        target: PeerAddress,
    },
    /// The SWIM paper's *ack*: the response to a ping, or to a ping request whose target has acknowledged.
    Ack {
        /// The number of the ping, or of the requester's ping.
        sequence_number: u32,
    },
    /// Lifeguard's *nack*: the response to a ping request whose target has not acknowledged in time.
    Nack {
        /// The number of the requester's ping.
        sequence_number: u32,
    },
    /// Requests a page of the membership list.
    PageRequest {
        /// The page starts after this address; `None` for the first page.
        after: Option<PeerAddress>,
    },
    /// A page of the membership list, in the datagram's updates.
    Page {
        /// The highest address of the page; `None` if the list ends with this page.
        last: Option<PeerAddress>,
    },
    /// Carries updates only; no response is expected.
    UpdatesOnly,
}

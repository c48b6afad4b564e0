//! The messages of the protocol.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;

/// What a datagram is sent for. Updates ride on all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// The SWIM paper's *ping*: asks for an acknowledgement.
    Ping {
        /// The sender's number of this ping.
        sequence_number: u32,
    },
    /// The SWIM paper's *ping-req*: asks the receiver to ping another member on the sender's behalf.
    PingRequest {
        /// The requester's number of its own ping, which the answer repeats.
        sequence_number: u32,
        /// The member to ping.
        target: PeerAddress,
    },
    /// The SWIM paper's *ack*: the answer to a ping, or to a ping request whose target has acknowledged.
    Ack {
        /// The number of the ping, or of the requester's ping.
        sequence_number: u32,
    },
    /// Lifeguard's *nack*: the answer to a ping request whose target has not acknowledged in time.
    Nack {
        /// The number of the requester's ping.
        sequence_number: u32,
    },
    /// Asks for a page of the membership list.
    PageRequest {
        /// The page begins after this address; none for the first page.
        after: Option<PeerAddress>,
    },
    /// A page of the membership list, in the datagram's updates.
    Page {
        /// The highest address of the page; none where the list ends with it.
        last: Option<PeerAddress>,
    },
    /// Carries updates and asks for nothing.
    UpdatesOnly,
}

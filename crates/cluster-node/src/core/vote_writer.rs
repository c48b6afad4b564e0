//! Writes of the vote, each of which costs a sync.
//!
//! Proposers repeat their requests until they are answered. The vote for a repeated request is on the disk already, or on
//! its way there, so it is not written again.

use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_view_agreement::VoteState;

/// Messages of the agreement, each with its receiver.
pub type VoteMessages = Vec<(PeerAddress, AgreementMessage)>;

/// What follows from a vote that has to be on the disk before its messages are sent.
#[derive(Debug, PartialEq, Eq)]
pub enum VoteWrite {
    /// Write the vote, and send the messages once it is synced.
    Write(VoteState, VoteMessages),
    /// Send the messages at once: the disk holds the vote.
    Send(VoteMessages),
    /// Do nothing: the vote is being written, and the messages of that write answer the request.
    InProgress,
}

/// The newest vote that was given to the disk.
#[derive(Debug, Default)]
pub struct VoteWriter {
    newest: Option<VoteState>,
    /// Writes that are not synced yet.
    pending_writes: u32,
}

impl VoteWriter {
    /// Decides whether a vote has to be written.
    pub fn persist(&mut self, vote: VoteState, then: VoteMessages) -> VoteWrite {
        if self.newest.as_ref() != Some(&vote) {
            self.newest = Some(vote.clone());
            self.pending_writes += 1;
            return VoteWrite::Write(vote, then);
        }
        if self.pending_writes == 0 {
            VoteWrite::Send(then)
        } else {
            VoteWrite::InProgress
        }
    }

    /// Records that a write is synced.
    pub fn synced(&mut self) {
        self.pending_writes = self.pending_writes.saturating_sub(1);
    }
}

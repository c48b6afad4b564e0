//! What the driver of an [`Agreement`](crate::Agreement) has to do.

use crate::vote::VoteState;
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::view::View;

/// One thing to do. Messages to the process's own address are handed back to
/// [`Agreement::receive`](crate::Agreement::receive).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write and sync `vote`, and only then send `then`. Where a newer one overtakes it, only the newest has to be
    /// written, but the messages of all are sent afterwards.
    Persist {
        /// What the disk has to hold.
        vote: VoteState,
        /// Messages that may leave only once it does.
        then: Vec<(PeerAddress, AgreementMessage)>,
    },
    /// Send at once; a lost message is repeated later.
    Send(PeerAddress, AgreementMessage),
    /// This view is now the newest known to be agreed.
    Agreed(View),
}

//! Effects that the driver of an agreement carries out.

use crate::vote::VoteState;
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::view::View;

/// An action that the driver of an [`Agreement`](crate::Agreement) has to carry out. Messages to the
/// process's own address are passed to [`Agreement::receive`](crate::Agreement::receive).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write and sync `vote`, and only then send `then`. If several votes wait to be written, writing
    /// the newest is enough; the messages of all of them are sent after that.
    Persist {
        /// The vote that the disk has to hold.
        vote: VoteState,
        /// Messages that may be sent only once the disk holds the vote, each with its receiver.
        then: Vec<(PeerAddress, AgreementMessage)>,
    },
    /// Send the message to this address at once. A message that is lost is repeated later.
    Send(PeerAddress, AgreementMessage),
    /// This view is now the newest one that is known to be agreed.
    Agreed(View),
}

//! What an agreement asks of its driver.

use crate::vote::VoteState;
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::view::View;

/// One thing that the driver of an [`Agreement`](crate::Agreement) has to do. Messages to the
/// process's own address are handed to [`Agreement::receive`](crate::Agreement::receive).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write and sync `vote`, and only then send `then`. If newer votes are waiting to be written,
    /// it is enough to write the newest; the messages of all of them are sent after that.
    Persist {
        /// What the disk has to hold.
        vote: VoteState,
        /// Messages that may be sent only once the disk holds it, each with its receiver.
        then: Vec<(PeerAddress, AgreementMessage)>,
    },
    /// Send the message to this address at once. A message that is lost is repeated later.
    Send(PeerAddress, AgreementMessage),
    /// This view is now the newest one that is known to be agreed.
    Agreed(View),
}

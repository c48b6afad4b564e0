//! Reasons to reject a message from an owner.

use displaydoc::Display;

/// Why a message of an owner was rejected. None of them ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum OwnerMessageError {
    /// it came on a connection other than the current session's
    OtherConnection,
    /// it is for another incarnation of the server
    OtherIncarnation,
    /// its token is below one that was seen before
    LowerToken,
    /// it answers an earlier attach, or none
    EarlierSession,
    /// it was received before
    Repeated,
    /// a message before it is missing; the session begins anew
    Gap,
}

impl std::error::Error for OwnerMessageError {}

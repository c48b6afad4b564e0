//! Which connection the messages of a shard's owner have to come on, for the agent of a server.
//!
//! The owner numbers its messages anew in each session and sends them on the connection on which the agent attached. So a
//! number alone does not tell whose message it is: a connection that is on its way out may still deliver the second
//! message of the session before while the first one of the present session has come on a newer connection.

use lupinrack_cluster_api::agent::OwnerMessage;

/// The number of the first message of each session.
const FIRST: u64 = 1;

/// The connection of the present session with the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerConnection {
    /// Where the session's first message came; none before that.
    bound: Option<u64>,
}

impl OwnerConnection {
    /// A session begins: it is bound to the connection on which its first message will come.
    pub fn session_began(&mut self) {
        self.bound = None;
    }

    /// Whether a message on this connection may belong to the present session. The first message of a session may come on
    /// any connection: whether it answers the newest attach is for the agent to say.
    pub fn admits(&self, connection: u64, message: &OwnerMessage) -> bool {
        message.number == FIRST || self.bound == Some(connection)
    }

    /// The agent took a message that came on this connection.
    pub fn taken_on(&mut self, connection: u64) {
        self.bound = Some(connection);
    }
}

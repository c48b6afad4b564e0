//! How servers receive their commands.

/// How a server receives commands, such as to start or stop a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandDelivery {
    /// In the responses to its heartbeats.
    Heartbeat,
    /// By calls of the agent to the server.
    Rpc,
}

impl CommandDelivery {
    /// The delivery that the value of the key `commands` names.
    pub(crate) fn from_setting(keyword: &str) -> Option<CommandDelivery> {
        match keyword {
            "heartbeat" => Some(CommandDelivery::Heartbeat),
            "rpc" => Some(CommandDelivery::Rpc),
            _ => None,
        }
    }
}

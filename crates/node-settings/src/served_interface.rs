//! The interfaces that a process serves.

/// An interface that a process serves to callers outside the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedInterface {
    /// The interface of clients, at the front address.
    Frontend,
    /// The interface of the server on the same machine, at the control address of its agent.
    Agent,
    /// The interface of operators, at the control address.
    ControlPlane,
}

impl ServedInterface {
    /// The interface that a keyword of the key `serves` names.
    pub(crate) fn from_setting(keyword: &str) -> Option<ServedInterface> {
        match keyword {
            "frontend" => Some(ServedInterface::Frontend),
            "side" => Some(ServedInterface::Agent),
            "control_plane" => Some(ServedInterface::ControlPlane),
            _ => None,
        }
    }
}

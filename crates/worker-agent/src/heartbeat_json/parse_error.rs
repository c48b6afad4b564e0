//! Errors of parsing a heartbeat.

use displaydoc::Display;
use std::error::Error;

/// Why a heartbeat cannot be read.
#[derive(Debug, Display)]
pub enum ParseHeartbeatError {
    /// the server's identity is empty or too long
    ServerId,
    /// the body of the heartbeat cannot be read: {0}
    Body(serde_json::Error),
}

impl Error for ParseHeartbeatError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ParseHeartbeatError::ServerId => None,
            ParseHeartbeatError::Body(error) => Some(error),
        }
    }
}

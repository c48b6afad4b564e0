//! The clients' listening socket, where the platform holds it and each process inherits it.

use listenfd::ListenFd;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};

/// The variable that names the descriptor.
pub const VARIABLE: &str = "LB_INHERITED_FD";

/// Why an inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable names no descriptor.
    #[error("{VARIABLE}: '{0}' is not the number of a descriptor")]
    Number(String),
    /// It is not there, or no TCP socket.
    #[error("{VARIABLE}: {0}")]
    Socket(#[from] std::io::Error),
    /// It does not listen.
    #[error("{VARIABLE}: descriptor {0} does not listen")]
    Quiet(i32),
    /// It is bound elsewhere.
    #[error("{VARIABLE}: descriptor {0} listens on {1}, not on {2}")]
    Elsewhere(i32, SocketAddr, SocketAddr),
}

/// The inherited socket; none where the variable is not set. It closes with this process, and no other inherits it.
/// To be called before there are threads: `listenfd` hears of the descriptor by variables of its own.
pub fn listener(expected: SocketAddr) -> Result<Option<TcpListener>, InheritError> {
    let Some(said) = std::env::var_os(VARIABLE) else {
        return Ok(None);
    };
    let said = said.to_string_lossy().into_owned();
    let number: i32 = said
        .parse()
        .ok()
        .filter(|n| *n > 2)
        .ok_or_else(|| InheritError::Number(said.clone()))?;
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let taken = ListenFd::from_env().take_tcp_listener(0)?;
    let listener = taken.ok_or(InheritError::Number(said))?;
    if !SockRef::from(&listener).is_listener()? {
        return Err(InheritError::Quiet(number));
    }
    let bound = listener.local_addr()?;
    if bound != expected {
        return Err(InheritError::Elsewhere(number, bound, expected));
    }
    listener.set_nonblocking(true)?;
    Ok(Some(listener))
}

//! The listening socket for clients, if the platform owns it and each process of the front inherits it.

use listenfd::ListenFd;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};

/// The environment variable with the number of the inherited descriptor.
pub const INHERITED_FD_VARIABLE: &str = "LB_INHERITED_FD";

/// Why an inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable is not the number of a descriptor.
    #[error("{INHERITED_FD_VARIABLE}: '{0}' is not the number of a descriptor")]
    NotANumber(String),
    /// The descriptor is not open, or is not a TCP socket.
    #[error("{INHERITED_FD_VARIABLE}: {0}")]
    Socket(#[from] std::io::Error),
    /// The socket does not listen.
    #[error("{INHERITED_FD_VARIABLE}: descriptor {0} does not listen")]
    NotListening(i32),
    /// The socket is bound to another address than configured.
    #[error("{INHERITED_FD_VARIABLE}: descriptor {0} listens on {1}, not on {2}")]
    AddressMismatch(i32, SocketAddr, SocketAddr),
}

/// The inherited socket, or `None` if the variable is not set. The socket is closed when this process ends, and no child
/// process inherits it. Call this before any thread starts, since it passes the descriptor to `listenfd` in environment
/// variables.
pub fn listener(expected: SocketAddr) -> Result<Option<TcpListener>, InheritError> {
    let Some(value) = std::env::var_os(INHERITED_FD_VARIABLE) else {
        return Ok(None);
    };
    let value = value.to_string_lossy().into_owned();
    let number: i32 = value
        .parse()
        .ok()
        .filter(|n| *n > 2)
        .ok_or_else(|| InheritError::NotANumber(value.clone()))?;
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let inherited = ListenFd::from_env().take_tcp_listener(0)?;
    let listener = inherited.ok_or(InheritError::NotANumber(value))?;
    if !SockRef::from(&listener).is_listener()? {
        return Err(InheritError::NotListening(number));
    }
    let bound = listener.local_addr()?;
    if bound != expected {
        return Err(InheritError::AddressMismatch(number, bound, expected));
    }
    listener.set_nonblocking(true)?;
    Ok(Some(listener))
}

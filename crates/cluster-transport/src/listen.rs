//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::time::Duration;

/// How many connections the kernel queues until they are accepted. If the queue is full, a client retries after
/// seconds.
const BACKLOG: i32 = 1024;

/// How long [`bind`] waits for an address that is in use.
const IN_USE_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay between two attempts of [`bind`].
const IN_USE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens at an address, without a retry.
///
/// The socket is non-blocking. The address may be one that another process has just released (`SO_REUSEADDR`).
///
/// # Errors
///
/// The error of the kernel, such as [`io::ErrorKind::AddrInUse`].
pub fn bind_once(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Listens at an address, and waits up to two seconds for another process to release it.
///
/// # Errors
///
/// The error of the kernel at the last attempt.
pub async fn bind(address: SocketAddrV4) -> io::Result<TcpListener> {
    let deadline = tokio::time::Instant::now() + IN_USE_TIMEOUT;
    loop {
        match bind_once(address) {
            Err(e)
                if e.kind() == io::ErrorKind::AddrInUse
                    && tokio::time::Instant::now() < deadline =>
            {
                tokio::time::sleep(IN_USE_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::time::Duration;

/// How many connections the kernel keeps until they are accepted. A full queue costs a caller seconds.
const BACKLOG: i32 = 1024;

/// How long [`bind`] waits for an address that is still taken.
const IN_USE_MOST: Duration = Duration::from_secs(2);

/// The wait between two tries of [`bind`].
const IN_USE_RETRY: Duration = Duration::from_millis(50);

/// Listens at an address at once.
///
/// The socket does not block, and the address may be one that was just given up.
///
/// # Errors
///
/// What the kernel answers, such as [`io::ErrorKind::AddrInUse`].
pub fn bind_once(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Listens at an address, and waits up to two seconds for another process to give it up.
///
/// # Errors
///
/// What the kernel answers in the end.
pub async fn bind(address: SocketAddrV4) -> io::Result<TcpListener> {
    let give_up = tokio::time::Instant::now() + IN_USE_MOST;
    loop {
        match bind_once(address) {
            Err(e)
                if e.kind() == io::ErrorKind::AddrInUse
                    && tokio::time::Instant::now() < give_up =>
            {
                tokio::time::sleep(IN_USE_RETRY).await;
            }
            result => return result,
        }
    }
}

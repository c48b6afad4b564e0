//! Connections that this process opens.

use super::codec::FrameReader;
use super::{tasks, Shared};
use lupinrack_cluster_api::frame::FRAME_BYTES_MOST;
use lupinrack_cluster_api::identity::PeerAddress;
use std::io;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Opens a connection to a peer and serves it; tries again while frames wait for it.
pub(super) async fn run(to: PeerAddress, shared: Arc<Shared>) {
    let mut failures = 0;
    let stream = loop {
        match tokio::time::timeout(shared.settings.connect_timeout, connect(to, &shared)).await {
            Ok(Ok(stream)) => break stream,
            Ok(Err(_)) | Err(_) => failures += 1,
        }
        tokio::time::sleep(shared.retry_after(failures)).await;
        if !shared.table().dial_again(to, &shared.settings) {
            return;
        }
    };
    serve(to, stream, shared).await;
}

async fn connect(to: PeerAddress, shared: &Shared) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(shared.settings.user_timeout))?;
    let stream = socket.connect(to.0.into()).await?;
    shared.configure(&stream)?;
    Ok(stream)
}

async fn serve(to: PeerAddress, stream: TcpStream, shared: Arc<Shared>) {
    let connection = {
        let mut table = shared.table();
        table.dialed(to);
        table.open(to, &shared.hello, &shared.settings)
    };
    let (read_half, write_half) = stream.into_split();
    tokio::spawn(tasks::write(connection.clone(), write_half));
    let reader = FrameReader::new(FRAME_BYTES_MOST);
    tasks::read(shared, connection, read_half, reader, None).await;
}

impl Shared {
    /// The wait after so many failures in a row: drawn between the least wait and a bound that doubles.
    fn retry_after(&self, failures: u32) -> Duration {
        let least = self.settings.retry_least;
        let bound = least
            .saturating_mul(1 << failures.min(8))
            .min(self.settings.retry_most)
            .max(least);
        let spread = (bound - least)
            .as_micros()
            .try_into()
            .unwrap_or(u64::MAX - 1);
        let mut jitter = self.jitter.lock().unwrap_or_else(PoisonError::into_inner);
        least + Duration::from_micros(jitter.u64(0..=spread))
    }
}

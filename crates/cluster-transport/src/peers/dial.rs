//! Connections that this process opens.

use super::codec::FrameReader;
use super::shared::Shared;
use super::{reader_task, writer_task};
use lupinrack_cluster_api::frame::MAX_FRAME_BYTES;
use lupinrack_cluster_api::identity::PeerAddress;
use std::io;
use std::sync::Arc;
use tokio::net::{TcpSocket, TcpStream};

/// Opens a connection to a peer and serves it; retries while frames wait for it.
pub(super) async fn run(to: PeerAddress, shared: Arc<Shared>) {
    let mut failures = 0;
    let stream = loop {
        match tokio::time::timeout(shared.settings.connect_timeout, connect(to, &shared)).await {
            Ok(Ok(stream)) => break stream,
            Ok(Err(_)) | Err(_) => failures += 1,
        }
        tokio::time::sleep(shared.reconnect_delay(failures)).await;
        if !shared.table().continue_dialing(to, &shared.settings) {
            return;
        }
    };
    serve(to, stream, shared).await;
}

async fn connect(to: PeerAddress, shared: &Shared) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let timeout = shared.settings.tcp_user_timeout;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(timeout))?;
    let stream = socket.connect(to.0.into()).await?;
    shared.configure(&stream)?;
    Ok(stream)
}

async fn serve(to: PeerAddress, stream: TcpStream, shared: Arc<Shared>) {
    let connection = {
        let mut table = shared.table();
        table.dialing_ended(to);
        table.open(to, &shared.hello, &shared.settings)
    };
    let (read_half, write_half) = stream.into_split();
    tokio::spawn(writer_task::run(connection.clone(), write_half));
    let reader = FrameReader::new(MAX_FRAME_BYTES);
    reader_task::run(shared, connection, read_half, reader, None).await;
}

//! Connections that peers open.

use super::codec::FrameReader;
use super::shared::Shared;
use super::{reader_task, writer_task};
use lupinrack_cluster_api::frame::{Frame, Hello, MAX_FRAME_BYTES};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};

/// The maximum size of the first frame, which is small since the sender is not known yet.
const MAX_HELLO_BYTES: usize = 4096;

/// The delay after a failed accept, which fails for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until it is notified to stop, or nobody receives events any more.
pub(super) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop_accepting.notified() => return,
            () = shared.events.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, shared.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Reads the greeting of the process that opened the connection, and serves it.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    if shared.configure(&stream).is_err() {
        return;
    }
    let (mut read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::new(MAX_HELLO_BYTES);
    let hello = read_hello(&shared, &mut reader, &mut read_half);
    let Ok(Some(hello)) = tokio::time::timeout(shared.settings.hello_timeout, hello).await else {
        return;
    };
    reader.set_max_frame_bytes(MAX_FRAME_BYTES);
    let connection = shared
        .table()
        .open(hello.address, &shared.hello, &shared.settings);
    tokio::spawn(writer_task::run(connection.clone(), write_half));
    reader_task::run(shared, connection, read_half, reader, Some(hello)).await;
}

/// The first frame, if it is a greeting.
async fn read_hello(
    shared: &Shared,
    reader: &mut FrameReader,
    stream: &mut OwnedReadHalf,
) -> Option<Hello> {
    loop {
        match reader.next() {
            Ok(Some(Frame::Hello(hello))) => return Some(hello),
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => {
                shared.count_violation();
                return None;
            }
        }
        if reader.read(stream).await.ok()? == 0 {
            return None;
        }
    }
}

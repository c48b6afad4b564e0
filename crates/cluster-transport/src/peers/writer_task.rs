//! The task of a connection that writes.

use super::connection::Connection;
use std::pin::pin;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Writes the queued bytes of a connection until it closes. One call writes everything that is queued.
pub(super) async fn run(connection: Arc<Connection>, mut stream: OwnedWriteHalf) {
    let mut closing = pin!(connection.closing());
    let mut batch = Vec::new();
    while !connection.is_closed() {
        let has_bytes = connection.take_queued(&mut batch);
        let step = async {
            if has_bytes {
                stream.write_all(&batch).await
            } else {
                connection.queue_filled().await;
                Ok(())
            }
        };
        let result = tokio::select! {
            result = step => result,
            () = &mut closing => break,
        };
        if result.is_err() {
            // Bytes that the peer has already sent are still read; the reading task then closes the connection.
            return connection.fail_writes();
        }
    }
}

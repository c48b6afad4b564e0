//! Frames as bytes: a length of four bytes, little-endian, and the `borsh` form.

use bytes::{Buf, BytesMut};
use lupinrack_cluster_api::frame::{Frame, FRAME_BYTES_MOST};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Room that is made for each read.
const READ_BYTES: usize = 16 * 1024;

/// A buffer that grew beyond this for a large frame is given back once it is empty.
const KEPT_BYTES: usize = 128 * 1024;

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(super) enum FrameError {
    /// the frame is larger than allowed
    TooLarge,
    /// the bytes are not a frame
    Garbage,
}

impl std::error::Error for FrameError {}

/// Appends a frame with its length to `buffer`, which is left as it was on failure.
pub(super) fn append(buffer: &mut Vec<u8>, frame: &Frame) -> Result<(), FrameError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = borsh::to_writer(&mut *buffer, frame).map_err(|_| FrameError::Garbage);
    let length = buffer.len() - start - LENGTH_BYTES;
    let checked = if length > FRAME_BYTES_MOST {
        Err(FrameError::TooLarge)
    } else {
        encoded
    };
    if checked.is_err() {
        buffer.truncate(start);
        return checked;
    }
    let length = u32::try_from(length).map_err(|_| FrameError::TooLarge)?;
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Cuts what a connection delivers into frames.
pub(super) struct FrameReader {
    buffer: BytesMut,
    frame_bytes_most: usize,
}

impl FrameReader {
    /// A reader that takes no frame above `frame_bytes_most`.
    pub(super) fn new(frame_bytes_most: usize) -> Self {
        FrameReader {
            buffer: BytesMut::new(),
            frame_bytes_most,
        }
    }

    /// Changes the size of the largest frame.
    pub(super) fn set_frame_bytes_most(&mut self, frame_bytes_most: usize) {
        self.frame_bytes_most = frame_bytes_most;
    }

    /// Reads once; 0 at the end of the stream. Nothing is lost where the future is dropped.
    pub(super) async fn read(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<usize> {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BYTES {
            self.buffer = BytesMut::new();
        }
        let missing = self.missing().min(self.frame_bytes_most);
        self.buffer.reserve(missing.max(READ_BYTES));
        stream.read_buf(&mut self.buffer).await
    }

    /// The next frame, where it has come whole.
    pub(super) fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.frame_length() else {
            return Ok(None);
        };
        if length > self.frame_bytes_most {
            return Err(FrameError::TooLarge);
        }
        let Some(bytes) = self.buffer.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let frame = borsh::from_slice(bytes).map_err(|_| FrameError::Garbage)?;
        self.buffer.advance(LENGTH_BYTES + length);
        Ok(Some(frame))
    }

    /// Whether nothing of a frame has come that is not whole.
    pub(super) fn is_between_frames(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The length of the frame at the front.
    fn frame_length(&self) -> Option<usize> {
        let length = self.buffer.first_chunk::<LENGTH_BYTES>()?;
        usize::try_from(u32::from_le_bytes(*length)).ok()
    }

    /// How many bytes of the frame at the front have not come.
    fn missing(&self) -> usize {
        self.frame_length().map_or(0, |length| {
            (LENGTH_BYTES + length).saturating_sub(self.buffer.len())
        })
    }
}

//! Frames as bytes: a length of four bytes, little-endian, then the frame in `borsh`.

use bytes::{Buf, BytesMut};
use lupinrack_cluster_api::frame::{Frame, MAX_FRAME_BYTES};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// The minimum buffer space for a read.
const MIN_READ_BYTES: usize = 16 * 1024;

/// A buffer that grew beyond this for a large frame is released once it is empty.
pub(super) const MAX_IDLE_BUFFER_BYTES: usize = 128 * 1024;

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(super) enum FrameError {
    /// the frame is larger than allowed
    TooLarge,
    /// the bytes are not a frame
    Malformed,
}

impl std::error::Error for FrameError {}

/// Appends a frame with its length to `buffer`, which is not changed on an error.
///
/// # Errors
///
/// [`FrameError::TooLarge`] if the frame has more than [`MAX_FRAME_BYTES`] bytes.
pub(super) fn append(buffer: &mut Vec<u8>, frame: &Frame) -> Result<(), FrameError> {
    let start = buffer.len();
    let appended = append_unchecked(buffer, frame);
    if appended.is_err() {
        buffer.truncate(start);
    }
    appended
}

fn append_unchecked(buffer: &mut Vec<u8>, frame: &Frame) -> Result<(), FrameError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = borsh::to_writer(&mut *buffer, frame);
    let length = buffer.len() - start - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge);
    }
    encoded.map_err(|_| FrameError::Malformed)?;
    let length = u32::try_from(length).map_err(|_| FrameError::TooLarge)?;
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Splits the bytes of a connection into frames.
pub(super) struct FrameReader {
    buffer: BytesMut,
    max_frame_bytes: usize,
}

impl FrameReader {
    /// A reader that accepts frames of up to this size.
    pub(super) fn new(max_frame_bytes: usize) -> Self {
        FrameReader {
            buffer: BytesMut::new(),
            max_frame_bytes,
        }
    }

    /// Changes the maximum size of a frame.
    pub(super) fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.max_frame_bytes = max_frame_bytes;
    }

    /// Reads once; 0 at the end of the stream. Nothing is lost if the future is dropped.
    pub(super) async fn read(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<usize> {
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        let missing = self.missing_bytes().min(self.max_frame_bytes);
        self.buffer.reserve(missing.max(MIN_READ_BYTES));
        stream.read_buf(&mut self.buffer).await
    }

    /// The next frame, once it is complete.
    ///
    /// # Errors
    ///
    /// If the frame is larger than allowed, or its bytes are not a frame.
    pub(super) fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.frame_length() else {
            return Ok(None);
        };
        if length > self.max_frame_bytes {
            return Err(FrameError::TooLarge);
        }
        let Some(bytes) = self.buffer.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let frame = borsh::from_slice(bytes).map_err(|_| FrameError::Malformed)?;
        self.buffer.advance(LENGTH_BYTES + length);
        Ok(Some(frame))
    }

    /// Whether no incomplete frame has arrived.
    pub(super) fn is_between_frames(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The length of the first frame in the buffer.
    fn frame_length(&self) -> Option<usize> {
        let length = self.buffer.first_chunk::<LENGTH_BYTES>()?;
        usize::try_from(u32::from_le_bytes(*length)).ok()
    }

    /// How many bytes of the first frame in the buffer have not arrived.
    fn missing_bytes(&self) -> usize {
        self.frame_length().map_or(0, |length| {
            (LENGTH_BYTES + length).saturating_sub(self.buffer.len())
        })
    }
}

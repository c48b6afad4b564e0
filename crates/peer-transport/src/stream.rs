//! Bounded streams between two fronts, for messages that do not fit into a datagram.
//!
//! A message has up to [`MAX_MESSAGE_BYTES`]. Messages to one front are delivered in order, each to its protocol exactly once and
//! complete, or are reported as lost.
//!
//! A message is split into segments. The receiver acknowledges each segment, together with how many bytes it has without a gap.
//! The sender keeps a window of segments in flight and retransmits with exponential backoff while no acknowledgement arrives.
//! Streams belong to the process incarnations of both ends. When either end restarts, its streams start empty, and messages in
//! flight are reported as lost to the protocol that sent them.

use crate::frame::{Reader, Tag, Writer};
use lupinrack_policy::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The size of the largest message.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Messages queued for one front, including the one in flight.
const MAX_QUEUED_MESSAGES: usize = 16;
/// Bytes of incomplete messages from all fronts together.
const MAX_REASSEMBLY_BYTES: usize = 1 << 20;
/// Segments in flight to one front.
const WINDOW_SEGMENTS: usize = 12;
/// The first and the longest retransmission timeout; half of it is jitter.
const MIN_RETRANSMIT_TIMEOUT: Micros = 40_000;
const MAX_RETRANSMIT_TIMEOUT: Micros = 1_000_000;
/// A message without progress for this long is lost.
const PROGRESS_TIMEOUT: Micros = 15_000_000;
/// The size of the header of a segment, and of an acknowledgement.
const SEGMENT_HEADER_BYTES: usize = 14;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// It is empty or too long.
    #[error("a message must have 1 to {MAX_MESSAGE_BYTES} bytes")]
    InvalidLength,
    /// Too many messages are queued for this front.
    #[error("too many messages are queued for this front")]
    QueueFull,
}

/// What a call produces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A segment or an acknowledgement for a front: the payload of a datagram under [`Tag::STREAM`].
    Segment(u16, Vec<u8>),
    /// A complete message from a front.
    Received(u16, Tag, Vec<u8>),
    /// A front acknowledged the complete message with this number.
    Delivered(u16, Tag, u32),
    /// The message with this number was not delivered to the protocol at this front, or that is unknown.
    Lost(u16, Tag, u32),
}

struct Message {
    number: u32,
    tag: Tag,
    bytes: Vec<u8>,
}

/// A segment in flight.
struct Segment {
    start: usize,
    end: usize,
    sent_at: Micros,
    /// It was sent more than once, so its acknowledgement gives no sample of the round-trip time.
    retransmitted: bool,
    acknowledged: bool,
}

/// The messages to one front.
#[derive(Default)]
struct SendStream {
    last_number: u32,
    queue: VecDeque<Message>,
    /// The bytes of the first queued message that the receiver has without a gap, and the segments in flight after them.
    acknowledged_bytes: usize,
    window: VecDeque<Segment>,
    /// The smoothed round-trip time, and the wait until a segment is retransmitted.
    rtt: Micros,
    retransmit_timeout: Micros,
    /// A segment was acknowledged since the last retransmission.
    ack_received: bool,
    progress_at: Micros,
}

impl SendStream {
    fn start_message(&mut self, now: Micros) {
        (
            self.acknowledged_bytes,
            self.retransmit_timeout,
            self.progress_at,
        ) = (0, self.initial_timeout(), now);
        self.window.clear();
    }

    fn initial_timeout(&self) -> Micros {
        (self.rtt * 2).clamp(MIN_RETRANSMIT_TIMEOUT, MAX_RETRANSMIT_TIMEOUT)
    }
}

/// The messages from one front.
#[derive(Default)]
struct ReceiveStream {
    /// The number of the last complete message; the next one is being received.
    last_complete: u32,
    tag: u8,
    message_bytes: usize,
    bytes: Vec<u8>,
    /// The received ranges of it, as start and end; sorted and without overlaps.
    received: Vec<(usize, usize)>,
}

impl ReceiveStream {
    /// How many bytes are received without a gap.
    fn contiguous_bytes(&self) -> usize {
        self.received
            .first()
            .filter(|range| range.0 == 0)
            .map_or(0, |range| range.1)
    }

    fn insert(&mut self, offset: usize, bytes: &[u8]) {
        let (mut start, mut end) = (offset, offset + bytes.len());
        self.bytes[start..end].copy_from_slice(bytes);
        self.received.retain(|range| {
            let disjoint = range.1 < start || range.0 > end;
            if !disjoint {
                (start, end) = (start.min(range.0), end.max(range.1));
            }
            disjoint
        });
        let position = self.received.partition_point(|range| range.0 < start);
        self.received.insert(position, (start, end));
    }
}

/// All streams of one process incarnation of a front.
pub struct Streams {
    max_segment_bytes: usize,
    sending: BTreeMap<u16, SendStream>,
    receiving: BTreeMap<u16, ReceiveStream>,
    reassembly_bytes: usize,
    paused: Vec<Tag>,
    rng: fastrand::Rng,
}

impl Streams {
    /// Streams without messages, over datagrams of at most `max_payload_bytes`.
    pub fn new(max_payload_bytes: usize, seed: u64) -> Streams {
        let rng = fastrand::Rng::with_seed(seed);
        let max_segment_bytes = max_payload_bytes
            .saturating_sub(SEGMENT_HEADER_BYTES)
            .max(1);
        Streams {
            max_segment_bytes,
            sending: BTreeMap::new(),
            receiving: BTreeMap::new(),
            reassembly_bytes: 0,
            paused: Vec::new(),
            rng,
        }
    }

    /// Queues a message for a protocol at another front. Its number returns in [`Output::Delivered`] or [`Output::Lost`].
    pub fn send(
        &mut self,
        now: Micros,
        to: u16,
        tag: Tag,
        bytes: Vec<u8>,
    ) -> Result<u32, SendError> {
        if bytes.is_empty() || bytes.len() > MAX_MESSAGE_BYTES {
            return Err(SendError::InvalidLength);
        }
        let stream = self.sending.entry(to).or_default();
        if stream.queue.len() >= MAX_QUEUED_MESSAGES {
            return Err(SendError::QueueFull);
        }
        stream.last_number += 1;
        if stream.queue.is_empty() {
            stream.start_message(now);
        }
        stream.queue.push_back(Message {
            number: stream.last_number,
            tag,
            bytes,
        });
        Ok(stream.last_number)
    }

    /// A front restarted: all messages to it are lost. Their numbers are not reused, because the new process incarnation may have
    /// received segments of some already.
    pub fn on_restart(&mut self, now: Micros, front: u16, out: &mut Vec<Output>) {
        if let Some(stream) = self.receiving.remove(&front) {
            self.reassembly_bytes -= stream.message_bytes;
        }
        if let Some(stream) = self.sending.get_mut(&front) {
            out.extend(
                stream
                    .queue
                    .drain(..)
                    .map(|m| Output::Lost(front, m.tag, m.number)),
            );
            stream.start_message(now);
        }
    }

    /// Pauses or resumes the messages to a local protocol. While it is paused, its segments are dropped and their senders
    /// retransmit.
    pub fn set_paused(&mut self, tag: Tag, paused: bool) {
        self.paused.retain(|t| *t != tag);
        self.paused.extend(paused.then_some(tag));
    }

    /// The number of messages that are queued or in flight.
    pub fn queued_messages(&self) -> usize {
        self.sending.values().map(|s| s.queue.len()).sum()
    }

    /// Sends the segments that are due, at most a window for each front. `may_send` says whether a payload of a size may be sent
    /// to a front.
    pub fn tick(
        &mut self,
        now: Micros,
        mut may_send: impl FnMut(u16, usize) -> bool,
        out: &mut Vec<Output>,
    ) {
        for (to, stream) in &mut self.sending {
            let Some(message) = stream
                .queue
                .front()
                .filter(|_| now - stream.progress_at < PROGRESS_TIMEOUT)
            else {
                if let Some(message) = stream.queue.pop_front() {
                    out.push(Output::Lost(*to, message.tag, message.number));
                    stream.start_message(now);
                }
                continue;
            };
            let mut try_send = |start: usize, end: usize| {
                let allowed = may_send(*to, SEGMENT_HEADER_BYTES + end - start);
                if allowed {
                    let mut writer = Writer(Vec::with_capacity(SEGMENT_HEADER_BYTES + end - start));
                    writer.put([0, message.tag.0]);
                    writer.put(message.number.to_le_bytes());
                    writer.put((message.bytes.len() as u32).to_le_bytes());
                    writer.put((start as u32).to_le_bytes());
                    writer.0.extend_from_slice(&message.bytes[start..end]);
                    out.push(Output::Segment(*to, writer.0));
                }
                allowed
            };
            let mut retransmitted = false;
            for segment in stream.window.iter_mut().filter(|s| !s.acknowledged) {
                let wait =
                    stream.retransmit_timeout / 2 + self.rng.i64(0..=stream.retransmit_timeout / 2);
                if now - segment.sent_at >= wait && try_send(segment.start, segment.end) {
                    (segment.sent_at, segment.retransmitted, retransmitted) = (now, true, true);
                }
            }
            if retransmitted && !std::mem::take(&mut stream.ack_received) {
                stream.retransmit_timeout =
                    (stream.retransmit_timeout * 2).min(MAX_RETRANSMIT_TIMEOUT);
            }
            while stream.window.len() < WINDOW_SEGMENTS {
                let start = stream
                    .window
                    .back()
                    .map_or(stream.acknowledged_bytes, |s| s.end);
                let end = (start + self.max_segment_bytes).min(message.bytes.len());
                if start == end || !try_send(start, end) {
                    break;
                }
                stream.window.push_back(Segment {
                    start,
                    end,
                    sent_at: now,
                    retransmitted: false,
                    acknowledged: false,
                });
            }
        }
    }

    /// Handles the payload of a datagram from another front.
    pub fn receive(&mut self, now: Micros, from: u16, payload: &[u8], out: &mut Vec<Output>) {
        let mut reader = Reader(payload);
        let mut read_header = || {
            Some((
                reader.u8()?,
                reader.u8()?,
                reader.u32()?,
                reader.u32()? as usize,
                reader.u32()? as usize,
            ))
        };
        let Some((kind, tag, number, message_bytes, offset)) = read_header() else {
            return;
        };
        match kind {
            0 => self.on_segment(from, (tag, number, message_bytes, offset), reader.0, out),
            // An acknowledgement has the segment's offset where a segment has the size of the message.
            1 if reader.0.is_empty() => {
                self.on_ack(now, from, (number, message_bytes, offset), out)
            }
            _ => {}
        }
    }

    fn on_segment(
        &mut self,
        from: u16,
        header: (u8, u32, usize, usize),
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let (tag, number, message_bytes, offset) = header;
        let paused = self.paused.iter().any(|t| t.0 == tag);
        if bytes.is_empty()
            || message_bytes > MAX_MESSAGE_BYTES
            || offset + bytes.len() > message_bytes
            || number == 0
            || paused
        {
            return;
        }
        let stream = self.receiving.entry(from).or_default();
        if number > stream.last_complete {
            // A new message replaces an incomplete one, which its sender has given up.
            let in_progress = stream.message_bytes > 0
                && (number, message_bytes, tag)
                    == (stream.last_complete + 1, stream.message_bytes, stream.tag);
            if !in_progress {
                self.reassembly_bytes -= stream.message_bytes;
                *stream = ReceiveStream {
                    last_complete: stream.last_complete,
                    tag,
                    ..ReceiveStream::default()
                };
                if self.reassembly_bytes + message_bytes > MAX_REASSEMBLY_BYTES {
                    return;
                }
                (stream.last_complete, stream.message_bytes, stream.bytes) =
                    (number - 1, message_bytes, vec![0; message_bytes]);
                self.reassembly_bytes += message_bytes;
            }
            if stream.received.len() < WINDOW_SEGMENTS + 1 {
                stream.insert(offset, bytes);
            }
            if stream.contiguous_bytes() == stream.message_bytes {
                self.reassembly_bytes -= stream.message_bytes;
                let complete = std::mem::replace(
                    stream,
                    ReceiveStream {
                        last_complete: number,
                        ..ReceiveStream::default()
                    },
                );
                out.push(Output::Received(from, Tag(tag), complete.bytes));
            }
        }
        let contiguous_bytes = if number <= stream.last_complete {
            message_bytes
        } else {
            stream.contiguous_bytes()
        };
        let mut writer = Writer(Vec::with_capacity(SEGMENT_HEADER_BYTES));
        writer.put([1, tag]);
        writer.put(number.to_le_bytes());
        writer.put((offset as u32).to_le_bytes());
        writer.put((contiguous_bytes as u32).to_le_bytes());
        out.push(Output::Segment(from, writer.0));
    }

    /// The receiver has the segment at `offset`, and the first `contiguous_bytes` of the message.
    fn on_ack(
        &mut self,
        now: Micros,
        from: u16,
        (number, offset, contiguous_bytes): (u32, usize, usize),
        out: &mut Vec<Output>,
    ) {
        let Some(stream) = self.sending.get_mut(&from) else {
            return;
        };
        let Some(message) = stream
            .queue
            .front()
            .filter(|m| m.number == number && contiguous_bytes <= m.bytes.len())
        else {
            return;
        };
        for segment in stream
            .window
            .iter_mut()
            .filter(|s| !s.acknowledged && (s.start == offset || s.end <= contiguous_bytes))
        {
            segment.acknowledged = true;
            (stream.ack_received, stream.progress_at) = (true, now);
            if segment.start == offset && !segment.retransmitted {
                stream.rtt +=
                    (now - segment.sent_at - stream.rtt) / if stream.rtt == 0 { 1 } else { 8 };
            }
        }
        while let Some(segment) = stream.window.pop_front_if(|s| s.acknowledged) {
            stream.acknowledged_bytes = segment.end;
        }
        stream.retransmit_timeout = if stream.ack_received {
            stream.initial_timeout()
        } else {
            stream.retransmit_timeout
        };
        if stream.acknowledged_bytes == message.bytes.len() {
            out.push(Output::Delivered(from, message.tag, number));
            stream.queue.pop_front();
            stream.start_message(now);
        }
    }
}

//! Export of flows: one IPFIX record (RFC 7011) for each finished request or transfer, over UDP. It listens to
//! the core's events, and a collector that is slow or away costs records, never time.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod config;

use bytes::{BufMut, BytesMut};
use config::IpfixConfig;
use lupinrack_policy::Micros;
use lupinrack_request_engine::{Flow, FlowEnd};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The template's number; the first that RFC 7011 leaves free.
pub const TEMPLATE: u16 = 256;
/// Records that may wait for the exporter; further ones are dropped.
pub const WAITING_MOST: usize = 1024;
/// The longest message: it fits a datagram that no usual link splits.
const MESSAGE_MOST: usize = 1400;
/// Set on an information element that is this project's own.
const ENTERPRISE: u16 = 0x8000;
/// The enterprise number that RFC 5612 keeps for examples: the elements are this project's own, and it has
/// none registered.
pub const ENTERPRISE_NUMBER: u32 = 32_473;

/// The fields of a record, in order: element, length, and whether the element is this project's own.
pub const FIELDS: [(u16, u16, bool); 10] = [
    (152, 8, false), // flowStartMilliseconds
    (153, 8, false), // flowEndMilliseconds
    (1, 8, false),   // octetDeltaCount
    (148, 8, false), // flowId
    (136, 1, false), // flowEndReason
    (1, 8, true),    // volume
    (2, 4, true),    // units, in thousandths
    (3, 2, true),    // class
    (4, 2, true),    // attempts
    (5, 1, true),    // how it ended: see `end_code`
];

/// RFC 5102's flowEndReason: the end was seen, or the flow was forced to end.
fn end_reason(end: FlowEnd) -> u8 {
    match end {
        FlowEnd::Served => 3,
        FlowEnd::Rejected | FlowEnd::Failed | FlowEnd::ClientGone => 4,
    }
}

fn end_code(end: FlowEnd) -> u8 {
    match end {
        FlowEnd::Served => 0,
        FlowEnd::Rejected => 1,
        FlowEnd::Failed => 2,
        FlowEnd::ClientGone => 3,
    }
}

/// Messages of one observation domain, numbered as RFC 7011 wants it.
struct Messages {
    domain: u32,
    sequence: u32,
    unix_offset: Micros,
}

impl Messages {
    fn millis(&self, at: Micros) -> u64 {
        u64::try_from((at + self.unix_offset) / 1000).unwrap_or(0)
    }

    /// A message with these sets and so many records in it.
    fn message(&mut self, sets: &[u8], records: u32) -> BytesMut {
        let mut to = BytesMut::with_capacity(16 + sets.len());
        to.put_u16(10);
        to.put_u16((16 + sets.len()) as u16);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        to.put_u32(now.as_secs() as u32);
        // The number of data records sent before this message.
        to.put_u32(self.sequence);
        to.put_u32(self.domain);
        to.put_slice(sets);
        self.sequence = self.sequence.wrapping_add(records);
        to
    }

    fn record(&self, flow: &Flow, to: &mut BytesMut) {
        to.put_u64(self.millis(flow.opened));
        to.put_u64(self.millis(flow.ended));
        to.put_u64(flow.bytes);
        to.put_u64(u64::from(flow.request.id.0));
        to.put_u8(end_reason(flow.end));
        to.put_u64(flow.request.volume.0);
        to.put_u32((flow.units * 1000.0) as u32);
        to.put_u16(flow.request.class);
        to.put_u16(flow.attempts);
        to.put_u8(end_code(flow.end));
    }
}

fn template() -> BytesMut {
    let mut to = BytesMut::new();
    let length = 8 + FIELDS
        .iter()
        .map(|f| if f.2 { 8 } else { 4 })
        .sum::<usize>();
    to.put_u16(2);
    to.put_u16(length as u16);
    to.put_u16(TEMPLATE);
    to.put_u16(FIELDS.len() as u16);
    for (element, length, own) in FIELDS {
        to.put_u16(if own { element | ENTERPRISE } else { element });
        to.put_u16(length);
        if own {
            to.put_u32(ENTERPRISE_NUMBER);
        }
    }
    to
}

/// Sends records until the core is gone. `unix_offset` leads from the monotonic clock to Unix time.
pub async fn run(
    config: IpfixConfig,
    unix_offset: Micros,
    mut flows: mpsc::Receiver<Flow>,
) -> std::io::Result<()> {
    let any = if config.collector.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(any).await?;
    socket.connect(config.collector).await?;
    let mut messages = Messages {
        domain: config.domain,
        sequence: 0,
        unix_offset,
    };
    let length = FIELDS.iter().map(|f| usize::from(f.1)).sum::<usize>();
    let most = (MESSAGE_MOST - 16 - template().len() - 4) / length;
    let (mut batch, mut told): (Vec<Flow>, Option<Instant>) = (Vec::new(), None);
    while flows.recv_many(&mut batch, most).await > 0 {
        let mut sets = BytesMut::new();
        // UDP loses messages, and collectors start late: the template goes out again and again.
        if told.is_none_or(|t| t.elapsed() >= config.template_every) {
            told = Some(Instant::now());
            sets.extend_from_slice(&template());
        }
        sets.put_u16(TEMPLATE);
        sets.put_u16((4 + batch.len() * length) as u16);
        batch
            .iter()
            .for_each(|flow| messages.record(flow, &mut sets));
        let message = messages.message(&sets, batch.len() as u32);
        batch.clear();
        // An error here (nobody listens) tells of an earlier message; what is lost is lost.
        if let Err(e) = socket.send(&message).await {
            tracing::debug!("ipfix: {e}");
        }
    }
    Ok(())
}

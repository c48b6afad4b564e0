//! Export of flows over UDP: one IPFIX data record (RFC 7011) for each finished request or transfer. The request engine
//! sends the flows without waiting, so a slow or unreachable collector loses records and delays no request.
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

/// Template ID, also the set ID of its data sets. 256 is the first ID that RFC 7011 does not reserve.
pub const TEMPLATE_ID: u16 = 256;
/// Most flows that wait for the exporter; further ones are dropped.
pub const MAX_QUEUED_FLOWS: usize = 1024;
/// Longest message in bytes. It fits an Ethernet frame, so the datagram is not fragmented.
const MAX_MESSAGE_BYTES: usize = 1400;
/// Enterprise bit of an information element that has an enterprise number.
const ENTERPRISE_BIT: u16 = 0x8000;
/// Enterprise number of the project-specific information elements. The project has none registered, so this is the one
/// that RFC 5612 reserves for examples.
pub const ENTERPRISE_NUMBER: u32 = 32_473;

/// Fields of a data record in order: information element, length in bytes, and whether the element is project-specific.
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
    (5, 1, true),    // end of the flow, see `end_code`
];

/// flowEndReason of RFC 5102: 3 is end of flow detected, 4 is forced end.
fn end_reason(end: FlowEnd) -> u8 {
    match end {
        FlowEnd::Served => 3,
        FlowEnd::Rejected | FlowEnd::Failed | FlowEnd::ClientGone => 4,
    }
}

/// Project-specific code for the end of a flow.
fn end_code(end: FlowEnd) -> u8 {
    match end {
        FlowEnd::Served => 0,
        FlowEnd::Rejected => 1,
        FlowEnd::Failed => 2,
        FlowEnd::ClientGone => 3,
    }
}

/// Encodes the messages of one observation domain and numbers them as RFC 7011 requires.
struct Messages {
    observation_domain: u32,
    /// Number of data records sent before the next message.
    sequence: u32,
    unix_offset_us: Micros,
}

impl Messages {
    fn unix_millis(&self, time: Micros) -> u64 {
        u64::try_from((time + self.unix_offset_us) / 1000).unwrap_or(0)
    }

    /// Encodes a message with these sets, which contain `record_count` data records.
    fn message(&mut self, sets: &[u8], record_count: u32) -> BytesMut {
        let mut output = BytesMut::with_capacity(16 + sets.len());
        output.put_u16(10);
        output.put_u16((16 + sets.len()) as u16);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        output.put_u32(now.as_secs() as u32);
        output.put_u32(self.sequence);
        output.put_u32(self.observation_domain);
        output.put_slice(sets);
        self.sequence = self.sequence.wrapping_add(record_count);
        output
    }

    fn record(&self, flow: &Flow, output: &mut BytesMut) {
        output.put_u64(self.unix_millis(flow.opened));
        output.put_u64(self.unix_millis(flow.ended));
        output.put_u64(flow.bytes);
        output.put_u64(u64::from(flow.request.id.0));
        output.put_u8(end_reason(flow.end));
        output.put_u64(flow.request.volume.0);
        output.put_u32((flow.units * 1000.0) as u32);
        output.put_u16(flow.request.class);
        output.put_u16(flow.attempts);
        output.put_u8(end_code(flow.end));
    }
}

/// Encodes the template set.
fn template_set() -> BytesMut {
    let mut output = BytesMut::new();
    let length = 8 + FIELDS
        .iter()
        .map(|field| if field.2 { 8 } else { 4 })
        .sum::<usize>();
    output.put_u16(2);
    output.put_u16(length as u16);
    output.put_u16(TEMPLATE_ID);
    output.put_u16(FIELDS.len() as u16);
    for (element, length, project_specific) in FIELDS {
        output.put_u16(if project_specific {
            element | ENTERPRISE_BIT
        } else {
            element
        });
        output.put_u16(length);
        if project_specific {
            output.put_u32(ENTERPRISE_NUMBER);
        }
    }
    output
}

/// Exports flows until the channel is closed. `unix_offset_us` is the difference between Unix time and the monotonic clock.
pub async fn run(
    config: IpfixConfig,
    unix_offset_us: Micros,
    mut flows: mpsc::Receiver<Flow>,
) -> std::io::Result<()> {
    let local_address = if config.collector.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local_address).await?;
    socket.connect(config.collector).await?;
    let mut messages = Messages {
        observation_domain: config.domain,
        sequence: 0,
        unix_offset_us,
    };
    let record_bytes = FIELDS
        .iter()
        .map(|field| usize::from(field.1))
        .sum::<usize>();
    let max_records = (MAX_MESSAGE_BYTES - 16 - template_set().len() - 4) / record_bytes;
    let (mut batch, mut template_sent_at): (Vec<Flow>, Option<Instant>) = (Vec::new(), None);
    while flows.recv_many(&mut batch, max_records).await > 0 {
        let mut sets = BytesMut::new();
        // Over UDP the template is sent periodically: messages get lost, and collectors start later.
        if template_sent_at.is_none_or(|sent_at| sent_at.elapsed() >= config.template_interval) {
            template_sent_at = Some(Instant::now());
            sets.extend_from_slice(&template_set());
        }
        sets.put_u16(TEMPLATE_ID);
        sets.put_u16((4 + batch.len() * record_bytes) as u16);
        batch
            .iter()
            .for_each(|flow| messages.record(flow, &mut sets));
        let message = messages.message(&sets, batch.len() as u32);
        batch.clear();
        // The error may belong to an earlier message (port unreachable). Messages are not sent again.
        if let Err(error) = socket.send(&message).await {
            tracing::debug!("sending an IPFIX message failed: {error}");
        }
    }
    Ok(())
}

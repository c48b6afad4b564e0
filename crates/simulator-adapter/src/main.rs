//! Adapter between the wire protocol of the simulator and the library: one [`lupinrack_policy::Balancer`]
//! for each instance. It decodes batches of records into events and encodes actions as replies; it makes no
//! decisions.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod wire;

use lupinrack_front_settings as settings;
use lupinrack_policy::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use wire::{Incoming, Reply};

/// A larger length of a batch counts as corrupt.
const MAX_BATCH_BYTES: usize = 1 << 30;

fn main() {
    let (stdin, stdout) = (io::stdin().lock(), io::stdout().lock());
    if let Err(error) = serve(
        io::BufReader::with_capacity(1 << 16, stdin),
        io::BufWriter::new(stdout),
    ) {
        eprintln!("lupinrack-simulator-adapter: {error}");
        std::process::exit(1);
    }
}

/// Reads batches and writes a reply to each, until the input ends between two frames.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u16, (Balancer, Vec<String>)> = BTreeMap::new();
    let mut actions = Vec::new();
    while let Some(frame) = read_frame(&mut input)? {
        let (now, records) = wire::batch(&frame)?;
        let mut reply = Reply::default();
        for record in records {
            let columns = |instance: u16| instances.get(&instance).map_or(&[][..], |i| &i.1[..]);
            let (instance, incoming) = wire::record(record?, columns)?;
            match incoming {
                Incoming::Start { seed, info } => match settings::parse(&info) {
                    Ok(parsed) => {
                        instances.insert(
                            instance,
                            (Balancer::new(parsed.policy, seed), parsed.load_columns),
                        );
                    }
                    Err(error) => reply.crash(instance, &error),
                },
                Incoming::Stop => drop(instances.remove(&instance)),
                Incoming::Event(event) => {
                    let Some((balancer, _)) = instances.get_mut(&instance) else {
                        continue;
                    };
                    balancer.handle(now, event, &mut actions);
                    for action in actions.drain(..) {
                        reply.action(instance, &action);
                    }
                }
            }
        }
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Reads the next frame and returns what follows its length; `None` at a clean end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut header = [0; 4];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err("input ends inside a batch header".into()),
            Ok(n) => received += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    // The length counts the records alone. Before them come the clock (8 bytes) and the count (4 bytes).
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_BATCH_BYTES {
        return Err(format!("batch length {length} is out of range"));
    }
    let length = length + 12;
    let mut frame = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut frame)
        .map_err(|e| e.to_string())?;
    if frame.len() < length {
        return Err(format!(
            "input ends inside a batch: {} of {length} bytes",
            frame.len()
        ));
    }
    Ok(Some(frame))
}

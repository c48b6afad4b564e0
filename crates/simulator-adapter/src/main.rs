//! Adapter between the bench's wire and the library: one [`lupinrack_policy::Balancer`] for each instance. It frames,
//! names and converts; it decides nothing.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod wire;

use lupinrack_front_settings as settings;
use lupinrack_policy::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use wire::{Incoming, Reply};

/// Larger batches than this are taken for a broken length.
const LONGEST_BATCH: usize = 1 << 30;

fn main() {
    let (stdin, stdout) = (io::stdin().lock(), io::stdout().lock());
    if let Err(what) = serve(
        io::BufReader::with_capacity(1 << 16, stdin),
        io::BufWriter::new(stdout),
    ) {
        eprintln!("lupinrack-simulator-adapter: {what}");
        std::process::exit(1);
    }
}

/// Answers batch after batch until the input ends between two frames.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut brains: BTreeMap<u16, (Balancer, Vec<String>)> = BTreeMap::new();
    let mut actions = Vec::new();
    while let Some(frame) = read_frame(&mut input)? {
        let (now, records) = wire::batch(&frame)?;
        let mut reply = Reply::default();
        for record in records {
            let columns = |instance: u16| brains.get(&instance).map_or(&[][..], |b| &b.1[..]);
            let (instance, incoming) = wire::record(record?, columns)?;
            match incoming {
                Incoming::Start { seed, info } => match settings::parse(&info) {
                    Ok(told) => {
                        brains.insert(
                            instance,
                            (Balancer::new(told.policy, seed), told.load_columns),
                        );
                    }
                    Err(what) => reply.crash(instance, &what),
                },
                Incoming::Stop => drop(brains.remove(&instance)),
                Incoming::Event(event) => {
                    let Some((balancer, _)) = brains.get_mut(&instance) else {
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

/// The next frame's content after its length; none at a clean end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut head = [0; 4];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err("input ends inside a batch header".into()),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    // The length counts what follows the header; the header goes on for a clock and a count.
    let length = u32::from_be_bytes(head) as usize;
    if length > LONGEST_BATCH {
        return Err(format!("batch length {length} is absurd"));
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

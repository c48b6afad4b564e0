//! Sends a worker's heartbeats over HTTP.

use super::messages::{Heartbeat, HeartbeatAnswer};
use super::state_machine::Worker;
use crate::http1::{Message, Reader};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// How long a heartbeat waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of the heartbeat that reports the end of a run.
const HEARTBEAT_AFTER_END_DELAY: Duration = Duration::from_millis(50);
/// How often the worker advances its runs.
const WORK_STEP: Duration = Duration::from_millis(10);

/// Where and how often a worker sends heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatSettings {
    /// The agent's address.
    pub agent: SocketAddrV4,
    /// The longest time between two heartbeats.
    pub interval: Duration,
    /// Zero of the worker's clock. All workers of a cluster share it, because the members of a gang compare times.
    pub epoch: Instant,
}

/// Sends heartbeats until the task is aborted.
pub async fn run(mut worker: Worker, settings: HeartbeatSettings) {
    loop {
        let sent_at = now_ms(settings.epoch);
        worker.advance_to(sent_at);
        let heartbeat = worker.heartbeat(sent_at);
        let ends_before = worker.ends();
        let pause = match send(settings.agent, worker.id(), &heartbeat).await {
            Ok(answer) => {
                let pause = Duration::from_millis(answer.retry_after_ms);
                worker.apply_answer(answer, sent_at, now_ms(settings.epoch));
                if pause.is_zero() {
                    settings.interval
                } else {
                    pause.min(settings.interval)
                }
            }
            Err(_) => settings.interval / 4,
        };
        work_for(&mut worker, settings.epoch, pause, ends_before).await;
    }
}

/// Advances the worker's runs until the next heartbeat is due.
async fn work_for(worker: &mut Worker, epoch: Instant, pause: Duration, ends_before: u64) {
    let mut heartbeat_due = Instant::now() + pause;
    let mut shortened = false;
    loop {
        worker.advance_to(now_ms(epoch));
        if worker.ends() > ends_before && !shortened {
            shortened = true;
            heartbeat_due = heartbeat_due.min(Instant::now() + HEARTBEAT_AFTER_END_DELAY);
        }
        if Instant::now() >= heartbeat_due {
            return;
        }
        sleep_until(heartbeat_due.min(Instant::now() + WORK_STEP)).await;
    }
}

/// Milliseconds since `epoch`.
fn now_ms(epoch: Instant) -> u64 {
    u64::try_from(epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
}

async fn send(agent: SocketAddrV4, id: &str, heartbeat: &Heartbeat) -> io::Result<HeartbeatAnswer> {
    timeout(ANSWER_TIMEOUT, exchange(agent, id, heartbeat))
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

async fn exchange(
    agent: SocketAddrV4,
    id: &str,
    heartbeat: &Heartbeat,
) -> io::Result<HeartbeatAnswer> {
    let body = serde_json::to_vec(heartbeat)?;
    let head = format!(
        "PUT /lupinrack/instances/{id} HTTP/1.1\r\nHost: {agent}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(agent).await?;
    stream
        .write_all(&[head.into_bytes(), body].concat())
        .await?;
    let answer = Reader::default()
        .next(&mut stream)
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    parse_answer(&answer)
}

fn parse_answer(answer: &Message) -> io::Result<HeartbeatAnswer> {
    match answer.status() {
        200 if answer.body.is_empty() => Ok(HeartbeatAnswer::default()),
        200 => Ok(serde_json::from_slice(&answer.body)?),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

//! Lets a worker beat over HTTP.

use super::machine::Worker;
use super::messages::{Beat, BeatAnswer};
use crate::http1::{Message, Reader};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// How long a heartbeat waits for its answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// How soon after an end the worker beats again.
const AFTER_END: Duration = Duration::from_millis(50);
/// How often the worker looks at what it runs.
const STEP: Duration = Duration::from_millis(10);

/// Where a worker beats, and how often at least.
#[derive(Clone, Copy, Debug)]
pub struct BeatSettings {
    /// The agent's address.
    pub agent: SocketAddrV4,
    /// Between two heartbeats.
    pub every: Duration,
    /// The worker's clock counts from here. All workers of a cluster share it, as the members of a gang meet by it.
    pub epoch: Instant,
}

/// Beats until the task is aborted.
pub async fn run(mut worker: Worker, settings: BeatSettings) {
    loop {
        let sent_at = now(settings.epoch);
        worker.pass(sent_at);
        let beat = worker.beat(sent_at);
        let ends_before = worker.ends();
        let pause = match send(settings.agent, worker.id(), &beat).await {
            Ok(answer) => {
                let pause = Duration::from_millis(answer.retry_after_ms);
                worker.obey(answer, sent_at, now(settings.epoch));
                if pause.is_zero() {
                    settings.every
                } else {
                    pause.min(settings.every)
                }
            }
            Err(_) => settings.every / 4,
        };
        work_for(&mut worker, settings.epoch, pause, ends_before).await;
    }
}

/// Works until the next heartbeat is due.
async fn work_for(worker: &mut Worker, epoch: Instant, pause: Duration, ends_before: u64) {
    let mut until = Instant::now() + pause;
    let mut hurried = false;
    loop {
        worker.pass(now(epoch));
        if worker.ends() > ends_before && !hurried {
            hurried = true;
            until = until.min(Instant::now() + AFTER_END);
        }
        if Instant::now() >= until {
            return;
        }
        sleep_until(until.min(Instant::now() + STEP)).await;
    }
}

/// Milliseconds since the workers' clock began.
fn now(epoch: Instant) -> u64 {
    u64::try_from(epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
}

async fn send(agent: SocketAddrV4, id: &str, beat: &Beat) -> io::Result<BeatAnswer> {
    timeout(ANSWER_WITHIN, exchange(agent, id, beat))
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

async fn exchange(agent: SocketAddrV4, id: &str, beat: &Beat) -> io::Result<BeatAnswer> {
    let body = serde_json::to_vec(beat)?;
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
    read(&answer)
}

fn read(answer: &Message) -> io::Result<BeatAnswer> {
    match answer.status() {
        200 if answer.body.is_empty() => Ok(BeatAnswer::default()),
        200 => Ok(serde_json::from_slice(&answer.body)?),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

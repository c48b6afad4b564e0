//! The operators' door: a second address, one line a connection, one answer.
//!
//! Callers without a whole line are bounded in number and time. When all places are taken, the one that has waited for the
//! longest makes way, so that a whole call never stands behind a silent one.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod call;

use call::{Call, Line, NoCall};
use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The most callers at once.
pub const CALLERS_MOST: usize = 32;
/// How long a line may take to come whole.
const WHOLE: Duration = Duration::from_secs(2);
/// How long an answer may take to leave.
const LEAVE: Duration = Duration::from_secs(1);
/// The wait after an accept that failed.
const PAUSE: Duration = Duration::from_millis(20);

/// What a call is answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Yes, with a word.
    Yes(&'static str),
    /// No, with the reason.
    No(String),
    /// Lines, and `EOF` behind them.
    Lines(String),
}

impl Answer {
    fn text(&self) -> String {
        match self {
            Answer::Yes(word) => format!("200 {word}\n"),
            Answer::No(why) => format!("400 {why}\n"),
            // An empty set is no answer to a call for figures.
            Answer::Lines(lines) if lines.is_empty() => "400 there are no figures\n".into(),
            Answer::Lines(lines) => format!("200 OK\n{lines}EOF\n"),
        }
    }
}

struct Caller {
    heard: Arc<AtomicBool>,
    task: AbortHandle,
}

/// Answers calls for as long as it is polled.
pub async fn run<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Call) -> A + Clone + Send + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        callers.retain(|c| !c.task.is_finished());
        if callers.len() >= CALLERS_MOST {
            // One that has been heard is answered in a moment and keeps its place while another can go.
            let at = callers
                .iter()
                .position(|c| !c.heard.load(Relaxed))
                .unwrap_or(0);
            if let Some(caller) = callers.remove(at) {
                caller.task.abort();
            }
        }
        let heard = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(one(stream, answer.clone(), heard.clone())).abort_handle();
        callers.push_back(Caller { heard, task });
    }
}

async fn one<F, A>(mut stream: TcpStream, answer: F, heard: Arc<AtomicBool>)
where
    F: Fn(Call) -> A,
    A: Future<Output = Answer>,
{
    let _ = stream.set_nodelay(true);
    let call = timeout(WHOLE, hear(&mut stream))
        .await
        .unwrap_or(Err(NoCall::Late));
    heard.store(true, Relaxed);
    let answer = match call {
        Ok(call) => answer(call).await,
        Err(why) => Answer::No(why.to_string()),
    };
    let said = async {
        stream.write_all(answer.text().as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(timeout(LEAVE, said).await, Ok(Ok(()))) {
        tracing::debug!("a caller at the door took no answer");
    }
}

async fn hear(stream: &mut TcpStream) -> Result<Call, NoCall> {
    let (mut line, mut bytes) = (Line::default(), [0; call::LINE_MOST]);
    loop {
        // A connection that broke says no more than one that ended.
        let n = stream.read(&mut bytes).await.unwrap_or(0);
        if let Some(call) = line.feed(&bytes[..n]) {
            return call;
        }
    }
}

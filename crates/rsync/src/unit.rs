//! The life of one unit of work (a file list, or one file) in the core, from its opening to its end.

use lupinrack_policy::*;
use lupinrack_request_engine::{Attempt, Clock, Handle, Order, Teller};
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::Instrument;

/// How a unit of work ended.
#[derive(Debug)]
pub enum End<T> {
    /// Whole.
    Done(T),
    /// The module refused it; the client may come back after the time given.
    Refused(Option<Duration>),
    /// The module gave it up.
    Failed,
    /// It broke after its first bytes were passed on. There is no second attempt.
    Broken,
    /// The client left.
    ClientGone,
}

/// What a unit of work counts as.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Bytes that count as one unit.
    pub bytes_per_unit: u64,
    /// The most units asked for at once.
    pub most_units: f64,
    /// The bytes that are to move, as far as that is known.
    pub bytes: u64,
}

impl Meter {
    /// The units asked for at first: all of them, or as many as one request may count.
    pub fn first(&self) -> f64 {
        self.units(self.bytes)
    }

    fn units(&self, bytes: u64) -> f64 {
        (bytes.div_ceil(self.bytes_per_unit).max(1) as f64).min(self.most_units.floor().max(1.0))
    }
}

/// An attempt's way to the core: it says when its first bytes pass on, and pays for what it moves.
pub struct Line {
    /// The clock.
    pub clock: Clock,
    teller: Teller,
    number: u16,
    began: Arc<AtomicBool>,
    meter: Meter,
    paid: u64,
    grants: mpsc::Receiver<()>,
}

impl Line {
    /// Marks that bytes pass on to the client from now; true the first time.
    pub async fn begin(&mut self) -> bool {
        let first = !self.began.swap(true, Ordering::Relaxed);
        if first {
            self.teller.began(self.number).await;
        }
        first
    }

    /// Tells of bytes passed on to the client.
    pub async fn moved(&self, bytes: u64) {
        self.teller.moved(bytes).await;
    }

    /// Waits until this many bytes in all are paid for.
    pub async fn pay(&mut self, moved: u64) {
        while moved > self.paid {
            let units = self.meter.units(self.meter.bytes.max(moved) - self.paid);
            self.teller.more(units).await;
            if self.grants.recv().await.is_none() {
                // The unit is over; whoever ended it drops this attempt.
                return std::future::pending().await;
            }
            self.paid += units as u64 * self.meter.bytes_per_unit;
        }
    }
}

/// Runs one unit of work. `gone` ends when the client leaves; `pull` makes one attempt.
pub async fn run<T, F: Future<Output = (Outcome, T)>>(
    core: &Handle,
    request: Request,
    meter: Meter,
    gone: impl Future<Output = ()>,
    pull: impl Fn(Attempt, Line) -> F,
) -> End<T> {
    let span = spanned(&request);
    follow(core, request, meter, gone, pull, span.clone())
        .instrument(span)
        .await
}

fn spanned(request: &Request) -> tracing::Span {
    let (class, volume) = (request.class, format_args!("{:016x}", request.volume.0));
    tracing::debug_span!("request", class, volume, attempt = tracing::field::Empty)
}

/// Follows the core's orders to the unit's end.
async fn follow<T, F: Future<Output = (Outcome, T)>>(
    core: &Handle,
    request: Request,
    meter: Meter,
    gone: impl Future<Output = ()>,
    pull: impl Fn(Attempt, Line) -> F,
    span: tracing::Span,
) -> End<T> {
    let mut ticket = core
        .open(Request {
            units: meter.first(),
            ..request
        })
        .await;
    let teller = ticket.teller();
    let began = Arc::new(AtomicBool::new(false));
    let mut running = None;
    tokio::pin!(gone);
    let end = loop {
        let (out, grants): (Option<u16>, Option<mpsc::Sender<()>>) = match &running {
            Some((number, to, _)) => (Some(*number), Some(mpsc::Sender::clone(to))),
            None => (None, None),
        };
        tokio::select! {
            biased;
            // Before all else: nothing begins for a client that has gone.
            () = &mut gone => {
                teller.client_gone().await;
                break End::ClientGone;
            }
            order = ticket.order() => match order {
                // One connection to the client can take one answer: a copy beside it is never sent.
                Some(Order::Send(attempt)) if out.is_some() => {
                    teller.ended(attempt.number, Outcome::NotSent, None).await;
                }
                Some(Order::Send(attempt)) => {
                    let (number, (grant, grants)) = (attempt.number, mpsc::channel(1));
                    span.record("attempt", number);
                    let paid = meter.first() as u64 * meter.bytes_per_unit;
                    let (began, teller) = (began.clone(), teller.clone());
                    let line = Line { clock: core.clock, teller, number, began, meter, paid, grants };
                    running = Some((number, grant, Box::pin(pull(attempt, line))));
                }
                Some(Order::Cancel(number)) if out == Some(number) => {
                    running = None;
                    teller.ended(number, Outcome::Cancelled, None).await;
                    if began.load(Ordering::Relaxed) {
                        break End::Broken;
                    }
                }
                Some(Order::Cancel(_)) => {}
                Some(Order::Grant) => {
                    if let Some(grants) = grants {
                        let _ = grants.try_send(());
                    }
                }
                Some(Order::Refuse(after)) => break End::Refused(after),
                Some(Order::Fail) | None => break End::Failed,
            },
            (outcome, value) = async {
                match &mut running {
                    Some((_, _, pull)) => pull.await,
                    None => std::future::pending().await,
                }
            } => {
                running = None;
                teller.ended(out.unwrap_or(0), outcome, None).await;
                match outcome {
                    Outcome::Ok => break End::Done(value),
                    _ if began.load(Ordering::Relaxed) => break End::Broken,
                    _ => {}
                }
            }
        }
    };
    // An attempt still out is given up here: its connection closes with it.
    if let Some((number, ..)) = running {
        teller.ended(number, Outcome::Cancelled, None).await;
        if began.load(Ordering::Relaxed) && !matches!(end, End::ClientGone) {
            return End::Broken;
        }
    }
    end
}

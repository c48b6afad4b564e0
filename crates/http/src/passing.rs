//! The body of an answer that passes on as it comes.

use crate::gate::Visit;
use crate::upstream::Cut;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use lupinrack_metrics::{End, Life};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// What is left of an answer. Its client's connection is free for the next request once this is at its end; dropped sooner,
/// the request has failed.
pub struct Passing {
    taken: VecDeque<Bytes>,
    pieces: mpsc::Receiver<Result<Bytes, Cut>>,
    left: Option<u64>,
    ended: bool,
    life: Option<Life>,
    visit: Option<Visit>,
}

impl Passing {
    /// An answer that has begun: its length if known, what was collected, and the rest.
    pub fn new(
        length: Option<u64>,
        taken: Vec<Bytes>,
        pieces: mpsc::Receiver<Result<Bytes, Cut>>,
    ) -> Passing {
        Passing {
            taken: taken.into(),
            pieces,
            left: length,
            ended: false,
            life: None,
            visit: None,
        }
    }

    /// Whose answer it is.
    pub fn with(mut self, life: Option<Life>, visit: Option<Visit>) -> Passing {
        (self.life, self.visit) = (life, visit);
        self
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let piece = match self.taken.pop_front() {
            Some(piece) => piece,
            None => match ready!(self.pieces.poll_recv(cx)) {
                // The end is told by an empty piece.
                Some(Ok(piece)) if piece.is_empty() => {
                    self.ended = self.left.is_none_or(|l| l == 0);
                    return Poll::Ready((!self.ended).then_some(Err(Cut)));
                }
                Some(Ok(piece)) => piece,
                Some(Err(cut)) => return Poll::Ready(Some(Err(cut))),
                // The attempt ended without a word.
                None => return Poll::Ready(Some(Err(Cut))),
            },
        };
        self.left = self.left.map(|l| l.saturating_sub(piece.len() as u64));
        self.ended = self.left == Some(0);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if let Some(life) = self.life.take().filter(|_| self.ended) {
            life.end(End::Success);
        }
        if let Some(visit) = self.visit.take() {
            visit.answered();
        }
    }
}

//! An open request as its owner sees it.

use crate::input::{Input, Report};
use crate::order::Order;
use lupinrack_extent_map::Version;
use lupinrack_policy::{LoadReport, Outcome, RequestId};
use tokio::sync::mpsc;

/// One open request, owned by the task that serves it. If it is dropped before the request is over, the client counts as gone and the
/// attempts in flight as reset.
pub struct RequestHandle {
    reporter: RequestReporter,
    orders: mpsc::Receiver<Order>,
    over: bool,
}

/// The way from a request back to the engine, for whoever makes its attempts.
#[derive(Clone)]
pub struct RequestReporter {
    request: RequestId,
    inputs: mpsc::Sender<Input>,
}

impl RequestHandle {
    pub(crate) fn new(
        request: RequestId,
        orders: mpsc::Receiver<Order>,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        RequestHandle {
            reporter: RequestReporter { request, inputs },
            orders,
            over: false,
        }
    }

    /// The next order; `None` once the request is over and none of its attempts is in flight.
    pub async fn next_order(&mut self) -> Option<Order> {
        let order = self.orders.recv().await;
        self.over |= order.is_none();
        order
    }

    /// A reporter for this request.
    pub fn reporter(&self) -> RequestReporter {
        self.reporter.clone()
    }
}

impl RequestReporter {
    /// Reports that the answer of an attempt has begun to reach the client: the attempt is not repeated from now on.
    pub async fn response_started(&self, attempt: u16) {
        self.send(Report::ResponseStarted { attempt }).await;
    }

    /// Asks to move more units of a transfer in progress; [`Order::Grant`] allows it.
    pub async fn request_units(&self, units: f64) {
        self.send(Report::UnitsRequested(units)).await;
    }

    /// Reports bytes that were forwarded to the client.
    pub async fn bytes_forwarded(&self, bytes: u64) {
        self.send(Report::BytesForwarded(bytes)).await;
    }

    /// Reports how an attempt ended.
    pub async fn attempt_ended(&self, attempt: u16, outcome: Outcome, load: Option<LoadReport>) {
        self.send(Report::AttemptEnded {
            attempt,
            outcome,
            load,
        })
        .await;
    }

    /// Reports that a node rejected an attempt because the data is on another shard, as of the version `hint` of the map. It did not
    /// run.
    pub async fn wrong_shard(&self, attempt: u16, hint: Option<Version>) {
        self.send(Report::WrongShard { attempt, hint }).await;
    }

    /// Reports that the client disconnected: it needs no answer any more.
    pub async fn client_gone(&self) {
        self.send(Report::ClientGone).await;
    }

    fn input(&self, report: Report) -> Input {
        Input::Report {
            request: self.request,
            report,
        }
    }

    async fn send(&self, report: Report) {
        // An error means that the engine has ended, and with it the request.
        let _ = self.inputs.send(self.input(report)).await;
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        // An owner that ends early (its connection's task was dropped) must not leave the balancer waiting.
        if self.over {
            return;
        }
        let inputs = self.reporter.inputs.clone();
        let input = self.reporter.input(Report::OwnerGone);
        let Err(mpsc::error::TrySendError::Full(input)) = inputs.try_send(input) else {
            return;
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { inputs.send(input).await.is_ok() });
        }
    }
}

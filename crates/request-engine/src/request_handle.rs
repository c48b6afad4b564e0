//! The handle of an open request for its owner.

use crate::input::{Input, Report};
use crate::order::Order;
use lupinrack_extent_map::Version;
use lupinrack_policy::{LoadReport, Outcome, RequestId};
use tokio::sync::mpsc;

/// An open request, owned by the task that serves it. If the handle is dropped before the request has ended, the client counts as
/// disconnected and the attempts in flight as reset.
pub struct RequestHandle {
    reporter: RequestReporter,
    orders: mpsc::Receiver<Order>,
    is_over: bool,
}

/// Reports on a request to the engine, for the tasks that make its attempts.
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
            is_over: false,
        }
    }

    /// The next order; `None` once the request has ended and none of its attempts is in flight.
    pub async fn next_order(&mut self) -> Option<Order> {
        let order = self.orders.recv().await;
        self.is_over |= order.is_none();
        order
    }

    /// A reporter for this request.
    pub fn reporter(&self) -> RequestReporter {
        self.reporter.clone()
    }
}

impl RequestReporter {
    /// Reports that the client has received the first part of an attempt's response: the request is not retried from now on.
    pub async fn response_started(&self, attempt: u16) {
        self.send(Report::ResponseStarted { attempt }).await;
    }

    /// Requests more units for a transfer in progress; [`Order::Grant`] grants them.
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

    /// Reports that a node rejected an attempt because the data is on another shard, as of the version `hint` of the map. The attempt
    /// did not run.
    pub async fn wrong_shard(&self, attempt: u16, hint: Option<Version>) {
        self.send(Report::WrongShard { attempt, hint }).await;
    }

    /// Reports that the client disconnected and needs no answer.
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
        // An error means that the engine has ended, and the request with it.
        let _ = self.inputs.send(self.input(report)).await;
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        // When the owner ends early, as when its connection's task is dropped, the balancer must not wait for its reports.
        if self.is_over {
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

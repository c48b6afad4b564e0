//! The permit for sending an attempt once.

/// A permit to send one request to a node, once.
///
/// Only the engine makes one, in each [`Attempt`](crate::Attempt) that its balancer orders, and sending takes it by value. It cannot be
/// copied, so a request that may not be repeated cannot be sent a second time without another order, which the balancer gives only
/// where it may. Sending once compiles:
///
/// ```
/// fn send(_: lupinrack_request_engine::SendPermit) {}
///
/// fn send_once(attempt: lupinrack_request_engine::Attempt) {
///     send(attempt.permit);
/// }
/// ```
///
/// Sending twice does not:
///
/// ```compile_fail,E0382
/// fn send(_: lupinrack_request_engine::SendPermit) {}
///
/// fn resend(attempt: lupinrack_request_engine::Attempt) {
///     send(attempt.permit);
///     send(attempt.permit);
/// }
/// ```
///
/// Nor can a permit be made elsewhere:
///
/// ```compile_fail,E0423
/// let permit = lupinrack_request_engine::SendPermit(());
/// ```
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// The permit for an attempt that the balancer ordered.
    pub(crate) fn for_order() -> SendPermit {
        SendPermit(())
    }
}

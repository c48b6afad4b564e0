//! The permit to send an attempt once.

/// A permit to send one request to a node, once.
///
/// Only the engine creates permits, one for each [`Attempt`](crate::Attempt) that its balancer orders, and sending takes the permit by
/// value. It cannot be copied. A request that must not be retried therefore cannot be sent again without a second order, and the
/// balancer gives that order only where a retry is allowed. Sending once compiles:
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
/// A permit cannot be created outside of the engine:
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

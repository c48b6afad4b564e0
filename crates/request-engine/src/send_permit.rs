//! The permit for one sending.

/// A permit to hand one request to a node, once.
///
/// Only the core makes one, in each [`Attempt`](crate::Attempt) that its module orders, and the sending takes it by value.
/// It cannot be copied, so a request that may not be repeated cannot be sent a second time without another order, which
/// the module gives only where it may. One sending is well:
///
/// ```
/// fn send(_: lupinrack_request_engine::SendPermit) {}
///
/// fn send_once(attempt: lupinrack_request_engine::Attempt) {
///     send(attempt.permit);
/// }
/// ```
///
/// A second one is refused by the compiler:
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
/// Nor can one be made elsewhere:
///
/// ```compile_fail,E0423
/// let permit = lupinrack_request_engine::SendPermit(());
/// ```
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// For an attempt that the module ordered.
    pub(crate) fn for_order() -> SendPermit {
        SendPermit(())
    }
}

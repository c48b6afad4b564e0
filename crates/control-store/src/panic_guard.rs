//! Protection against panics of `redb`.

use crate::error::StoreError;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Calls into `redb`, which panics if the contents of a file are inconsistent, and returns such a
/// panic as [`StoreError::Damaged`].
pub(crate) fn catch_panic<T>(
    call: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<String>().map(String::as_str);
        let message = message.or(panic.downcast_ref::<&str>().copied());
        Err(StoreError::damaged(
            message.unwrap_or("its contents contradict each other"),
        ))
    })
}

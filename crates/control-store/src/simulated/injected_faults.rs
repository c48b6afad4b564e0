//! Faults that a test injects.

use std::io;

/// Which of the next changes fail.
#[derive(Debug, Default)]
pub(super) struct InjectedFaults {
    /// The power is off after this many further changes.
    changes_until_power_loss: Option<u64>,
    errors: Option<InjectedErrors>,
}

/// Errors of the next changes.
#[derive(Clone, Copy, Debug)]
struct InjectedErrors {
    kind: io::ErrorKind,
    /// Changes that succeed before the first failing one.
    successes_before: u64,
    /// Changes that fail after those; none for all further changes.
    count: Option<u64>,
}

impl InjectedFaults {
    pub(super) fn lose_power_after(&mut self, changes: u64) {
        self.changes_until_power_loss = Some(changes);
    }

    pub(super) fn fail_after(
        &mut self,
        successes_before: u64,
        count: Option<u64>,
        kind: io::ErrorKind,
    ) {
        self.errors = Some(InjectedErrors {
            kind,
            successes_before,
            count,
        });
    }

    /// Removes the injected errors, but keeps an injected loss of power.
    pub(super) fn heal(&mut self) {
        self.errors = None;
    }

    pub(super) fn is_power_off(&self) -> bool {
        self.changes_until_power_loss == Some(0)
    }

    /// Counts a change, and fails if a fault is injected for it.
    pub(super) fn check_change(&mut self) -> io::Result<()> {
        if let Some(changes) = &mut self.changes_until_power_loss {
            *changes = changes.saturating_sub(1);
        }
        if self.is_power_off() {
            return Err(io::Error::other("no power"));
        }
        self.errors
            .as_mut()
            .map_or(Ok(()), InjectedErrors::check_change)
    }
}

impl InjectedErrors {
    fn check_change(&mut self) -> io::Result<()> {
        if self.successes_before > 0 {
            self.successes_before -= 1;
            return Ok(());
        }
        match &mut self.count {
            Some(0) => return Ok(()),
            Some(count) => *count -= 1,
            None => {}
        }
        Err(self.kind.into())
    }
}

//! A value that is read often and replaced atomically.
//!
//! A reader gets the current value and may keep it for any time; when it loads again, it never gets an older value. The
//! cell that holds the current value is a type parameter, so that tests can use a cell for which they explore every
//! interleaving of threads.

use arc_swap::ArcSwap;
use std::marker::PhantomData;
use std::sync::Arc;

/// A cell that holds a shared value and swaps it atomically.
pub trait SharedCell<T> {
    /// A cell that holds this value.
    fn new(value: Arc<T>) -> Self;

    /// The current value.
    fn load(&self) -> Arc<T>;

    /// Replaces the value.
    fn store(&self, value: Arc<T>);

    /// Replaces the value by `next` if the cell still holds `current`, compared by pointer; returns whether it did.
    fn compare_and_swap(&self, current: &Arc<T>, next: Arc<T>) -> bool;
}

impl<T> SharedCell<T> for ArcSwap<T> {
    fn new(value: Arc<T>) -> Self {
        ArcSwap::new(value)
    }

    fn load(&self) -> Arc<T> {
        self.load_full()
    }

    fn store(&self, value: Arc<T>) {
        ArcSwap::store(self, value);
    }

    fn compare_and_swap(&self, current: &Arc<T>, next: Arc<T>) -> bool {
        let previous = ArcSwap::compare_and_swap(self, current, next);
        Arc::ptr_eq(&previous, current)
    }
}

/// A shared value that is replaced atomically.
pub struct SharedValue<T, C = ArcSwap<T>> {
    cell: C,
    value: PhantomData<T>,
}

impl<T, C: SharedCell<T>> SharedValue<T, C> {
    /// A shared value that starts with this value.
    pub fn new(value: T) -> Self {
        SharedValue {
            cell: C::new(Arc::new(value)),
            value: PhantomData,
        }
    }

    /// The current value.
    pub fn load(&self) -> Arc<T> {
        self.cell.load()
    }

    /// Replaces the value unconditionally. With several writers the last one wins; see [`SharedValue::update`].
    pub fn replace(&self, value: Arc<T>) {
        self.cell.store(value);
    }

    /// Replaces the value by the result of `next`, unless that is none; returns whether it was replaced.
    ///
    /// `next` is called again if another writer replaced the value meanwhile, so no update is lost.
    pub fn update(&self, mut next: impl FnMut(&T) -> Option<T>) -> bool {
        loop {
            let current = self.cell.load();
            let Some(value) = next(&current) else {
                return false;
            };
            if self.cell.compare_and_swap(&current, Arc::new(value)) {
                return true;
            }
        }
    }
}

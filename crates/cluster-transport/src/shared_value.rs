//! A value that is read often and replaced atomically.
//!
//! Readers get the value of one moment and keep it as long as they like; a reader that loads again never gets an older
//! one than before. The cell that holds the current value is a parameter, so that tests can use one whose every
//! interleaving of threads they explore.

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

    /// Replaces the value by `next` if `current` is still the very value that the cell holds; whether it was.
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
    /// Begins with this value.
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

    /// Replaces the value, whatever it is. With several writers the last one wins; see [`SharedValue::update`].
    pub fn replace(&self, value: Arc<T>) {
        self.cell.store(value);
    }

    /// Replaces the value by what `next` makes of it, or leaves it where that is none; whether it was replaced.
    ///
    /// `next` is called again where another writer replaced the value meanwhile, so no update is lost.
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

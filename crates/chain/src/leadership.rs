//! The state of a disk as the head of a view.

/// The leadership of this disk in the current view; unused unless the disk is the head.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// The last index of the log when the view began.
    pub(crate) base: u64,
    /// Whether everything up to `base` was committed in this view.
    pub(crate) is_ready: bool,
    /// Whether the process was restarted within the view, so it does not know what it sent before.
    pub(crate) was_interrupted: bool,
}

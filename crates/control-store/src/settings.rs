//! Settings of a store.

/// Default of [`StoreSettings::cache_bytes`].
const DEFAULT_CACHE_BYTES: usize = 2 * 1024 * 1024;

/// Default of [`StoreSettings::compact_above_bytes`].
const DEFAULT_COMPACT_ABOVE_BYTES: u64 = 32 * 1024 * 1024;

/// Memory and disk space that a store uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Bytes of memory for cached pages; 2 MiB by default.
    pub cache_bytes: usize,
    /// A file longer than this many bytes is compacted when it is opened; 32 MiB by default.
    pub compact_above_bytes: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            cache_bytes: DEFAULT_CACHE_BYTES,
            compact_above_bytes: DEFAULT_COMPACT_ABOVE_BYTES,
        }
    }
}

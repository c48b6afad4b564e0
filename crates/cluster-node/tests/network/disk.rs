//! A simulated disk with group commit, as the store's writer has it.

/// Syncs one group of writes at a time. Writes that arrive during a sync form the next group.
pub struct Disk {
    sync_ms: u64,
    /// The writes that are being synced.
    group: Vec<u64>,
    /// When the current sync ends, in milliseconds.
    ends_at: u64,
    /// The writes of the next group.
    queued: Vec<u64>,
    completed: u64,
}

impl Disk {
    /// An idle disk whose every sync takes this long, in milliseconds.
    pub fn new(sync_ms: u64) -> Disk {
        Disk {
            sync_ms,
            group: Vec::new(),
            ends_at: 0,
            queued: Vec::new(),
            completed: 0,
        }
    }

    /// Queues the write of this number.
    pub fn write(&mut self, number: u64) {
        self.queued.push(number);
    }

    /// Returns the numbers of the writes that are synced by now, and begins the next sync.
    pub fn advance(&mut self, now: u64) -> Vec<u64> {
        let mut synced = Vec::new();
        if !self.group.is_empty() && now >= self.ends_at {
            self.completed += 1;
            synced = std::mem::take(&mut self.group);
        }
        self.begin_sync(now);
        synced
    }

    /// How many syncs have completed.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    fn begin_sync(&mut self, now: u64) {
        if self.group.is_empty() && !self.queued.is_empty() {
            self.group = std::mem::take(&mut self.queued);
            self.ends_at = now + self.sync_ms;
        }
    }
}

//! Throttles new work while a disk that the cluster needs cannot catch up with it.
//!
//! A joining disk receives a snapshot and all entries after it. If entries are appended faster than it receives them,
//! it never catches up, and one more loss would stop the cluster. So once it takes longer than it should, the admitted
//! rate is halved repeatedly until it has caught up. This needs no estimate of the speed of the link or the disk.

use lupinrack_cluster_api::time::Millis;

/// The rate that is always admitted, in bytes per second.
const MIN_BYTES_PER_S: f64 = 32_000.0;
/// Weight of the latest interval in the EWMA of the admitted rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Length of the intervals over which the admitted rate is measured, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// The throttle is released once the disk is less than this far behind, in milliseconds.
const CAUGHT_UP_MS: u64 = 1_000;
/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// A token bucket that limits the admitted bytes per second while a joining disk is late.
#[derive(Debug)]
pub struct JoinerThrottle {
    catch_up_ms: u64,
    /// When a disk became late; none while the throttle is inactive.
    slowed_since: Option<Millis>,
    /// EWMA of the rate that was admitted while the throttle was inactive.
    usual_bytes_per_s: f64,
    interval_began: Millis,
    interval_bytes: u64,
    /// Bytes that may be admitted now; negative after a large operation.
    credit_bytes: f64,
    credited_at: Millis,
}

impl JoinerThrottle {
    /// Creates a throttle for disks that should join within this time, in milliseconds.
    pub fn new(catch_up_ms: u64) -> JoinerThrottle {
        JoinerThrottle {
            catch_up_ms: catch_up_ms.max(1),
            slowed_since: None,
            usual_bytes_per_s: MIN_BYTES_PER_S,
            interval_began: Millis(0),
            interval_bytes: 0,
            credit_bytes: 0.0,
            credited_at: Millis(0),
        }
    }

    /// Whether new work is throttled.
    pub fn is_active(&self) -> bool {
        self.slowed_since.is_some()
    }

    /// How far behind a needed disk may be before it counts as late, in milliseconds. The limit is lower while the
    /// throttle is active.
    pub fn tolerated_lag_ms(&self) -> u64 {
        if self.is_active() {
            CAUGHT_UP_MS
        } else {
            self.catch_up_ms
        }
    }

    /// Records whether a needed disk is further behind than [`Self::tolerated_lag_ms`].
    pub fn set_late(&mut self, is_late: bool, now: Millis) {
        if is_late && self.slowed_since.is_none() {
            self.slowed_since = Some(now);
            self.credit_bytes = 0.0;
            self.credited_at = now;
            spdlog::warn!("new work is slowed until a disk that is needed has joined");
        } else if !is_late {
            self.slowed_since = None;
        }
        self.end_interval(now);
    }

    /// Takes this many bytes from the budget. Returns false if the throttle refuses them.
    pub fn take(&mut self, bytes: u64, now: Millis) -> bool {
        if self.is_active() {
            self.add_credit(now);
            if self.credit_bytes < 0.0 {
                return false;
            }
            self.credit_bytes -= bytes as f64;
        }
        self.interval_bytes += bytes;
        true
    }

    /// The limit: half of the usual rate at first, halved again each time that `catch_up_ms` passes.
    fn bytes_per_s(&self, now: Millis) -> f64 {
        let slowed_ms = self.slowed_since.map_or(0, |since| now.since(since));
        let halvings = 1 + slowed_ms / self.catch_up_ms;
        let halved = self.usual_bytes_per_s / (halvings as f64).exp2();
        halved.max(MIN_BYTES_PER_S)
    }

    fn add_credit(&mut self, now: Millis) {
        let elapsed_s = now.since(self.credited_at) as f64 / SECOND_MS;
        let rate = self.bytes_per_s(now);
        self.credit_bytes = (self.credit_bytes + elapsed_s * rate).min(rate);
        self.credited_at = now;
    }

    /// Ends the measuring interval if it is over. The usual rate is updated only while the throttle is inactive.
    fn end_interval(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.interval_began);
        if elapsed_ms < INTERVAL_MS {
            return;
        }
        let bytes_per_s = self.interval_bytes as f64 * SECOND_MS / elapsed_ms as f64;
        if !self.is_active() {
            let average =
                self.usual_bytes_per_s + NEWEST_WEIGHT * (bytes_per_s - self.usual_bytes_per_s);
            self.usual_bytes_per_s = average.max(MIN_BYTES_PER_S);
        }
        self.interval_began = now;
        self.interval_bytes = 0;
    }
}

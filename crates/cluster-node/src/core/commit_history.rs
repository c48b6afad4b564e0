//! Samples of commit times, which convert a replica's log position to how far behind it is in time.

use lupinrack_cluster_api::time::Millis;
use lupinrack_view_agreement::policy::{Redundancy, SpareReplica};
use std::collections::VecDeque;

/// Interval between samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 500;
/// Number of samples that are kept: two minutes' worth.
const MAX_SAMPLES: usize = 240;

/// The commit index at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    committed: u64,
}

/// Samples of the commit index, oldest first.
#[derive(Debug, Default)]
pub struct CommitHistory {
    samples: VecDeque<Sample>,
}

impl CommitHistory {
    /// Records the commit index, if a sample is due.
    pub fn record(&mut self, committed: u64, now: Millis) {
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| now.since(last.at) >= SAMPLE_INTERVAL_MS);
        if !is_due {
            return;
        }
        self.samples.push_back(Sample { at: now, committed });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// How long ago an entry after `applied` was committed, in milliseconds; 0 if there is no such entry.
    pub fn behind_ms(&self, applied: u64, now: Millis) -> u64 {
        let mut samples = self.samples.iter();
        let passed = samples.find(|sample| sample.committed > applied);
        passed.map_or(0, |sample| now.since(sample.at))
    }

    /// Whether the cluster needs a disk that is at least `tolerated_ms` behind. False if no disk is that late, or if
    /// enough others have caught up.
    pub fn is_joiner_late(&self, redundancy: &Redundancy, tolerated_ms: u64, now: Millis) -> bool {
        let is_late = |spare: &&SpareReplica| {
            let behind_ms = self.behind_ms(spare.applied, now).min(spare.present_ms);
            behind_ms >= tolerated_ms
        };
        let late = redundancy.spares.iter().filter(is_late).count();
        let ready = redundancy.spares.len() - late;
        late > 0 && redundancy.members + ready < redundancy.needed
    }
}

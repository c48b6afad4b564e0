//! Hot restart: several processes of one front share its limits. Their shares never add up to more than the limits,
//! whichever process starts, dies or stalls at any step.
//!
//! Each process publishes its share. A process may use what the running processes that are older than it do not use. While a
//! newer process runs, the share of an older one may only fall, because the newer one relies on the share that it has read.
//! [`ProcessShare`] decides, without I/O; [`ShareFile`] publishes and reads the shares.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod share_file;

pub use share_file::ShareFile;

/// The fraction of the available share that a process may use while a newer one runs: while it serves, and while it shuts down.
const FRACTION_BESIDE_NEWER: (f64, f64) = (0.5, 0.1);

/// The other running processes of the front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OtherProcesses {
    /// The published shares of the processes that are older than this one.
    pub older_shares: Vec<f64>,
    /// Whether a process newer than this one runs.
    pub has_newer: bool,
}

/// The next step after the other processes were read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Keep the share in use.
    Keep,
    /// Use this share from now on, and publish it once it is in use.
    Use(f64),
    /// Publish this share, do not use it yet, and read the other processes again.
    Announce(f64),
}

/// The share of one process, initially zero.
#[derive(Clone, Debug, Default)]
pub struct ProcessShare {
    used: f64,
    /// A published increase. It is not used before the other processes have been read again, because one that started meanwhile may have
    /// read the former share.
    announced: Option<f64>,
}

impl ProcessShare {
    /// The share in use.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Decides the next step from the other processes.
    pub fn update(&mut self, others: &OtherProcesses, is_shutting_down: bool) -> Step {
        let share = decide(self.used, others, is_shutting_down);
        let share = match self.announced.take() {
            Some(announced) => share.min(announced),
            None if share > self.used => {
                self.announced = Some(share);
                return Step::Announce(share);
            }
            None if share == self.used => return Step::Keep,
            None => share,
        };
        self.used = share;
        Step::Use(share)
    }

    /// Withdraws an announced increase that could not be published.
    pub fn announcement_failed(&mut self) {
        self.announced = None;
    }
}

/// The share that the process may use, given the share in use.
fn decide(used: f64, others: &OtherProcesses, is_shutting_down: bool) -> f64 {
    let available = (1.0 - others.older_shares.iter().sum::<f64>()).clamp(0.0, 1.0);
    match (others.has_newer, is_shutting_down) {
        (false, _) => available,
        (true, false) => used.min(available * FRACTION_BESIDE_NEWER.0),
        (true, true) => used.min(available * FRACTION_BESIDE_NEWER.1),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Default)]
    struct Process {
        share: ProcessShare,
        published: f64,
        /// The share that its balancer uses, which follows `share` one step later.
        uses: f64,
        is_running: bool,
        is_shutting_down: bool,
        /// The pending step. Other processes may make any number of steps before it is done.
        next: Option<Step>,
        others: Option<OtherProcesses>,
    }

    fn read_others(processes: &[Process], index: usize) -> OtherProcesses {
        let older_shares = processes[..index]
            .iter()
            .filter(|p| p.is_running)
            .map(|p| p.published)
            .collect();
        OtherProcesses {
            older_shares,
            has_newer: processes[index + 1..].iter().any(|p| p.is_running),
        }
    }

    /// Random starts, crashes, stalls and shutdowns between any two steps of a driver: read, decide, use, publish. With
    /// `uses_announced`, an announced share is used at once. Returns the largest total in use at any time.
    fn simulate(seed: u64, uses_announced: bool) -> f64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut processes = vec![Process {
            is_running: true,
            ..Process::default()
        }];
        let mut max_total = 0.0_f64;
        for _ in 0..600 {
            let index = rng.usize(0..processes.len());
            match rng.u32(0..24) {
                0 if processes.len() < 12 => processes.push(Process {
                    is_running: true,
                    ..Process::default()
                }),
                1 if processes.iter().filter(|p| p.is_running).count() > 1 => {
                    (processes[index].is_running, processes[index].uses) = (false, 0.0)
                }
                2 => processes[index].is_shutting_down = true,
                _ if !processes[index].is_running => {}
                _ => match (processes[index].next.take(), processes[index].others.take()) {
                    (None, None) => processes[index].others = Some(read_others(&processes, index)),
                    (None, Some(others)) => {
                        let is_shutting_down = processes[index].is_shutting_down;
                        processes[index].next =
                            Some(processes[index].share.update(&others, is_shutting_down))
                                .filter(|s| *s != Step::Keep);
                    }
                    // One in ten announcements fails, as on a full disk.
                    (Some(Step::Announce(_)), _) if rng.u32(0..10) == 0 => {
                        processes[index].share.announcement_failed()
                    }
                    (Some(Step::Announce(share)), _) => {
                        processes[index].published = share;
                        processes[index].uses = if uses_announced {
                            share
                        } else {
                            processes[index].uses
                        };
                    }
                    (Some(Step::Use(share)), _) if processes[index].uses != share => {
                        (processes[index].uses, processes[index].next) =
                            (share, Some(Step::Use(share)));
                    }
                    (Some(Step::Use(share)), _) => processes[index].published = share,
                    (Some(Step::Keep), _) => {}
                },
            }
            max_total = max_total.max(processes.iter().map(|p| p.uses).sum());
        }
        max_total
    }

    #[test]
    fn shares_add_up_to_at_most_one_unless_announced_shares_are_used_at_once() {
        for seed in 0..4_000 {
            let max_total = simulate(seed, false);
            assert!(max_total < 1.0 + 1e-9, "seed {seed}: {max_total}");
        }
        assert!(
            (0..4_000).any(|seed| simulate(seed, true) > 1.0 + 1e-9),
            "the simulation must find a violation"
        );
    }

    #[test]
    fn the_remaining_process_gets_the_full_limit() {
        let mut old = ProcessShare::default();
        assert_eq!(
            old.update(&OtherProcesses::default(), false),
            Step::Announce(1.0)
        );
        assert_eq!(
            (old.used(), old.update(&OtherProcesses::default(), false)),
            (0.0, Step::Use(1.0))
        );
        assert_eq!(old.update(&OtherProcesses::default(), false), Step::Keep);
        let newer = OtherProcesses {
            older_shares: vec![],
            has_newer: true,
        };
        assert_eq!(old.update(&newer, false), Step::Use(0.5));
        assert_eq!(old.update(&newer, true), Step::Use(0.1));
        let mut new = ProcessShare::default();
        let older = OtherProcesses {
            older_shares: vec![0.1],
            has_newer: false,
        };
        assert_eq!(
            (new.update(&older, false), new.update(&older, false)),
            (Step::Announce(0.9), Step::Use(0.9))
        );
        // Older shares that add up to more than 1 leave nothing.
        assert_eq!(
            ProcessShare::default().update(
                &OtherProcesses {
                    older_shares: vec![1.0, 0.5],
                    has_newer: false
                },
                false
            ),
            Step::Keep
        );
        // A newer process started between the announcement and its use: the increase is withdrawn.
        let mut late = ProcessShare::default();
        late.update(&OtherProcesses::default(), false);
        assert_eq!(late.update(&newer, false), Step::Use(0.0));
    }
}

//! Several processes that are one front: which part of its limits each may use, so that the parts never add up past the
//! whole, whichever starts, dies or stalls at any step.
//!
//! Each publishes the part that it keeps. A process may have what those before it, as far as they live, have not kept.
//! While another lives after it, its own part may only fall: the one after it goes by what it has read. [`Share`] decides,
//! without I/O; [`Post`] holds the files.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod post;

pub use post::Post;

/// What a process that has another after it keeps of what it may have: while it serves, and once it is told to end.
const KEPT: (f64, f64) = (0.5, 0.1);

/// What a process sees of the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// What the living ones before it keep.
    pub before: Vec<f64>,
    /// Whether one that was started after it lives.
    pub after: bool,
}

/// What is to be done after a look at the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    Rest,
    /// Use this part from now on, and once it is used publish it.
    Use(f64),
    /// Publish this part, use nothing more yet, and look again.
    Announce(f64),
}

/// One process's part. It begins with nothing.
#[derive(Clone, Debug, Default)]
pub struct Share {
    used: f64,
    /// Announced, and not used before another look: one that was started meanwhile may have read the old word.
    announced: Option<f64>,
}

impl Share {
    /// The part in use.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Takes a look at the others.
    pub fn seen(&mut self, seen: &Seen, ending: bool) -> Step {
        let part = decide(self.used, seen, ending);
        let part = match self.announced.take() {
            Some(announced) => part.min(announced),
            None if part > self.used => {
                self.announced = Some(part);
                return Step::Announce(part);
            }
            None if part == self.used => return Step::Rest,
            None => part,
        };
        self.used = part;
        Step::Use(part)
    }

    /// What was announced could not be published.
    pub fn unheard(&mut self) {
        self.announced = None;
    }
}

/// The part to keep, from the part kept so far.
fn decide(kept: f64, seen: &Seen, ending: bool) -> f64 {
    let whole = (1.0 - seen.before.iter().sum::<f64>()).clamp(0.0, 1.0);
    match (seen.after, ending) {
        (false, _) => whole,
        (true, false) => kept.min(whole * KEPT.0),
        (true, true) => kept.min(whole * KEPT.1),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Default)]
    struct Process {
        share: Share,
        published: f64,
        /// What its module really uses, which follows its share a step later.
        uses: f64,
        alive: bool,
        ending: bool,
        /// Done one at a time, any number of steps of the others between.
        next: Option<Step>,
        saw: Option<Seen>,
    }

    fn look(all: &[Process], me: usize) -> Seen {
        let before = all[..me]
            .iter()
            .filter(|p| p.alive)
            .map(|p| p.published)
            .collect();
        Seen {
            before,
            after: all[me + 1..].iter().any(|p| p.alive),
        }
    }

    /// Random starts, deaths, stalls and ends between any two steps of a driver: look, decide, use, publish. With `rash`, what
    /// is announced is used at once. The most that was used together.
    fn play(seed: u64, rash: bool) -> f64 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut all = vec![Process {
            alive: true,
            ..Process::default()
        }];
        let mut most = 0.0_f64;
        for _ in 0..600 {
            let me = dice.usize(0..all.len());
            match dice.u32(0..24) {
                0 if all.len() < 12 => all.push(Process {
                    alive: true,
                    ..Process::default()
                }),
                1 if all.iter().filter(|p| p.alive).count() > 1 => {
                    (all[me].alive, all[me].uses) = (false, 0.0)
                }
                2 => all[me].ending = true,
                _ if !all[me].alive => {}
                _ => match (all[me].next.take(), all[me].saw.take()) {
                    (None, None) => all[me].saw = Some(look(&all, me)),
                    (None, Some(saw)) => {
                        let ending = all[me].ending;
                        all[me].next =
                            Some(all[me].share.seen(&saw, ending)).filter(|s| *s != Step::Rest);
                    }
                    // A disk that is full, now and then.
                    (Some(Step::Announce(_)), _) if dice.u32(0..10) == 0 => all[me].share.unheard(),
                    (Some(Step::Announce(part)), _) => {
                        all[me].published = part;
                        all[me].uses = if rash { part } else { all[me].uses };
                    }
                    (Some(Step::Use(part)), _) if all[me].uses != part => {
                        (all[me].uses, all[me].next) = (part, Some(Step::Use(part)));
                    }
                    (Some(Step::Use(part)), _) => all[me].published = part,
                    (Some(Step::Rest), _) => {}
                },
            }
            most = most.max(all.iter().map(|p| p.uses).sum());
        }
        most
    }

    #[test]
    fn the_parts_never_add_up_past_the_whole_and_what_is_announced_used_at_once_does() {
        for seed in 0..4_000 {
            let most = play(seed, false);
            assert!(most < 1.0 + 1e-9, "seed {seed}: {most}");
        }
        assert!(
            (0..4_000).any(|seed| play(seed, true) > 1.0 + 1e-9),
            "the model can fail"
        );
    }

    #[test]
    fn the_one_that_stays_gets_all() {
        let mut old = Share::default();
        assert_eq!(old.seen(&Seen::default(), false), Step::Announce(1.0));
        assert_eq!(
            (old.used(), old.seen(&Seen::default(), false)),
            (0.0, Step::Use(1.0))
        );
        assert_eq!(old.seen(&Seen::default(), false), Step::Rest);
        let after = Seen {
            before: vec![],
            after: true,
        };
        assert_eq!(old.seen(&after, false), Step::Use(0.5));
        assert_eq!(old.seen(&after, true), Step::Use(0.1));
        let mut new = Share::default();
        let both = Seen {
            before: vec![0.1],
            after: false,
        };
        assert_eq!(
            (new.seen(&both, false), new.seen(&both, false)),
            (Step::Announce(0.9), Step::Use(0.9))
        );
        // One that published nonsense keeps all, as far as others go.
        assert_eq!(
            Share::default().seen(
                &Seen {
                    before: vec![1.0, 0.5],
                    after: false
                },
                false
            ),
            Step::Rest
        );
        // One started between word and use: the raise is taken back.
        let mut late = Share::default();
        late.seen(&Seen::default(), false);
        assert_eq!(late.seen(&after, false), Step::Use(0.0));
    }
}

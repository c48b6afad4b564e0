//! Several processes that are one front: which part of its limits each may use, so that the parts never add up past the
//! whole, whichever starts, dies or stalls at any step.
//!
//! Each publishes the part that it keeps. A process may have what those before it, as far as they live, have not kept.
//! While another lives after it, its own part may only fall: the one after it goes by what it has read. [`decide`] is the
//! decision, without I/O; [`Post`] holds the files.
#![warn(missing_docs)]

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

/// The part to keep, from the part kept so far.
pub fn decide(kept: f64, seen: &Seen, ending: bool) -> f64 {
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
        published: f64,
        used: f64,
        alive: bool,
        ending: bool,
        /// A raise that was published and is not used yet.
        raised: Option<f64>,
    }

    fn seen(all: &[Process], me: usize) -> Seen {
        let before = all[..me].iter().filter(|p| p.alive).map(|p| p.published).collect();
        Seen { before, after: all[me + 1..].iter().any(|p| p.alive) }
    }

    /// Random starts, deaths, stalls and ends at any step; `careful` is how the driver raises: published, looked at again, and
    /// only then used. The most that was used at once.
    fn play(seed: u64, careful: bool) -> f64 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut all: Vec<Process> =
            vec![Process { alive: true, published: 1.0, used: 1.0, ..Process::default() }];
        let mut most = 0.0_f64;
        // What a process saw some steps ago, and may act on only now.
        let mut looks: Vec<Option<Seen>> = vec![None];
        for _ in 0..400 {
            let me = dice.usize(0..all.len());
            match dice.u32(0..20) {
                0 if all.len() < 12 => {
                    all.push(Process { alive: true, ..Process::default() });
                    looks.push(None);
                }
                1 if all.iter().filter(|p| p.alive).count() > 1 => {
                    (all[me].alive, all[me].used) = (false, 0.0);
                }
                2 => all[me].ending = true,
                3..=9 if all[me].alive => looks[me] = Some(seen(&all, me)),
                _ if all[me].alive => {
                    if let Some(raised) = all[me].raised.take() {
                        let again = decide(all[me].used, &seen(&all, me), all[me].ending);
                        let part = raised.min(again);
                        (all[me].used, all[me].published) = (part, part);
                    } else if let Some(look) = looks[me].take() {
                        let part = decide(all[me].used, &look, all[me].ending);
                        if part <= all[me].used {
                            (all[me].used, all[me].published) = (part, part);
                        } else if careful {
                            (all[me].published, all[me].raised) = (part, Some(part));
                        } else {
                            (all[me].published, all[me].used) = (part, part);
                        }
                    }
                }
                _ => {}
            }
            most = most.max(all.iter().map(|p| p.used).sum());
        }
        most
    }

    #[test]
    fn the_parts_never_add_up_past_the_whole_and_a_raise_without_a_second_look_does() {
        assert!((0..4_000).all(|seed| play(seed, true) < 1.0 + 1e-9));
        assert!((0..4_000).any(|seed| play(seed, false) > 1.0 + 1e-9), "the model can fail");
    }

    #[test]
    fn the_one_that_stays_gets_all() {
        let both = Seen { before: vec![0.5], after: false };
        assert_eq!(decide(0.0, &both, false), 0.5);
        assert_eq!(decide(1.0, &Seen { before: vec![], after: true }, false), 0.5);
        assert_eq!(decide(0.5, &Seen { before: vec![], after: true }, true), 0.1);
        assert_eq!(decide(0.5, &Seen::default(), false), 1.0);
        // One that published nonsense keeps all, as far as others go.
        assert_eq!(decide(0.0, &Seen { before: vec![1.0, 0.5], after: false }, false), 0.0);
    }
}

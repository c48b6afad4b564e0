//! Agreed views: a numbered list of members that a majority of the configured fronts has accepted.
//!
//! One front leads under a *ballot* that no other life of any front can issue, and is the only one to number views under
//! it: so two lists under one number cannot exist. Promises, acceptances and renewals spread as sets that are merged,
//! whatever is lost, late or doubled on the way. A majority is counted from the configuration, never from a view.
//!
//! Nothing is kept over a restart. A life that has just begun therefore says nothing for the *quiet* time: by then whatever an
//! earlier life of its name promised has been used or dropped, since a ballot and a round that are not through within `drop`
//! are given up by the one that began them.

use crate::bits::Bits;
use lupinrack_policy::Micros;

/// Who leads, and for which time: unique, since a life is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Above that of every ballot its leader had heard of.
    pub round: u32,
    /// The leader.
    pub leader: u16,
    /// The leader's life.
    pub life: u64,
}

/// The number of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    /// The ballot that it was issued under.
    pub ballot: Ballot,
    /// Its place under that ballot, from 1 on.
    pub n: u32,
}

impl std::fmt::Display for Number {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let b = self.ballot;
        write!(
            f,
            "{}.{}-{:04x}.{}",
            b.round,
            b.leader,
            b.life & 0xffff,
            self.n
        )
    }
}

/// A list of members under a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// Its number.
    pub number: Number,
    /// The last view that can have been in use before it.
    pub prev: Number,
    /// Who is in it.
    pub members: Bits,
}

/// Promises to a ballot, as far as they were heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Promises {
    /// Who promised.
    pub by: Bits,
    /// The highest view that any of them had accepted.
    pub best: Number,
}

/// A renewal of the accepted view, as far as it was heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Round {
    /// Its place among the renewals of this view.
    pub k: u32,
    /// Who acknowledged it.
    pub by: Bits,
}

/// What one front tells another of views.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Word {
    /// The highest ballot promised.
    pub promised: Ballot,
    /// The view accepted last.
    pub number: Number,
    /// Promises to `promised`.
    pub promises: Option<Promises>,
    /// The view itself.
    pub view: Option<View>,
    /// Its renewal.
    pub round: Option<Round>,
}

/// Times of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// How long a renewal that a majority acknowledged lets members use what the view gives them, from when it began.
    pub lease: Micros,
    /// What of a lease has to pass on another clock until it has surely ended: the lease and twice the drift.
    pub lapse: Micros,
    /// A ballot without its first view, or a round without its majority, is given up after this.
    pub drop: Micros,
    /// How long a new life says nothing.
    pub quiet: Micros,
    /// A renewal begins this long after the last one did.
    pub renew: Micros,
}

/// What a leader does for its ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Lead {
    ballot: Ballot,
    began: Micros,
    /// When the round that runs began.
    round_began: Micros,
    /// Whether its round has its majority.
    through: bool,
    /// Whether any view under this ballot had one.
    established: bool,
}

/// One life's part in the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agree {
    me: u16,
    life: u64,
    majority: usize,
    times: Times,
    quiet_until: Micros,
    promised: Ballot,
    promises: Promises,
    view: View,
    round: Round,
    lead: Option<Lead>,
}

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Another view is accepted here.
    Accepted(View),
    /// As leader: a majority acknowledged a renewal that began at this moment.
    Renewed(Micros),
    /// As leader: something new is to be spread at once.
    Spread,
    /// As leader: the ballot is given up.
    GaveUp,
}

impl Agree {
    /// A life that begins now, among `configured` fronts.
    pub fn new(me: u16, life: u64, configured: usize, times: Times, now: Micros) -> Agree {
        Agree {
            me,
            life,
            majority: configured / 2 + 1,
            times,
            quiet_until: now + times.quiet,
            promised: Ballot::default(),
            promises: Promises::default(),
            view: View::default(),
            round: Round::default(),
            lead: None,
        }
    }

    /// The view accepted last; number zero: none yet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The highest ballot heard of.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Whether this life may promise and acknowledge by now.
    pub fn votes(&self, now: Micros) -> bool {
        now >= self.quiet_until
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// How many a majority is.
    pub fn majority(&self) -> usize {
        self.majority
    }

    /// What there is to tell one whose view is `theirs`.
    pub fn word(&self, theirs: Number) -> Word {
        Word {
            promised: self.promised,
            number: self.view.number,
            promises: (self.promised > self.view.number.ballot).then_some(self.promises),
            view: (theirs < self.view.number).then_some(self.view),
            round: (self.promised == self.view.number.ballot && self.view.number.n > 0)
                .then_some(self.round),
        }
    }

    /// Takes what another front told.
    pub fn hear(&mut self, now: Micros, word: &Word, steps: &mut Vec<Step>) {
        if word.promised > self.promised {
            self.promised = word.promised;
            self.promises = Promises::default();
        }
        if let Some(p) = word.promises.filter(|_| word.promised == self.promised) {
            self.promises.by = self.promises.by.or(&p.by);
            self.promises.best = self.promises.best.max(p.best);
        }
        if let Some(view) = word.view.filter(|v| v.number.ballot >= self.promised) {
            if view.number > self.view.number {
                self.promised = view.number.ballot;
                self.view = view;
                self.round = Round::default();
                steps.push(Step::Accepted(view));
            }
        }
        if let Some(round) = word.round.filter(|_| word.number == self.view.number) {
            if round.k > self.round.k {
                self.round = round;
            } else if round.k == self.round.k {
                self.round.by = self.round.by.or(&round.by);
            }
        }
        if self.lead.is_some_and(|l| self.promised > l.ballot) {
            self.lead = None;
            steps.push(Step::GaveUp);
        }
        self.settle(now, steps);
    }

    /// Adds its own word where it may, and carries on as leader.
    fn settle(&mut self, now: Micros, steps: &mut Vec<Step>) {
        if self.votes(now) {
            if self.promised > self.view.number.ballot && !self.promises.by.has(self.me) {
                self.promises.by.insert(self.me);
                self.promises.best = self.promises.best.max(self.view.number);
            }
            // Whoever promised a higher ballot renews nothing under a lower one.
            if self.promised == self.view.number.ballot && self.view.number.n > 0 {
                self.round.by.insert(self.me);
            }
        }
        let Some(lead) = &mut self.lead else { return };
        let under = self.view.number.ballot == lead.ballot;
        if under && !lead.through && self.round.by.len() >= self.majority {
            (lead.through, lead.established) = (true, true);
            steps.push(Step::Renewed(lead.round_began));
        }
    }

    /// Begins to lead, above all that was heard of.
    pub fn stand(&mut self, now: Micros, steps: &mut Vec<Step>) {
        if !self.votes(now) || self.lead.is_some() {
            return;
        }
        let ballot = Ballot {
            round: self.promised.round.saturating_add(1),
            leader: self.me,
            life: self.life,
        };
        self.promised = ballot;
        self.promises = Promises::default();
        self.lead = Some(Lead {
            ballot,
            began: now,
            ..Lead::default()
        });
        steps.push(Step::Spread);
        self.settle(now, steps);
    }

    /// Carries on at a moment; `wanted`: whom the next view is to list, where it is time for one.
    pub fn tick(&mut self, now: Micros, wanted: Option<Bits>, steps: &mut Vec<Step>) {
        self.settle(now, steps);
        let Some(lead) = &mut self.lead else { return };
        let late = now - lead.began > self.times.drop;
        if !lead.established && late {
            self.lead = None;
            return steps.push(Step::GaveUp);
        }
        if self.view.number.ballot < lead.ballot {
            let first = wanted.filter(|_| self.promises.by.len() >= self.majority);
            return first.into_iter().for_each(|members| {
                let number = Number {
                    ballot: self.promised,
                    n: 1,
                };
                self.issue(
                    now,
                    View {
                        number,
                        prev: self.promises.best,
                        members,
                    },
                    steps,
                );
            });
        }
        let prev = self.view.number;
        if let Some(members) = wanted.filter(|w| lead.through && *w != self.view.members) {
            let number = Number {
                n: prev.n + 1,
                ..prev
            };
            return self.issue(
                now,
                View {
                    number,
                    prev,
                    members,
                },
                steps,
            );
        }
        let (through, ran) = (lead.through, now - lead.round_began);
        if (through && ran >= self.times.renew) || (!through && ran > self.times.drop) {
            (lead.round_began, lead.through) = (now, false);
            self.round = Round {
                k: self.round.k.saturating_add(1),
                by: Bits::default(),
            };
            steps.push(Step::Spread);
            self.settle(now, steps);
        }
    }

    fn issue(&mut self, now: Micros, view: View, steps: &mut Vec<Step>) {
        let Some(lead) = &mut self.lead else { return };
        (lead.round_began, lead.through) = (now, false);
        self.view = view;
        self.round = Round::default();
        steps.extend([Step::Accepted(view), Step::Spread]);
        self.settle(now, steps);
    }
}

//! What this front may use, and until when: a lease on its part of the view, held on its own monotonic clock.
//!
//! A lease is a remainder that one who holds it tells, counted from the moment at which it was asked for. What a view gives is
//! used in full only once every lease under an earlier view has surely ended; until then the least of what each view since
//! gives. Where a view in between is not known, or the lease had ended meanwhile, nothing but the reserve is used until then.

use crate::agree::{Number, Times, View};
use crate::bits::Bits;
use lupinrack_policy::Micros;

/// The most views whose leases may still be out; beyond them nothing is known.
const RANGE_MOST: usize = 16;

/// What may be used while the lease lasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Right {
    /// Until this reading, exclusive. Past it: the reserve.
    pub until: Micros,
    /// Whether it lets more than the reserve be used.
    pub whole: bool,
    /// The fronts that surely use nothing but their reserve until then.
    pub absent: Bits,
    /// Some front may take another for absent: it is missing in a view that a lease may be out on.
    pub partial: bool,
}

/// One life's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    me: u16,
    all: Bits,
    times: Times,
    number: Number,
    until: Micros,
    /// When the lease on the present number was first held without a break since.
    held_since: Option<Micros>,
    /// The views that others may still hold leases on, the present one last; none: not all are known.
    range: Option<Vec<(Number, Bits)>>,
}

impl Lease {
    /// A life without a lease.
    pub fn new(me: u16, configured: usize, times: Times) -> Lease {
        let all = Bits::first(configured);
        Lease {
            me,
            all,
            times,
            number: Number::default(),
            until: 0,
            held_since: None,
            range: None,
        }
    }

    /// The view that it is on.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Takes another view. What is left of a lease on the one before it may still be used, within both.
    pub fn accept(&mut self, view: &View) {
        let follows = |r: &Vec<(Number, Bits)>| r.len() < RANGE_MOST && self.number == view.prev;
        self.range = self.range.take().filter(follows).map(|mut r| {
            r.push((view.number, view.members));
            r
        });
        (self.number, self.held_since) = (view.number, None);
    }

    /// Takes a lease on a view that lasts until `until`, as far as this clock goes.
    pub fn hold(&mut self, now: Micros, number: Number, until: Micros, members: Bits) {
        if number != self.number || until <= now || number.n == 0 {
            return;
        }
        if self.until <= now {
            // It had ended: others may hold leases on views that this front does not know.
            (self.held_since, self.range) = (None, None);
        }
        let since = *self.held_since.get_or_insert(now);
        self.until = self.until.max(until);
        if now - since >= self.times.lapse {
            self.range = Some(vec![(number, members)]);
        }
    }

    /// What is left of it for whoever asks now.
    pub fn left(&self, now: Micros) -> Option<Micros> {
        Some(self.until - now).filter(|left| *left > 0)
    }

    /// Whether the lease is held and all before it have ended.
    pub fn settled(&self, now: Micros) -> bool {
        self.until > now
            && self
                .held_since
                .is_some_and(|since| now - since >= self.times.lapse)
    }

    /// What may be used from now on.
    pub fn right(&self, now: Micros) -> Right {
        let Some(range) = self.range.as_ref().filter(|_| self.until > now) else {
            return Right {
                until: now,
                ..Right::default()
            };
        };
        let whole = range.iter().all(|(_, members)| members.has(self.me));
        let present = range
            .iter()
            .fold(Bits::default(), |all, (_, members)| all.or(members));
        let partial = range
            .iter()
            .any(|(_, members)| !self.all.without(members).is_empty());
        Right {
            until: self.until,
            whole,
            absent: self.all.without(&present),
            partial,
        }
    }
}

//! The lease of this front on its share of the current view, measured on its own monotonic clock.
//!
//! A front that holds a lease reports how much of it remains; whoever asked counts that from the moment when it asked. What a
//! view gives is used in full only once every lease on an earlier view has surely expired. Until then this front uses the least
//! of what each of these views gives; where one of them is not known, or the lease expired in between, only the reserve.

use crate::agreement::{Timing, View, ViewNumber};
use crate::front_set::FrontSet;
use lupinrack_policy::Micros;

/// How many views may have leases that have not expired; with more, they count as not known.
const MAX_OUTSTANDING_VIEWS: usize = 16;

/// What may be used while the lease lasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// When the lease ends, exclusive, on this front's clock. From then on only the reserve may be used.
    pub valid_until: Micros,
    /// Whether every outstanding view lists this front, so that it may use more than the reserve.
    pub in_all_views: bool,
    /// The fronts that surely use no more than their reserve until then.
    pub absent: FrontSet,
    /// Whether some outstanding view lacks a front, so that another front may take that one as absent.
    pub some_view_partial: bool,
}

/// The lease of one process incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    me: u16,
    all: FrontSet,
    timing: Timing,
    view_number: ViewNumber,
    valid_until: Micros,
    /// Since when a lease on the current view is held without interruption.
    held_since: Option<Micros>,
    /// The views on which others may still hold leases, the current one last; none if not all of them are known.
    outstanding_views: Option<Vec<(ViewNumber, FrontSet)>>,
}

impl Lease {
    /// A front that holds no lease.
    pub fn new(me: u16, configured: usize, timing: Timing) -> Lease {
        let all = FrontSet::first_n(configured);
        Lease {
            me,
            all,
            timing,
            view_number: ViewNumber::default(),
            valid_until: 0,
            held_since: None,
            outstanding_views: None,
        }
    }

    /// The view that the lease is on.
    pub fn view_number(&self) -> ViewNumber {
        self.view_number
    }

    /// Accepts a new view. The rest of the lease on the previous one may still be used, within what both views give.
    pub fn accept(&mut self, view: &View) {
        let follows = |views: &Vec<(ViewNumber, FrontSet)>| {
            views.len() < MAX_OUTSTANDING_VIEWS && self.view_number == view.previous
        };
        self.outstanding_views = self
            .outstanding_views
            .take()
            .filter(follows)
            .map(|mut views| {
                views.push((view.number, view.members));
                views
            });
        (self.view_number, self.held_since) = (view.number, None);
    }

    /// Extends the lease on a view to `valid_until` on this front's clock. Has no effect for a view other than the current one.
    pub fn extend(
        &mut self,
        now: Micros,
        view_number: ViewNumber,
        valid_until: Micros,
        members: FrontSet,
    ) {
        if view_number != self.view_number || valid_until <= now || view_number.sequence == 0 {
            return;
        }
        if self.valid_until <= now {
            // The lease had expired: others may hold leases on views that this front does not know.
            (self.held_since, self.outstanding_views) = (None, None);
        }
        let since = *self.held_since.get_or_insert(now);
        self.valid_until = self.valid_until.max(valid_until);
        if now - since >= self.timing.lease_expiry_bound {
            self.outstanding_views = Some(vec![(view_number, members)]);
        }
    }

    /// How much of the lease remains; none if it expired.
    pub fn remaining(&self, now: Micros) -> Option<Micros> {
        Some(self.valid_until - now).filter(|remaining| *remaining > 0)
    }

    /// Whether the lease is held, and all leases on earlier views have surely expired.
    pub fn earlier_leases_expired(&self, now: Micros) -> bool {
        self.valid_until > now
            && self
                .held_since
                .is_some_and(|since| now - since >= self.timing.lease_expiry_bound)
    }

    /// What may be used from now on.
    pub fn grant(&self, now: Micros) -> LeaseGrant {
        let Some(views) = self
            .outstanding_views
            .as_ref()
            .filter(|_| self.valid_until > now)
        else {
            return LeaseGrant {
                valid_until: now,
                ..LeaseGrant::default()
            };
        };
        let in_all_views = views.iter().all(|(_, members)| members.contains(self.me));
        let present = views
            .iter()
            .fold(FrontSet::default(), |all, (_, members)| all.union(members));
        let some_view_partial = views
            .iter()
            .any(|(_, members)| !self.all.difference(members).is_empty());
        LeaseGrant {
            valid_until: self.valid_until,
            in_all_views,
            absent: self.all.difference(&present),
            some_view_partial,
        }
    }
}

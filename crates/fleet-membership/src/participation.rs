//! How a front takes part in the fleet, and what it may use: the table of docs/design/membership.md as one function.

use crate::lease::LeaseGrant;

/// How a front takes part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Participation {
    /// No other front has acknowledged this process incarnation yet.
    Starting,
    /// No other front is present.
    Alone,
    /// Others are present, but no lease is held.
    Minority,
    /// A lease is held, but other fronts may still use what it gives.
    Healing,
    /// A lease is held, and all earlier ones have expired.
    Majority,
    /// The process did not run for a while.
    Paused,
    /// The front is shutting down.
    Leaving,
    /// Another process uses the same name.
    Contested,
}

/// What a front may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Allowance {
    /// Nothing that is shared.
    Nothing,
    /// The reserve, which no other front ever takes.
    Reserve,
    /// What the view gives, until the lease ends; then the reserve.
    View,
}

/// What a front knows when it decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations {
    /// Another front addressed this process incarnation.
    pub acknowledged: bool,
    /// The quiet period of a front that starts is over.
    pub quiet_period_over: bool,
    /// The number of other fronts that are present.
    pub others_present: usize,
    /// What the lease gives.
    pub grant: LeaseGrant,
    /// Whether a lease is held now.
    pub lease_held: bool,
    /// Whether all earlier leases have expired.
    pub earlier_leases_expired: bool,
    /// The process did not run for a while and has held no lease since.
    pub paused: bool,
    /// The front is shutting down.
    pub leaving: bool,
    /// Another process uses the same name.
    pub name_contested: bool,
}

/// The table: how a front takes part, and what it may use.
pub fn decide(observed: &Observations) -> (Participation, Allowance) {
    let allowance = if observed.lease_held && observed.grant.in_all_views {
        Allowance::View
    } else {
        Allowance::Reserve
    };
    match observed {
        // Two processes under one name: the acknowledged one keeps the reserve, the other has nothing.
        Observations {
            name_contested: true,
            acknowledged,
            ..
        } => (
            Participation::Contested,
            if *acknowledged {
                Allowance::Reserve
            } else {
                Allowance::Nothing
            },
        ),
        Observations {
            acknowledged: false,
            quiet_period_over: false,
            ..
        } => (Participation::Starting, Allowance::Nothing),
        // It finishes its requests under the lease that it still holds, which is not renewed.
        Observations { leaving: true, .. } => (Participation::Leaving, allowance),
        Observations {
            lease_held: false,
            paused: true,
            ..
        } => (Participation::Paused, Allowance::Reserve),
        Observations {
            lease_held: false,
            others_present: 0,
            ..
        } => (Participation::Alone, Allowance::Reserve),
        Observations {
            lease_held: false, ..
        } => (Participation::Minority, Allowance::Reserve),
        Observations {
            earlier_leases_expired: true,
            ..
        } => (Participation::Majority, allowance),
        _ => (Participation::Healing, allowance),
    }
}

impl Participation {
    /// The name in metrics, reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Participation::Starting => "starting",
            Participation::Alone => "alone",
            Participation::Minority => "minority",
            Participation::Healing => "healing",
            Participation::Majority => "majority",
            Participation::Paused => "paused",
            Participation::Leaving => "leaving",
            Participation::Contested => "contested",
        }
    }
}

//! What to do while they disagree: one function, the table of docs/design/membership.md.

use crate::lease::Right;

/// How a front stands towards the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stance {
    /// Nobody has acknowledged this life yet.
    Starting,
    /// Nobody is heard.
    Alone,
    /// Some are heard, no majority's lease is held.
    Minority,
    /// A lease is held, but others may still use what it gives.
    Healing,
    /// A lease is held and all before it have ended.
    Majority,
    /// This process did not run for a while.
    Paused,
    /// It is told to end.
    Leaving,
    /// Another life goes by its name.
    Contested,
}

/// What may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum May {
    /// Nothing of what is shared.
    Nothing,
    /// The reserve, which no other ever takes.
    Reserve,
    /// What the view gives, until the lease ends; the reserve from then on.
    View,
}

/// What is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Another front answered this life.
    pub acknowledged: bool,
    /// It has been alive for as long as a new life waits for that.
    pub waited: bool,
    /// Others that are held for there.
    pub others: usize,
    /// The lease.
    pub right: Right,
    /// Whether it is held now.
    pub held: bool,
    /// Whether all leases before it have ended.
    pub settled: bool,
    /// It did not run for a while, and has no lease since.
    pub paused: bool,
    /// It is told to end.
    pub leaving: bool,
    /// Another life goes by its name.
    pub contested: bool,
}

/// The table: how it stands, and what it may use.
pub fn decide(seen: &Seen) -> (Stance, May) {
    let may = if seen.held && seen.right.whole {
        May::View
    } else {
        May::Reserve
    };
    match seen {
        // Two processes under one name: the one that was acknowledged keeps the reserve, the other has nothing.
        Seen {
            contested: true,
            acknowledged,
            ..
        } => (
            Stance::Contested,
            if *acknowledged {
                May::Reserve
            } else {
                May::Nothing
            },
        ),
        Seen {
            acknowledged: false,
            waited: false,
            ..
        } => (Stance::Starting, May::Nothing),
        // It finishes what it has by what it holds; its lease is not renewed.
        Seen { leaving: true, .. } => (Stance::Leaving, may),
        Seen {
            held: false,
            paused: true,
            ..
        } => (Stance::Paused, May::Reserve),
        Seen {
            held: false,
            others: 0,
            ..
        } => (Stance::Alone, May::Reserve),
        Seen { held: false, .. } => (Stance::Minority, May::Reserve),
        Seen { settled: true, .. } => (Stance::Majority, may),
        _ => (Stance::Healing, may),
    }
}

impl Stance {
    /// Its word in figures and lines.
    pub fn word(self) -> &'static str {
        match self {
            Stance::Starting => "starting",
            Stance::Alone => "alone",
            Stance::Minority => "minority",
            Stance::Healing => "healing",
            Stance::Majority => "majority",
            Stance::Paused => "paused",
            Stance::Leaving => "leaving",
            Stance::Contested => "contested",
        }
    }
}

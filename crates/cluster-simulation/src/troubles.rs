//! The troubles that are under way.

use crate::plan::Trouble;

/// After trouble, machines are in touch again after this long, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// What is under way.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    /// What ends by itself, with the moment.
    pub ends: Vec<(u64, Trouble)>,
    /// When the last one ended.
    pub last_over: u64,
    /// What strikes when the next job is accepted.
    pub strike_on_acceptance: Option<Trouble>,
    /// Whether acknowledgements to the operator are lost.
    pub acknowledgements_lost: bool,
}

impl Troubles {
    /// Whether all machines are in touch.
    pub fn is_calm(&self, now: u64) -> bool {
        self.ends.is_empty() && now >= self.last_over + CONTACT_MS
    }
}

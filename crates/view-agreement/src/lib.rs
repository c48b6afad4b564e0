//! Agreement on the view of the core: a register changed by two-phase ballots.

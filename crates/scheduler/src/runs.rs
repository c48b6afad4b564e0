//! The runs of a service: every start that was proposed or recorded, until its end is recorded.

pub(crate) mod profile;
pub(crate) mod run;
pub(crate) mod table;

//! Stand-ins on loopback for what surrounds a front, written apart from the fronts' own code. Tests, the demo and
//! the drills share them. They serve no traffic but their own.

pub mod rsync;

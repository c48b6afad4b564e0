//! The arithmetic shared by the SWIM failure detectors of this workspace.
//!
//! [`LocalHealth`] and [`suspicion_timeout`] are Lifeguard's (A. Dadgar, J. Phillips, J. Currey: *Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection*, 2018); [`transmission_limit`] bounds the dissemination of SWIM (A. Das,
//! I. Gupta, A. Motivala, DSN 2002, section 4.1).
//!
//! This crate has no membership list, no messages and no clock. Times are numbers in the unit of the caller.

mod dissemination;
mod local_health;
mod suspicion;

pub use dissemination::{size_factor, transmission_limit};
pub use local_health::{LocalHealth, MAX_HEALTH_SCORE};
pub use suspicion::{confirmations_needed, suspicion_timeout};

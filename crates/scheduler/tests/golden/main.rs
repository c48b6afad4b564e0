//! Compares decisions of the scheduler with the traces in `traces`. A code change that alters a decision fails here, even
//! if it violates no rule.
//!
//! Traces contain no names from the code: [`text`] writes fixed words, and digests are over the wire encodings.
//! `UPDATE_GOLDEN=1` rewrites them.
//!
//! Some decisions use floating point, including `powf`, whose last bit depends on the platform. The traces are valid for
//! the target platform: Linux on x86-64.

#[allow(dead_code)]
#[path = "../decisions/bench.rs"]
mod bench;
#[path = "../simulation/day.rs"]
mod day;
mod days;
mod files;
mod log_lines;
#[path = "../simulation/model_agent.rs"]
mod model_agent;
mod scenario;
mod scenarios;
mod settings;
mod text;
#[path = "../simulation/world.rs"]
mod world;

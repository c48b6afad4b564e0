//! Decisions of the scheduler, compared with traces that are kept beside these sources: a change of the code that moves
//! a decision is seen here, whether or not it breaks a rule.
//!
//! Traces name nothing of the code: they are written by [`text`] word for word, or are digests of the encodings that go
//! over the wire. With `UPDATE_GOLDEN=1` they are written anew.
//!
//! Some decisions rest on floating point, `powf` among it, whose last bit is left to the platform. Traces are good for
//! the platform that the software is built for: Linux on x86-64.

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

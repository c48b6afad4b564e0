//! The commands beside `serve`.

pub mod check;
pub mod demo;

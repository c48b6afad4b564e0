//! The commands beside `serve`.

pub mod check;
pub mod demo;
pub mod extents;

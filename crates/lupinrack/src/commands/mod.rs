//! The commands beside `serve`.

pub mod ask;
pub mod buffer;
pub mod check;
pub mod demo;
pub mod extents;
pub mod fleet;
pub mod lab;
pub mod overload;

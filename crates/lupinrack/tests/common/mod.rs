//! Helpers that the tests share.
#![allow(dead_code, unused_imports)]

pub mod front;
pub use mock_servers::rsync;

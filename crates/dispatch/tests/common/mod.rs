//! Helpers for the tests.
#![allow(dead_code)]

use lupinrack_cluster_api::time::Millis;
use lupinrack_dispatch::{Arrival, DispatchSettings, Dispatcher, Tag};

pub type TestDispatcher = Dispatcher<u8, char, u32>;

pub const NOW: Millis = Millis(0);

pub fn dispatcher() -> TestDispatcher {
    Dispatcher::new(DispatchSettings::default())
}

/// A dispatcher with this depth and limit of bypasses.
pub fn dispatcher_with(depth: usize, max_bypasses: u32) -> TestDispatcher {
    Dispatcher::new(DispatchSettings {
        depth,
        max_bypasses,
        ..DispatchSettings::default()
    })
}

/// A task of a stream with this weight.
pub fn arrival<Stream, Task>(
    stream: Stream,
    weight: f64,
    cost: f64,
    task: Task,
) -> Arrival<Stream, Task> {
    Arrival {
        task,
        stream,
        weight,
        cost,
    }
}

/// The tag at this many units of capacity per weight.
pub fn tag(units: f64) -> Tag {
    Tag((units * 1e6).round() as u64)
}

/// A seeded generator of pseudo-random numbers (splitmix64), so that a test repeats the same choices.
pub struct Choices(pub u64);

impl Choices {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % bound
    }
}

//! Compares the chunked table of extents with one flat table and a `BTreeMap`, with one volume in each.
//!
//! `cargo bench -p lupinrack-extent-map`; the arguments are numbers of extents. Times are medians of five rounds.

use lupinrack_extent_map::btree_ranges::BTreeRanges;
use lupinrack_extent_map::map::MAX_CHUNK_RANGES;
use lupinrack_extent_map::ranges::{KeyRange, Ranges};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: usize = 5;
const LOOKUPS: usize = 1_000_000;
const UPDATES: usize = 2_000;

/// The operations measured on each table.
trait Table {
    const NAME: &'static str;
    fn empty() -> Self;
    fn get(&self, key: u64) -> KeyRange;
    fn set(&mut self, first: u64, last: u64, shard: u32, epoch: u64);
}

impl<const MAX_RANGES: usize> Table for Ranges<MAX_RANGES> {
    const NAME: &'static str = if MAX_RANGES == usize::MAX {
        "flat"
    } else {
        "chunked"
    };
    fn empty() -> Self {
        Ranges::new(0)
    }
    fn get(&self, key: u64) -> KeyRange {
        Ranges::get(self, key)
    }
    fn set(&mut self, first: u64, last: u64, shard: u32, epoch: u64) {
        Ranges::set(self, first, last, Some(shard), epoch, epoch - 1);
    }
}

impl Table for BTreeRanges {
    const NAME: &'static str = "BTreeMap";
    fn empty() -> Self {
        BTreeRanges::new(0)
    }
    fn get(&self, key: u64) -> KeyRange {
        BTreeRanges::get(self, key)
    }
    fn set(&mut self, first: u64, last: u64, shard: u32, epoch: u64) {
        BTreeRanges::set(self, first, last, Some(shard), epoch, epoch - 1);
    }
}

/// Bytes allocated and not freed.
fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated + stats.bytes_reallocated.max(0) as usize - stats.bytes_deallocated
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn measure<T: Table>(extents: u64) -> [f64; 3] {
    let mut rng = fastrand::Rng::with_seed(1);
    let keys_per_extent = u64::MAX / extents;
    let before = allocated_bytes();
    let mut table = T::empty();
    let mut epoch = 0;
    // Neighbouring extents have different shards, so that they are not joined.
    for extent in 0..extents {
        epoch += 1;
        table.set(
            extent * keys_per_extent,
            extent * keys_per_extent + (keys_per_extent - 1),
            (extent % 60) as u32,
            epoch,
        );
    }
    let bytes_per_extent = (allocated_bytes() - before) as f64 / extents as f64;
    let (mut lookups, mut updates) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let started = Instant::now();
        for _ in 0..LOOKUPS {
            black_box(table.get(rng.u64(..)));
        }
        lookups.push(started.elapsed().as_nanos() as f64 / LOOKUPS as f64);
        let started = Instant::now();
        for _ in 0..UPDATES {
            epoch += 1;
            let range = table.get(rng.u64(..));
            // Moves half of an extent; later updates join or split it again.
            let middle = range.first + (range.last - range.first) / 2;
            table.set(range.first, middle, rng.u32(0..60), epoch);
        }
        updates.push(started.elapsed().as_nanos() as f64 / UPDATES as f64);
    }
    [median(lookups), median(updates), bytes_per_extent]
}

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = if arguments.is_empty() {
        vec![1_000, 100_000, 1_000_000]
    } else {
        arguments
    };
    println!(
        "{:>9}  {:<9}{:>12}{:>12}{:>14}",
        "extents", "table", "look-up ns", "update ns", "bytes/extent"
    );
    for extents in sizes {
        let rows = [
            (
                <Ranges<MAX_CHUNK_RANGES> as Table>::NAME,
                measure::<Ranges<MAX_CHUNK_RANGES>>(extents),
            ),
            (
                <Ranges<{ usize::MAX }> as Table>::NAME,
                measure::<Ranges<{ usize::MAX }>>(extents),
            ),
            (BTreeRanges::NAME, measure::<BTreeRanges>(extents)),
        ];
        for (name, [lookup, update, bytes]) in rows {
            println!("{extents:>9}  {name:<9}{lookup:>12.0}{update:>12.0}{bytes:>14.1}");
        }
    }
}

//! The table of extents against plainer ones, in one run: chunks, one flat table, and a `BTreeMap`, one volume each.
//!
//! `cargo bench -p lupinrack-extent-map`; arguments are numbers of extents. Times are medians of five rounds.

use lupinrack_extent_map::map::CHUNK;
use lupinrack_extent_map::plain::Plain;
use lupinrack_extent_map::ranges::{Piece, Ranges};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: usize = 5;
const LOOKUPS: usize = 1_000_000;
const UPDATES: usize = 2_000;

/// What is measured of each table.
trait Table {
    const NAME: &'static str;
    fn empty() -> Self;
    fn get(&self, key: u64) -> Piece;
    fn set(&mut self, first: u64, last: u64, shard: u32, epoch: u64);
}

impl<const N: usize> Table for Ranges<N> {
    const NAME: &'static str = if N == usize::MAX { "flat" } else { "chunked" };
    fn empty() -> Self {
        Ranges::new(0)
    }
    fn get(&self, key: u64) -> Piece {
        Ranges::get(self, key)
    }
    fn set(&mut self, first: u64, last: u64, shard: u32, epoch: u64) {
        Ranges::set(self, first, last, Some(shard), epoch, epoch - 1);
    }
}

impl Table for Plain {
    const NAME: &'static str = "BTreeMap";
    fn empty() -> Self {
        Plain::new(0)
    }
    fn get(&self, key: u64) -> Piece {
        Plain::get(self, key)
    }
    fn set(&mut self, first: u64, last: u64, shard: u32, epoch: u64) {
        Plain::set(self, first, last, Some(shard), epoch, epoch - 1);
    }
}

/// Bytes held by the allocator right now.
fn held() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated + stats.bytes_reallocated.max(0) as usize - stats.bytes_deallocated
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

fn measure<T: Table>(extents: u64) -> [f64; 3] {
    let mut dice = fastrand::Rng::with_seed(1);
    let span = u64::MAX / extents;
    let before = held();
    let mut table = T::empty();
    let mut epoch = 0;
    // Shards alternate, so that neighbours never join.
    for lot in 0..extents {
        epoch += 1;
        table.set(
            lot * span,
            lot * span + (span - 1),
            (lot % 60) as u32,
            epoch,
        );
    }
    let bytes = (held() - before) as f64 / extents as f64;
    let (mut lookups, mut updates) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let began = Instant::now();
        for _ in 0..LOOKUPS {
            black_box(table.get(dice.u64(..)));
        }
        lookups.push(began.elapsed().as_nanos() as f64 / LOOKUPS as f64);
        let began = Instant::now();
        for _ in 0..UPDATES {
            epoch += 1;
            let piece = table.get(dice.u64(..));
            // Half of an extent moves; the next round joins or cuts it again.
            let middle = piece.first + (piece.last - piece.first) / 2;
            table.set(piece.first, middle, dice.u32(0..60), epoch);
        }
        updates.push(began.elapsed().as_nanos() as f64 / UPDATES as f64);
    }
    [median(lookups), median(updates), bytes]
}

fn main() {
    let given: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let sizes = if given.is_empty() {
        vec![1_000, 100_000, 1_000_000]
    } else {
        given
    };
    println!(
        "{:>9}  {:<9}{:>12}{:>12}{:>14}",
        "extents", "table", "look-up ns", "update ns", "bytes/extent"
    );
    for extents in sizes {
        let rows = [
            (
                <Ranges<CHUNK> as Table>::NAME,
                measure::<Ranges<CHUNK>>(extents),
            ),
            (
                <Ranges<{ usize::MAX }> as Table>::NAME,
                measure::<Ranges<{ usize::MAX }>>(extents),
            ),
            (Plain::NAME, measure::<Plain>(extents)),
        ];
        for (name, [lookup, update, bytes]) in rows {
            println!("{extents:>9}  {name:<9}{lookup:>12.0}{update:>12.0}{bytes:>14.1}");
        }
    }
}

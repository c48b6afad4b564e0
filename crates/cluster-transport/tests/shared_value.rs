//! Shared values: the guarantees to readers and writers on several threads, in every interleaving.

use lupinrack_cluster_transport::shared_value::{SharedCell, SharedValue};
use shuttle::scheduler::DfsScheduler;
use shuttle::{thread, Config, Runner};
use std::sync::{Arc, Mutex, MutexGuard};

/// A cell whose operations are one atomic step each, like those of the default cell. Before each step any other thread
/// may run, so shuttle explores every order of the steps.
struct InterleavedCell<T>(Mutex<Arc<T>>);

impl<T> InterleavedCell<T> {
    fn step(&self) -> MutexGuard<'_, Arc<T>> {
        thread::yield_now();
        self.0.lock().unwrap()
    }
}

impl<T> SharedCell<T> for InterleavedCell<T> {
    fn new(value: Arc<T>) -> Self {
        InterleavedCell(Mutex::new(value))
    }

    fn load(&self) -> Arc<T> {
        self.step().clone()
    }

    fn store(&self, value: Arc<T>) {
        *self.step() = value;
    }

    fn compare_and_swap(&self, current: &Arc<T>, next: Arc<T>) -> bool {
        let mut held = self.step();
        let same = Arc::ptr_eq(&held, current);
        if same {
            *held = next;
        }
        same
    }
}

/// A value whose parts belong together.
struct Pair {
    left: u64,
    right: u64,
}

impl Pair {
    fn of(number: u64) -> Self {
        Pair {
            left: number,
            right: number * 10,
        }
    }

    fn number(&self) -> u64 {
        assert_eq!(self.right, self.left * 10, "a mix of two values");
        self.left
    }
}

type Interleaved = SharedValue<Pair, InterleavedCell<Pair>>;

/// An upper bound on the schedules, above their real number.
const MAX_SCHEDULES: usize = 1_000_000;

/// Explores all schedules.
fn all_schedules(test: impl Fn() + Send + Sync + 'static) {
    let scheduler = DfsScheduler::new(Some(MAX_SCHEDULES), false);
    let played = Runner::new(scheduler, Config::default()).run(test);
    assert!(played < MAX_SCHEDULES, "some schedules were left out");
}

/// Loads twice and checks that the second value is no older than the first.
fn read_twice<C: SharedCell<Pair>>(value: &SharedValue<Pair, C>) {
    let first = value.load().number();
    let second = value.load().number();
    assert!(second >= first, "went back from {first} to {second}");
}

#[test]
fn readers_see_complete_values_and_never_an_older_one() {
    all_schedules(|| {
        let value = Arc::new(Interleaved::new(Pair::of(0)));
        let shared = value.clone();
        let writer = thread::spawn(move || {
            shared.replace(Arc::new(Pair::of(1)));
            shared.replace(Arc::new(Pair::of(2)));
        });
        let shared = value.clone();
        let reader = thread::spawn(move || read_twice(&shared));
        read_twice(&value);
        writer.join().unwrap();
        reader.join().unwrap();
        assert_eq!(value.load().number(), 2);
    });
}

#[test]
fn no_update_is_lost() {
    all_schedules(|| {
        let value = Arc::new(Interleaved::new(Pair::of(0)));
        let writers: Vec<_> = (0..2)
            .map(|_| {
                let shared = value.clone();
                thread::spawn(move || {
                    assert!(shared.update(|pair| Some(Pair::of(pair.number() + 1))))
                })
            })
            .collect();
        read_twice(&value);
        writers
            .into_iter()
            .for_each(|writer| writer.join().unwrap());
        assert_eq!(value.load().number(), 2);
    });
}

/// Replaces the value unless it is newer.
fn advance<C: SharedCell<Pair>>(value: &SharedValue<Pair, C>, number: u64) -> bool {
    value.update(|pair| (pair.number() < number).then(|| Pair::of(number)))
}

#[test]
fn the_newest_value_of_two_writers_stays() {
    all_schedules(|| {
        let value = Arc::new(Interleaved::new(Pair::of(0)));
        let shared = value.clone();
        let writer = thread::spawn(move || assert!(advance(&shared, 2)));
        let shared = value.clone();
        let reader = thread::spawn(move || read_twice(&shared));
        advance(&value, 1);
        writer.join().unwrap();
        reader.join().unwrap();
        assert_eq!(value.load().number(), 2);
    });
}

#[test]
fn the_default_cell_has_the_same_guarantees() {
    const UPDATES: u64 = 1000;
    let value: Arc<SharedValue<Pair>> = Arc::new(SharedValue::new(Pair::of(0)));
    let writers: Vec<_> = (0..3)
        .map(|_| {
            let shared = value.clone();
            std::thread::spawn(move || {
                for _ in 0..UPDATES {
                    assert!(shared.update(|pair| Some(Pair::of(pair.number() + 1))));
                    read_twice(&shared);
                }
            })
        })
        .collect();
    writers
        .into_iter()
        .for_each(|writer| writer.join().unwrap());
    assert_eq!(value.load().number(), 3 * UPDATES);
    assert!(!advance(&value, 1));
    value.replace(Arc::new(Pair::of(1)));
    assert_eq!(value.load().number(), 1);
}

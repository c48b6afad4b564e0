//! The jobs of a large deployment: short ones, wide ones, gangs on accelerators, and long-running ones.

use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use mock_servers::worker::work::Work;

/// A service and its share of the servers, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Roster,
    Routing,
}

impl Service {
    pub const SHARE_OF_ROSTER: u32 = 72;

    pub fn as_str(self) -> &'static str {
        match self {
            Service::Roster => "roster",
            Service::Routing => "routing",
        }
    }
}

/// A queue with jobs of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    Short,
    Wide,
    Gang,
    LongRunning,
    Accelerated,
}

impl Queue {
    pub const ALL: [Queue; 5] = [
        Queue::Short,
        Queue::Wide,
        Queue::Gang,
        Queue::LongRunning,
        Queue::Accelerated,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Queue::Short => "short",
            Queue::Wide => "wide",
            Queue::Gang => "gang",
            Queue::LongRunning => "long-running",
            Queue::Accelerated => "accelerated",
        }
    }

    pub fn service(self) -> Service {
        match self {
            Queue::Short | Queue::Wide | Queue::LongRunning => Service::Roster,
            Queue::Gang | Queue::Accelerated => Service::Routing,
        }
    }

    pub fn priority(self) -> u32 {
        match self {
            Queue::Short => 0,
            Queue::Gang | Queue::LongRunning => 1,
            Queue::Wide | Queue::Accelerated => 2,
        }
    }

    /// Jobs a second in a cluster of 240 servers.
    pub fn rate(self) -> f64 {
        match self {
            Queue::Short => 49.6,
            Queue::Wide => 1.32,
            Queue::Gang => 1.48,
            Queue::LongRunning => 0.142,
            Queue::Accelerated => 0.911,
        }
    }

    /// A job of this queue in a cluster with these numbers of racks.
    pub fn draw(self, racks: u32, rng: &mut fastrand::Rng) -> JobSpec {
        let mut width = |mean: u32| rng.u32(mean / 3..=mean * 2 - mean / 3).max(1);
        let (count, steps) = match self {
            Queue::Short => (width(13), 1 + u32::from(width(2) > 2)),
            Queue::Wide => (width(70), 2),
            Queue::Gang => (width(7), 1),
            Queue::LongRunning => (width(30), 1),
            Queue::Accelerated => (width(40), 1),
        };
        let spread = |mean: u64, rng: &mut fastrand::Rng| rng.u64(mean / 2..=mean * 3 / 2);
        let (cpu, memory_mb, gpu, takes_ms) = match self {
            Queue::Short => (spread(830, rng), spread(1_500, rng), 0, spread(700, rng)),
            Queue::Wide => (
                spread(1_800, rng),
                spread(1_800, rng),
                0,
                spread(3_600, rng),
            ),
            Queue::Gang => (
                15_000,
                41_000,
                [2, 4, 8, 8][rng.usize(0..4)],
                spread(4_500, rng),
            ),
            Queue::LongRunning => (spread(2_200, rng), spread(3_200, rng), 0, 3_600_000),
            Queue::Accelerated => (2_800, 5_700, 1, spread(3_800, rng)),
        };
        let affinity = if self == Queue::Short && rng.u32(0..100) < 40 {
            format!("rack-{}", rng.u32(0..racks))
        } else {
            String::new()
        };
        let step = Step {
            count,
            needs: Resources {
                cpu,
                memory_mb,
                gpu,
            },
            estimate_ms: if self == Queue::LongRunning {
                400
            } else {
                spread(takes_ms, rng)
            },
            checkpoints: matches!(self, Queue::Wide | Queue::Accelerated),
            gang: self == Queue::Gang,
            same_rack: self == Queue::Gang && rng.bool(),
            requires: if rng.u32(0..100) < 12 { "b" } else { "" }.to_owned(),
            affinity,
            anti_affinity: u32::from(self == Queue::LongRunning && rng.u32(0..100) < 60),
            long_running: self == Queue::LongRunning,
            ..Step::default()
        };
        let work = Work {
            takes_ms,
            cpu,
            gang: if step.gang { count as usize } else { 0 },
            fails: false,
        };
        let steps = (0..steps)
            .map(|number| Step {
                depends_on: (0..number).collect(),
                ..step.clone()
            })
            .collect();
        JobSpec {
            spec: work.to_string(),
            steps,
            ..JobSpec::default()
        }
    }
}

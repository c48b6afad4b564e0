//! Named cases of faults, each with a script.

use lupinrack_fault_injection::relay::Fault;
use lupinrack_fault_injection::script::{key, Act, Script};

/// A named case.
pub struct Case {
    /// The name on the command line.
    pub name: &'static str,
    /// What it covers, for the list on the command line.
    pub description: &'static str,
    /// Its script for a seed.
    pub script: fn(u64) -> Script,
}

fn cut_path() -> Fault {
    Fault {
        cut: true,
        ..Fault::default()
    }
}

/// All cases.
pub const CASES: &[Case] = &[
    Case { name: "dead", description: "one of three is killed; the others use what it had", script: dead },
    Case {
        name: "paused",
        description: "a front is stopped for 5 s in the middle of using its part",
        script: paused,
    },
    Case { name: "one-way", description: "one direction between two fronts is cut", script: one_way },
    Case { name: "halves", description: "two halves of equal size, then healing", script: halves },
    Case { name: "mute", description: "a front hears all and is heard by none", script: mute },
    Case { name: "lossy", description: "30 % loss with reordering and duplicates, and a death", script: lossy },
    Case { name: "storm", description: "seven of ten are killed within 10 ms and back within 2 s", script: storm },
    Case { name: "start", description: "all start at once from nothing", script: start },
    Case { name: "twin", description: "two processes under one name", script: twin },
    Case { name: "sets", description: "volumes through 3 of 9, the dead among them and beside them", script: sets },
    Case {
        name: "newcomer",
        description: "volumes of a dead front come to others, while its part is shared out",
        script: newcomer,
    },
    Case {
        name: "upgrade",
        description: "newer processes of two fronts take over from the older ones, one front is dead meanwhile",
        script: upgrade,
    },
    Case { name: "keys", description: "a key is changed while a third of the fleet is cut off", script: keys },
    Case { name: "leader", description: "leaders die one after another between any two steps", script: leader },
    Case { name: "again", description: "old datagrams come again", script: again },
    Case { name: "roster", description: "one front's list of members differs", script: roster },
    Case { name: "flaps", description: "a front comes and goes every second", script: flaps },
    Case { name: "nodes", description: "a front's ways to nodes and discovery are cut", script: nodes },
];

/// The case with this name.
pub fn find_case(name: &str) -> Option<&'static Case> {
    CASES.iter().find(|c| c.name == name)
}

fn dead(seed: u64) -> Script {
    Script::new("dead", seed, 3, 12.0).at(2_000, Act::Kill { front: 2 })
}

fn paused(seed: u64) -> Script {
    let front = (seed % 4) as u16;
    Script::new("paused", seed, 4, 12.0)
        .at(2_000, Act::Stop { front })
        .at(7_000, Act::Cont { front })
        .at(9_000, Act::Cold)
}

fn one_way(seed: u64) -> Script {
    let (from, to) = ((seed % 4) as u16, ((seed + 1) % 4) as u16);
    Script::new("one-way", seed, 4, 10.0)
        .at(
            1_500,
            Act::Path {
                from,
                to,
                fault: cut_path(),
            },
        )
        .at(
            7_500,
            Act::Path {
                from,
                to,
                fault: Fault::default(),
            },
        )
}

fn halves(seed: u64) -> Script {
    Script::new("halves", seed, 4, 16.0)
        .at(
            1_500,
            Act::Split {
                groups: vec![vec![0, 1], vec![2, 3]],
            },
        )
        .at(9_500, Act::Heal)
}

fn mute(seed: u64) -> Script {
    let front = (seed % 5) as u16;
    Script::new("mute", seed, 5, 14.0)
        .at(1_500, Act::Mute { front })
        .at(9_000, Act::Heal)
}

fn lossy(seed: u64) -> Script {
    let fault = Fault {
        loss: 0.3,
        twice: 0.1,
        damage: 0.02,
        delay_ms: 1,
        spread_ms: 30,
        cut: false,
    };
    Script::new("lossy", seed, 5, 14.0)
        .at(0, Act::Net { fault })
        .at(
            3_000,
            Act::Kill {
                front: (seed % 5) as u16,
            },
        )
}

fn storm(seed: u64) -> Script {
    let mut script = Script::new("storm", seed, 10, 14.0);
    (script.hosts, script.volumes) = (5, 4);
    for (i, front) in (0..10)
        .cycle()
        .skip((seed % 10) as usize)
        .take(7)
        .enumerate()
    {
        let i = i as u64;
        script = script
            .at(2_000 + i, Act::Kill { front })
            .at(3_000 + 130 * i, Act::Start { front });
    }
    script
}

fn start(seed: u64) -> Script {
    let mut script = Script::new("start", seed, 5, 14.0);
    script.late = true;
    for front in 0..5 {
        script = script.at(1, Act::Start { front });
    }
    script
}

fn twin(seed: u64) -> Script {
    let front = (seed % 3) as u16;
    Script::new("twin", seed, 3, 14.0)
        .at(2_000, Act::Twin { front })
        .at(8_000, Act::NoTwin { front })
}

fn sets(seed: u64) -> Script {
    let mut script = Script::new("sets", seed, 9, 14.0);
    (script.hosts, script.volumes) = (3, 6);
    script.at(4_000, Act::Kill { front: 2 }).at(
        4_000,
        Act::Kill {
            front: (3 + seed % 4) as u16,
        },
    )
}

fn upgrade(seed: u64) -> Script {
    let front = (seed % 4) as u16;
    // A new process incarnation does not vote for two leases. One of five fronts is dead, so upgrading one at a time keeps a majority.
    Script::new("upgrade", seed, 5, 20.0)
        .at(1_500, Act::Upgrade { front })
        .at(8_000, Act::Kill { front: 4 })
        .at(
            14_500,
            Act::Upgrade {
                front: (front + 1) % 4,
            },
        )
}

fn newcomer(seed: u64) -> Script {
    let mut script = Script::new("newcomer", seed, 5, 16.0);
    (script.hosts, script.volumes) = (3, 4);
    // Front 2 serves volumes 0, 1 and 3. By 8 s its share has passed to the others.
    script = script.at(2_000, Act::Kill { front: 2 });
    script
        .at(
            8_000,
            Act::Joins {
                volume: 0,
                front: 3,
            },
        )
        .at(
            8_500,
            Act::Joins {
                volume: 1,
                front: 0,
            },
        )
        .at(
            9_000 + seed % 700,
            Act::Joins {
                volume: 3,
                front: 4,
            },
        )
}

fn keys(seed: u64) -> Script {
    let mut script = Script::new("keys", seed, 3, 30.0);
    let both_keys = vec![key(1), key(2)];
    script = script.at(
        1_000,
        Act::Keys {
            front: None,
            keys: both_keys,
        },
    );
    // Fronts 0 and 1 restart with both keys, one after another, while front 2 is cut off.
    script = script.at(
        1_500,
        Act::Split {
            groups: vec![vec![0, 1], vec![2]],
        },
    );
    for (i, front) in [0u16, 1].into_iter().enumerate() {
        let at = 2_000 + 6_500 * i as u64;
        script = script
            .at(at, Act::Kill { front })
            .at(at + 200, Act::Start { front });
    }
    script = script.at(15_000, Act::Heal);
    // The old key must not be removed before all fronts have both.
    script = script
        .at(21_000, Act::Kill { front: 2 })
        .at(21_200, Act::Start { front: 2 });
    script
}

fn leader(seed: u64) -> Script {
    // The present front with the lowest index leads. The seed places its death at different steps of the agreement on the first
    // death.
    let after_ms = (seed * 37) % 2_600;
    let mut script = Script::new("leader", seed, 5, 18.0);
    script = script
        .at(2_000, Act::Kill { front: 4 })
        .at(2_000 + after_ms, Act::Kill { front: 0 });
    script
        .at(7_000, Act::Start { front: 0 })
        .at(7_500, Act::Start { front: 4 })
}

fn again(seed: u64) -> Script {
    Script::new("again", seed, 4, 18.0)
        .at(500, Act::Keep { on: true })
        .at(2_000, Act::Kill { front: 3 })
        .at(3_000, Act::Start { front: 3 })
        .at(4_500, Act::Keep { on: false })
        .at(8_000, Act::Kill { front: 3 })
        .at(12_000, Act::Again)
}

fn roster(seed: u64) -> Script {
    let mut script = Script::new("roster", seed, 4, 16.0);
    script = script.at(
        1_000,
        Act::Forgets {
            front: 3,
            member: 1,
        },
    );
    script
        .at(1_500, Act::Kill { front: 3 })
        .at(2_000, Act::Start { front: 3 })
}

fn flaps(seed: u64) -> Script {
    let front = (seed % 4) as u16;
    let mut script = Script::new("flaps", seed, 4, 16.0);
    for i in 0..6 {
        let groups = vec![(0..4).filter(|f| *f != front).collect(), vec![front]];
        script = script
            .at(1_500 + 2_000 * i, Act::Split { groups })
            .at(2_500 + 2_000 * i, Act::Heal);
    }
    script
}

fn nodes(seed: u64) -> Script {
    let front = (seed % 3) as u16;
    Script::new("nodes", seed, 3, 10.0)
        .at(2_000, Act::Nodes { front, cut: true })
        .at(2_000, Act::Discovery { front, cut: true })
        .at(5_000, Act::Nodes { front, cut: false })
        .at(5_000, Act::Discovery { front, cut: false })
}

/// Random kills, pauses, partitions and loss. After the last fault there is time to recover.
pub fn random_script(seed: u64, front_count: u16, seconds: u64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut script = Script::new("chance", seed, front_count, seconds as f64);
    let end_ms = seconds * 1000;
    let mut at_ms = 1500 + rng.u64(0..1000);
    while at_ms + 4000 < end_ms {
        let front = rng.u16(0..front_count);
        let duration_ms = 1500 + rng.u64(0..5000);
        let (begin, end) = match rng.u32(0..6) {
            0 | 1 => (Act::Kill { front }, Act::Start { front }),
            2 => (Act::Stop { front }, Act::Cont { front }),
            3 => (Act::Mute { front }, Act::Heal),
            4 => {
                let mut fronts: Vec<u16> = (0..front_count).collect();
                rng.shuffle(&mut fronts);
                let first_group = rng.usize(1..usize::from(front_count));
                let groups = vec![
                    fronts[..first_group].to_vec(),
                    fronts[first_group..].to_vec(),
                ];
                (Act::Split { groups }, Act::Heal)
            }
            _ => {
                let fault = Fault {
                    loss: 0.1 + 0.2 * rng.f64(),
                    twice: 0.1,
                    delay_ms: 1,
                    spread_ms: rng.u64(1..40),
                    ..Default::default()
                };
                (
                    Act::Net { fault },
                    Act::Net {
                        fault: Default::default(),
                    },
                )
            }
        };
        script = script
            .at(at_ms, begin)
            .at((at_ms + duration_ms).min(end_ms - 500), end);
        at_ms += 1500 + rng.u64(0..4000);
    }
    script.at(end_ms / 2, Act::Cold)
}

//! Scripts: timed acts that the harness carries out. A script is data. It is printed when a run fails and can be played again
//! from a file.

use crate::relay::Fault;
use serde::{Deserialize, Serialize};

/// An act that the harness carries out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Act {
    /// Kills a front's process with SIGKILL.
    Kill {
        /// The front.
        front: u16,
    },
    /// Starts a front's process again under its name, without any state.
    Start {
        /// The front.
        front: u16,
    },
    /// Pauses a front's process with SIGSTOP.
    Stop {
        /// The front.
        front: u16,
    },
    /// Resumes a paused process with SIGCONT.
    Cont {
        /// The front.
        front: u16,
    },
    /// Sends SIGTERM to a front's process.
    Term {
        /// The front.
        front: u16,
    },
    /// Starts a newer process of a front beside the older one, with the same `$TMPDIR`, and sends SIGTERM to the older one.
    Upgrade {
        /// The front.
        front: u16,
    },
    /// Starts a second process under a front's name, at another address.
    Twin {
        /// The front.
        front: u16,
    },
    /// Kills the second process.
    NoTwin {
        /// The front.
        front: u16,
    },
    /// Sets the faults of a directed path.
    Path {
        /// The sending front.
        from: u16,
        /// The receiving front.
        to: u16,
        /// The faults from now on.
        fault: Fault,
    },
    /// Sets the faults of every path between fronts, apart from cuts.
    Net {
        /// The faults from now on.
        fault: Fault,
    },
    /// Partitions the fronts. Only fronts of the same group reach each other; a front in no group reaches none.
    Split {
        /// The groups of fronts.
        groups: Vec<Vec<u16>>,
    },
    /// Cuts all paths from a front. It still receives from all others.
    Mute {
        /// The front.
        front: u16,
    },
    /// Restores all cut paths between fronts.
    Heal,
    /// Cuts or restores a front's connections to the nodes.
    Nodes {
        /// The front.
        front: u16,
        /// Whether they are cut from now on.
        cut: bool,
    },
    /// Cuts or restores a front's connection to discovery.
    Discovery {
        /// The front.
        front: u16,
        /// Whether it is cut from now on.
        cut: bool,
    },
    /// Starts or stops recording datagrams for replay.
    Keep {
        /// Whether datagrams are recorded from now on.
        on: bool,
    },
    /// Replays the recorded datagrams.
    Again,
    /// Sets the keys in a front's configuration from its next start on.
    Keys {
        /// The front, or all fronts if none is given.
        front: Option<u16>,
        /// The keys.
        keys: Vec<String>,
    },
    /// Omits a member from a front's configuration from its next start on.
    Forgets {
        /// The front.
        front: u16,
        /// The member that is omitted.
        member: u16,
    },
    /// Makes a warmed-up node hang, or ends the hang. A hung node accepts connections and requests and answers nothing.
    Hang {
        /// The node's index, from 0.
        node: u16,
        /// Whether it hangs from now on.
        on: bool,
    },
    /// Starts a warming-up node and lists it in discovery.
    Cold,
    /// Lets a volume's clients use another front, in place of one that is dead.
    Joins {
        /// The volume.
        volume: u16,
        /// The front.
        front: u16,
    },
}

/// A script: the setup of a run, and the acts in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// The script's name.
    pub name: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: u16,
    /// Duration of the load in seconds. It begins when all fronts are ready.
    pub seconds: f64,
    /// Number of fronts that the clients of each volume use.
    pub hosts: u16,
    /// Number of volumes whose load exceeds their limit.
    pub volumes: u16,
    /// The keys in every front's initial configuration.
    #[serde(default)]
    pub keys: Vec<String>,
    /// The acts, with their times in milliseconds since the load began.
    pub acts: Vec<(u64, Act)>,
    /// Whether the fronts form a fleet. Otherwise each gets its share of the limits once, at the start.
    #[serde(default = "yes")]
    pub fleet: bool,
    /// Whether fronts start only when the script starts them.
    #[serde(default)]
    pub late: bool,
    /// Injects faults that the drill has to detect: each front is configured as the only one and thus takes all limits for
    /// itself, and nodes do not remember which keyed writes ran.
    #[serde(default)]
    pub spoilt: bool,
    /// Whether each warmed-up node holds a shard of its own. Otherwise two nodes hold each shard.
    #[serde(default)]
    pub apart: bool,
    /// Further sections of each front's operators' file, after `[fleet]`.
    #[serde(default)]
    pub sections: String,
}

fn yes() -> bool {
    true
}

/// A key for tests and drills: the byte `n` in hexadecimal, 32 times.
pub fn key(n: u8) -> String {
    format!("{n:02x}").repeat(32)
}

impl Script {
    /// A script without acts.
    pub fn new(name: &str, seed: u64, fronts: u16, seconds: f64) -> Script {
        Script {
            name: name.into(),
            seed,
            fronts,
            seconds,
            hosts: fronts.min(5),
            volumes: 4,
            keys: vec![key(1)],
            acts: Vec::new(),
            fleet: true,
            late: false,
            spoilt: false,
            apart: false,
            sections: String::new(),
        }
    }

    /// Adds an act at `ms` milliseconds after the load began.
    pub fn at(mut self, ms: u64, act: Act) -> Script {
        self.acts.push((ms, act));
        self
    }

    /// The fronts that a volume's clients use.
    pub fn fronts_of(&self, volume: u16) -> Vec<u16> {
        let hosts = self.hosts.clamp(1, self.fronts);
        // The sets of different volumes overlap.
        let first = usize::from(volume) * 2 % usize::from(self.fronts);
        (0..hosts)
            .map(|k| ((first + usize::from(k)) % usize::from(self.fronts)) as u16)
            .collect()
    }

    /// Checks the limits of a script that was read from a file.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=64).contains(&self.fronts) {
            return Err("1 to 64 fronts".into());
        }
        if !(0.0..=600.0).contains(&self.seconds) {
            return Err("at most 600 seconds".into());
        }
        if !(1..=256).contains(&self.volumes) {
            return Err("1 to 256 volumes".into());
        }
        let exists = |f: &u16| *f < self.fronts;
        for (_, act) in &self.acts {
            let named_fronts: Vec<u16> = match act {
                Act::Kill { front }
                | Act::Start { front }
                | Act::Stop { front }
                | Act::Cont { front }
                | Act::Term { front }
                | Act::Twin { front }
                | Act::NoTwin { front }
                | Act::Mute { front }
                | Act::Upgrade { front }
                | Act::Joins { front, .. }
                | Act::Nodes { front, .. }
                | Act::Discovery { front, .. } => vec![*front],
                Act::Path { from, to, .. } => vec![*from, *to],
                Act::Split { groups } => groups.concat(),
                Act::Forgets { front, member } => vec![*front, *member],
                Act::Keys { front, .. } => front.iter().copied().collect(),
                Act::Net { .. }
                | Act::Heal
                | Act::Keep { .. }
                | Act::Again
                | Act::Cold
                | Act::Hang { .. } => Vec::new(),
            };
            if !named_fronts.iter().all(exists) {
                return Err(format!("{act:?} names a front that does not exist"));
            }
        }
        Ok(())
    }
}

//! What happens when: a script is data, printed where a run fails and played again from a file.

use crate::relay::Fault;
use serde::{Deserialize, Serialize};

/// Something that the rig does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Act {
    /// A process is killed outright.
    Kill {
        /// Whose.
        front: u16,
    },
    /// It is started again under its name, with nothing kept.
    Start {
        /// Whose.
        front: u16,
    },
    /// It is stopped where it stands.
    Stop {
        /// Whose.
        front: u16,
    },
    /// It goes on.
    Cont {
        /// Whose.
        front: u16,
    },
    /// It is told to end.
    Term {
        /// Whose.
        front: u16,
    },
    /// A newer process of it starts beside it, in the same `$TMPDIR`, and the older one is told to end.
    Upgrade {
        /// Whose.
        front: u16,
    },
    /// A second process under its name, at another address.
    Twin {
        /// Whose.
        front: u16,
    },
    /// The second process is killed.
    NoTwin {
        /// Whose.
        front: u16,
    },
    /// One directed path gets this fault.
    Path {
        /// From whom.
        from: u16,
        /// To whom.
        to: u16,
        /// What it does from now on.
        fault: Fault,
    },
    /// Every path between fronts gets this fault; cuts stay.
    Net {
        /// What they do from now on.
        fault: Fault,
    },
    /// Fronts of different groups don't hear each other; one that is in none hears nobody.
    Split {
        /// The groups.
        groups: Vec<Vec<u16>>,
    },
    /// A front hears all and is heard by none.
    Mute {
        /// Which.
        front: u16,
    },
    /// No path between fronts is cut any more.
    Heal,
    /// A front's ways to nodes are cut, or joined again.
    Nodes {
        /// Whose.
        front: u16,
        /// Whether they are cut.
        cut: bool,
    },
    /// A front's way to discovery is cut, or joined again.
    Discovery {
        /// Whose.
        front: u16,
        /// Whether it is cut.
        cut: bool,
    },
    /// Datagrams are kept from now on, or no longer.
    Keep {
        /// Whether.
        on: bool,
    },
    /// What was kept is played again.
    Again,
    /// From its next start on a front's file has these keys.
    Keys {
        /// Whose; none: all.
        front: Option<u16>,
        /// The keys.
        keys: Vec<String>,
    },
    /// From its next start on a front's file lacks this member.
    Forgets {
        /// Whose.
        front: u16,
        /// Whom it lacks.
        member: u16,
    },
    /// A warm node hangs: it takes connections and requests, and answers nothing; or no longer.
    Hang {
        /// Which, from 0 on.
        node: u16,
        /// Whether it hangs from now on.
        on: bool,
    },
    /// A cold node starts, and is listed.
    Cold,
    /// A volume works through another front from now on, in place of one that is dead.
    Joins {
        /// Which volume.
        volume: u16,
        /// Which front.
        front: u16,
    },
}

/// What a script is played on, and what happens in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// The seed of all chances.
    pub seed: u64,
    /// Fronts.
    pub fronts: u16,
    /// Seconds of load, from when all are ready.
    pub seconds: f64,
    /// Through how many fronts each volume works.
    pub hosts: u16,
    /// Volumes at their limits.
    pub volumes: u16,
    /// Keys of all files at first.
    #[serde(default)]
    pub keys: Vec<String>,
    /// What happens, at milliseconds from the first load on.
    pub acts: Vec<(u64, Act)>,
    /// Fronts know of each other. Otherwise their parts are told once, at the start.
    #[serde(default = "yes")]
    pub fleet: bool,
    /// No front is started before the script says so.
    #[serde(default)]
    pub late: bool,
    /// Faults planted to show that the drill finds them: each front is told that it is the only one, so that it takes the
    /// whole of everything for its part, and nodes do not remember which writes ran.
    #[serde(default)]
    pub spoilt: bool,
    /// Each warm node holds a shard of its own, not two of them one.
    #[serde(default)]
    pub apart: bool,
    /// What stands in each front's operators' file beside `[fleet]`.
    #[serde(default)]
    pub sections: String,
}

fn yes() -> bool {
    true
}

/// A key for tests and drills.
pub fn key(n: u8) -> String {
    format!("{n:02x}").repeat(32)
}

impl Script {
    /// A script without any fault.
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

    /// The same with one thing more.
    pub fn at(mut self, ms: u64, act: Act) -> Script {
        self.acts.push((ms, act));
        self
    }

    /// Which fronts a volume works through.
    pub fn set(&self, volume: u16) -> Vec<u16> {
        let hosts = self.hosts.clamp(1, self.fronts);
        // Spread round the fleet, so that sets overlap.
        let first = usize::from(volume) * 2 % usize::from(self.fronts);
        (0..hosts)
            .map(|k| ((first + usize::from(k)) % usize::from(self.fronts)) as u16)
            .collect()
    }

    /// Its faults as a file has them.
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
        let known = |f: &u16| *f < self.fronts;
        for (_, act) in &self.acts {
            let named: Vec<u16> = match act {
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
            if !named.iter().all(known) {
                return Err(format!("{act:?} names a front that is not there"));
            }
        }
        Ok(())
    }
}

//! The options of a run.

use std::path::PathBuf;
use std::time::Duration;

/// What ends the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// Nothing: all processes go on.
    None,
    /// All processes are killed and start again; the servers go on.
    Kill,
    /// All machines lose power: servers come back as new incarnations.
    Power,
}

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub cores: u16,
    pub fronts: u16,
    pub agents: u16,
    pub seed: u64,
    /// The factor on the rate of submissions.
    pub load: f64,
    pub traffic: Duration,
    /// For how long jobs are watched after the traffic.
    pub watch: Duration,
    /// The percentage of servers that fail all their runs for six seconds in the middle of the traffic.
    pub failing_percent: u32,
    /// The percentage of servers that crash in the middle of the traffic.
    pub crashing_percent: u32,
    pub closing: Closing,
    /// The longest time by which an agent starts late after the closing.
    pub late_agents: Duration,
    /// The processors of the cluster's processes, as `taskset` takes them; empty for all.
    pub processors: String,
}

impl Options {
    /// Reads `--name value` pairs.
    pub fn parse(mut arguments: impl Iterator<Item = String>) -> Result<Options, String> {
        let mut options = Options {
            program: PathBuf::from("target/release/lupinrack"),
            folder: std::env::temp_dir().join(format!("idle-jobs-{}", std::process::id())),
            cores: 9,
            fronts: 14,
            agents: 240,
            seed: 1,
            load: 1.0,
            traffic: Duration::from_secs(30),
            watch: Duration::from_secs(24),
            failing_percent: 0,
            crashing_percent: 0,
            closing: Closing::None,
            late_agents: Duration::ZERO,
            processors: String::new(),
        };
        while let Some(name) = arguments.next() {
            let value = arguments
                .next()
                .ok_or_else(|| format!("{name} needs a value"))?;
            options
                .set(&name, &value)
                .map_err(|error| format!("{name} {value}: {error}"))?;
        }
        Ok(options)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        fn number<T: std::str::FromStr>(value: &str) -> Result<T, String> {
            value.parse().map_err(|_| "not a number".to_owned())
        }
        match name {
            "--program" => self.program = value.into(),
            "--folder" => self.folder = value.into(),
            "--cores" => self.cores = number(value)?,
            "--fronts" => self.fronts = number(value)?,
            "--agents" => self.agents = number(value)?,
            "--seed" => self.seed = number(value)?,
            "--load" => self.load = number(value)?,
            "--traffic-s" => self.traffic = Duration::from_secs(number(value)?),
            "--watch-s" => self.watch = Duration::from_secs(number(value)?),
            "--failing-percent" => self.failing_percent = number(value)?,
            "--crashing-percent" => self.crashing_percent = number(value)?,
            "--late-agents-ms" => self.late_agents = Duration::from_millis(number(value)?),
            "--processors" => value.clone_into(&mut self.processors),
            "--closing" => {
                self.closing = match value {
                    "none" => Closing::None,
                    "kill" => Closing::Kill,
                    "power" => Closing::Power,
                    _ => return Err("not none, kill or power".to_owned()),
                }
            }
            _ => return Err("no such option".to_owned()),
        }
        Ok(())
    }
}

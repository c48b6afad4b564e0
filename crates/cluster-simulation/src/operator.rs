//! The operator: changes with races, repeats and faults, and reads, checked against the rules of the configuration.

use crate::calls::{call, OpenCall, Outcome};
use crate::configuration::{cut_short, large, mark_of, patch, unknown_service, whole, HOST};
use crate::plan::{Acknowledgement, OperatorOrder};
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_control_state::check_configuration;

/// How long the operator waits for an answer before it goes on to another process, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// How soon an acknowledged configuration is in force at every machine in touch, in milliseconds.
const APPLY_MS: u64 = 1_500;
/// Between two counts that are asked of fronts, in milliseconds.
const COUNT_EVERY_MS: u64 = 300;

/// How many changes a crowd of operators begins at once.
const CROWD: usize = 8;

/// A change, and what its sender knows of it.
#[derive(Debug)]
struct Change {
    if_match: u64,
    version: u64,
    body: ConfigurationBody,
    valid: bool,
    open: Option<(OpenCall, bool)>,
    next_at: u64,
    pause: u64,
    acknowledged_at: Option<u64>,
    refused: bool,
    /// Whether its sender tries no more.
    over: bool,
    repeats_left: u32,
}

/// A read under way, and the newest version that was acknowledged when it began.
#[derive(Debug)]
struct OpenRead {
    call: OpenCall,
    acknowledged: u64,
}

/// A count asked of a front.
#[derive(Debug)]
struct OpenCount {
    call: OpenCall,
    mark: String,
    is_there: bool,
}

/// The operator.
#[derive(Debug, Default)]
pub struct Operator {
    changes: Vec<Change>,
    read: Option<OpenRead>,
    count: Option<OpenCount>,
    next_read_at: u64,
    next_count_at: u64,
    /// The newest version that was acknowledged.
    acknowledged: u64,
    /// The newest version that is known from an acknowledgement or a read.
    known: u64,
    /// The newest version that was read.
    read_version: u64,
    /// When the newest configuration was read whole after the end of the day.
    pub read_at_end: Option<u64>,
}

impl Operator {
    /// Whether any change is still being sent.
    pub fn is_busy(&self) -> bool {
        self.changes.iter().any(|change| !change.over)
    }

    /// Begins what the plan has it do.
    pub fn begin(&mut self, order: OperatorOrder, world: &mut World) {
        match order {
            OperatorOrder::Change => self.begin_change(world),
            OperatorOrder::Race => self.begin_race(world),
            OperatorOrder::Crowd => (0..CROWD).for_each(|_| self.begin_change(world)),
            OperatorOrder::LargeChange => self.begin_large_change(world),
            OperatorOrder::BadChange => self.begin_bad_change(world),
        }
    }

    /// Begins a change on top of the newest known version.
    fn begin_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let if_match = self.known;
        let version = if_match + 1 + world.rng.u64(0..3);
        let is_whole = if_match == 0 || world.rng.u32(0..3) == 0;
        let body = if is_whole { whole(version, number) } else { patch(version, number) };
        self.send_change(if_match, version, body, true, world);
    }

    /// Begins a change whose body is large.
    fn begin_large_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let (if_match, version) = (self.known, self.known + 1);
        self.send_change(if_match, version, large(version, number), true, world);
    }

    /// Begins two changes on the same version.
    fn begin_race(&mut self, world: &mut World) {
        self.begin_change(world);
        self.begin_change(world);
    }

    /// Begins a change that is invalid, or builds on a version that is not current.
    fn begin_bad_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let known = self.known;
        if known == 0 {
            return;
        }
        match world.rng.u32(0..4) {
            0 => self.send_change(known, known + 1, unknown_service(known + 1, number), false, world),
            1 => self.send_change(known, known + 1, cut_short(known + 1), false, world),
            2 => self.send_change(known, known, patch(known, number), false, world),
            _ => self.send_change(known - 1, known + 5, patch(known + 5, number), false, world),
        }
    }

    fn send_change(
        &mut self,
        if_match: u64,
        version: u64,
        body: ConfigurationBody,
        valid: bool,
        world: &mut World,
    ) {
        let repeats_left = world.rng.u32(0..3);
        self.changes.push(Change {
            if_match,
            version,
            body,
            valid,
            open: None,
            next_at: world.now,
            pause: 50,
            acknowledged_at: None,
            refused: false,
            over: false,
            repeats_left,
        });
    }

    /// Lets the operator do what is due.
    pub fn serve(&mut self, world: &mut World) {
        for number in 0..self.changes.len() {
            self.go_on_with_change(number, world);
        }
        self.go_on_with_read(world);
        self.go_on_with_count(world);
    }

    fn go_on_with_change(&mut self, number: usize, world: &mut World) {
        let now = world.now;
        let change = &mut self.changes[number];
        if let Some((open, lost)) = &mut change.open {
            let Some(outcome) = open.outcome(now) else { return };
            let outcome = if *lost { Outcome::Doubt } else { outcome };
            change.open = None;
            self.change_answered(number, outcome, world);
            return;
        }
        if change.over || now < change.next_at {
            return;
        }
        let Some(core) = world.some_core() else { return };
        let lost = world.loses_acknowledgement();
        let change = &mut self.changes[number];
        let body = change.body.clone();
        let request = Request::ChangeConfiguration(ConfigurationChange { if_match: change.if_match, body });
        let (call, open) = call(request, now, SILENCE_MS);
        change.open = Some((open, lost));
        world.call_core(core, call);
    }

    fn change_answered(&mut self, number: usize, outcome: Outcome, world: &mut World) {
        let now = world.now;
        match outcome {
            Outcome::Success(_) => self.change_acknowledged(number, world),
            Outcome::Refused(
                kind @ (ErrorKind::VersionConflict | ErrorKind::InvalidConfiguration | ErrorKind::Malformed),
            ) => self.change_refused(number, kind, world),
            Outcome::Refused(_) | Outcome::Doubt => {
                let change = &mut self.changes[number];
                change.pause = (change.pause * 2).min(800);
                change.next_at = now + change.pause;
            }
        }
    }

    fn change_acknowledged(&mut self, number: usize, world: &mut World) {
        let now = world.now;
        let (if_match, version) = (self.changes[number].if_match, self.changes[number].version);
        let rival = self.changes.iter().enumerate().find(|(other, change)| {
            *other != number && change.if_match == if_match && change.acknowledged_at.is_some()
        });
        if let Some((rival, _)) = rival {
            world.checks.broke(now, format!("CONFIG: changes {rival} and {number} on version {if_match}"));
        }
        let change = &mut self.changes[number];
        if !change.valid || change.refused {
            world.checks.broke(now, format!("CONFIG: change {number} to {version} is acknowledged"));
        }
        change.acknowledged_at.get_or_insert(now);
        if change.repeats_left > 0 {
            change.repeats_left -= 1;
            change.next_at = now + 300;
        } else {
            change.over = true;
        }
        self.acknowledged = self.acknowledged.max(version);
        world.has_configuration = true;
        world.acknowledged(Acknowledgement::Configuration);
        self.known = self.known.max(version);
    }

    fn change_refused(&mut self, number: usize, kind: ErrorKind, world: &mut World) {
        let now = world.now;
        let change = &mut self.changes[number];
        if change.acknowledged_at.is_some() {
            world.checks.broke(now, format!("CONFIG: change {number}, acknowledged, is refused: {kind}"));
        }
        let current = self.read_version;
        let change = &mut self.changes[number];
        if change.valid && kind != ErrorKind::VersionConflict && current <= change.if_match {
            world.checks.broke(now, format!("CONFIG: change {number}, valid, is refused: {kind}"));
        }
        let change = &mut self.changes[number];
        change.refused = true;
        change.over = true;
        self.next_read_at = now;
    }

    fn go_on_with_read(&mut self, world: &mut World) {
        let now = world.now;
        if let Some(read) = &mut self.read {
            let Some(outcome) = read.call.outcome(now) else { return };
            let acknowledged = read.acknowledged;
            self.read = None;
            if let Outcome::Success(Reply::ConfigurationDocument(text)) = outcome {
                self.configuration_read(&text, acknowledged, world);
            }
            return;
        }
        if now < self.next_read_at {
            return;
        }
        let Some(core) = world.some_core() else { return };
        self.next_read_at = now + 400 + world.rng.u64(0..600);
        let (call, open) = call(Request::ReadConfiguration, now, SILENCE_MS);
        self.read = Some(OpenRead { call: open, acknowledged: self.acknowledged });
        world.call_core(core, call);
    }

    fn configuration_read(&mut self, text: &str, acknowledged: u64, world: &mut World) {
        let now = world.now;
        let Ok(configuration) = check_configuration(text) else {
            if acknowledged > 0 {
                world.checks.broke(now, "CONFIG: what is read back is no configuration".to_owned());
            }
            return;
        };
        let version = configuration.version;
        if version < acknowledged {
            let text = format!("CONFIG: version {version} is read, {acknowledged} was acknowledged");
            world.checks.broke(now, text);
        }
        if version < self.read_version {
            world.checks.broke(now, format!("CONFIG: back from {} to {version}", self.read_version));
        }
        let has_mark = |number: usize| {
            let mark = mark_of(number);
            configuration.routes.iter().any(|route| route.name.0 == mark)
        };
        let rightful = self.changes.iter().enumerate().any(|(number, change)| {
            change.version == version && change.valid && !change.refused && has_mark(number)
        });
        if !rightful {
            world.checks.broke(now, format!("CONFIG: version {version} in force was refused or never sent"));
        }
        self.read_version = self.read_version.max(version);
        self.known = self.known.max(version);
        if world.closing {
            self.read_at_end = Some(now);
        }
    }

    fn go_on_with_count(&mut self, world: &mut World) {
        let now = world.now;
        if let Some(count) = &mut self.count {
            let Some(outcome) = count.call.outcome(now) else { return };
            let Some(count) = self.count.take() else { return };
            if world.is_calm() {
                self.count_answered(&count, &outcome, world);
            }
            return;
        }
        if now < self.next_count_at || !world.is_calm() {
            return;
        }
        self.next_count_at = now + COUNT_EVERY_MS;
        let Some((mark, is_there)) = self.settled_mark(world.now) else { return };
        let Some(front) = world.ready_front() else { return };
        let target = Target { host: HOST.to_owned(), path: format!("/{mark}/") };
        let (call, open) = call(Request::ReadQueue { target }, now, SILENCE_MS);
        self.count = Some(OpenCount { call: open, mark, is_there });
        world.call_front(front, call);
    }

    fn count_answered(&mut self, count: &OpenCount, outcome: &Outcome, world: &mut World) {
        let now = world.now;
        let wrong = match outcome {
            Outcome::Success(_) => !count.is_there,
            Outcome::Refused(ErrorKind::UnknownQueue) => count.is_there,
            _ => false,
        };
        if wrong {
            let text =
                format!("CONFIG: route {} is there: {}, answered {outcome:?}", count.mark, count.is_there);
            world.checks.broke(now, text);
        }
    }

    /// A route of which it is certain whether fronts in touch know it: the newest change is settled and nothing else was
    /// sent since.
    fn settled_mark(&self, now: u64) -> Option<(String, bool)> {
        if self.is_busy() {
            return None;
        }
        let newest = |change: &&Change| change.acknowledged_at.is_some();
        let change = self.changes.iter().filter(newest).max_by_key(|change| change.version)?;
        if change.version != self.known || change.acknowledged_at? + APPLY_MS > now {
            return None;
        }
        let number = self
            .changes
            .iter()
            .position(|other| other.version == change.version && other.acknowledged_at.is_some())?;
        let is_whole = matches!(change.body, ConfigurationBody::Whole(_));
        if is_whole && number > 0 && now.is_multiple_of(2) {
            return Some((mark_of(number - 1), false));
        }
        Some((mark_of(number), true))
    }
}

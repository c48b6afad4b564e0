//! Changes of the configuration.

use super::{Operator, SILENCE_MS};
use crate::configuration_body::{cut_short, large, mark_of, patch, unknown_service, whole};
use crate::faults::schedule::{Acknowledgement, OperatorOrder};
use crate::pending_call::{call, OpenCall, Outcome};
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_api::request::Request;
use lupinrack_configuration_history::{Call, CallNumber, ChangeId, ConditionalChange, Response};

/// How many changes a crowd of operators begins at once.
const CROWD: usize = 8;
/// How soon an acknowledged change is sent again, in milliseconds.
const REPEAT_MS: u64 = 300;
/// The longest time after which it is sent again on the worst days, in milliseconds.
const LATE_REPEAT_MOST_MS: u64 = 15_000;

/// What a change is expected to come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Soundness {
    /// It may be taken.
    Sound,
    /// Its body is invalid.
    Invalid,
    /// It builds on an older version, or sets none that is newer.
    Stale,
}

/// A change, and what its sender knows of it.
#[derive(Debug)]
pub struct OpenChange {
    if_match: u64,
    version: u64,
    body: ConfigurationBody,
    soundness: Soundness,
    open: Option<Try>,
    next_at: u64,
    pause: u64,
    acknowledged_at: Option<u64>,
    refused: bool,
    /// Whether its sender tries no more.
    over: bool,
    repeats_left: u32,
}

/// One call of a change.
#[derive(Debug)]
struct Try {
    call: OpenCall,
    number: CallNumber,
    /// Whether its answer is lost on the way.
    answer_lost: bool,
    /// Whether all machines were in touch when it began.
    began_calm: bool,
}

impl OpenChange {
    /// Whether its sender tries no more.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// When it was acknowledged first.
    pub fn acknowledged_at(&self) -> Option<u64> {
        self.acknowledged_at
    }

    /// The version that it sets.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether it replaces the configuration whole.
    pub fn is_whole(&self) -> bool {
        matches!(self.body, ConfigurationBody::Replacement(_))
    }

    /// Whether it may be in force as the change of this number.
    pub fn may_be(&self, number: usize, version: u64, routes: &[String]) -> bool {
        let rightful = self.soundness == Soundness::Sound && !self.refused;
        rightful && self.version == version && routes.contains(&mark_of(number))
    }

    fn for_history(&self, number: usize) -> ConditionalChange {
        ConditionalChange {
            id: ChangeId(number as u64),
            base_version: self.if_match,
            new_version: self.version,
            is_valid: self.soundness != Soundness::Invalid,
        }
    }
}

impl Operator {
    pub(super) fn begin_order(&mut self, order: OperatorOrder, world: &mut World) {
        match order {
            OperatorOrder::Change => self.begin_change(world),
            OperatorOrder::LargeChange => self.begin_large_change(world),
            OperatorOrder::Race => (0..2).for_each(|_| self.begin_change(world)),
            OperatorOrder::Crowd => (0..CROWD).for_each(|_| self.begin_change(world)),
            OperatorOrder::BadChange => self.begin_bad_change(world),
            OperatorOrder::Resend => self.begin_resend(world),
        }
    }

    /// Begins a change on top of the newest known version.
    fn begin_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let if_match = self.known;
        let version = if_match + 1 + world.rng.u64(0..3);
        let is_whole = if_match == 0 || world.rng.u32(0..3) == 0;
        let body = if is_whole {
            whole(version, number)
        } else {
            patch(version, number)
        };
        self.send_change(if_match, version, body, Soundness::Sound, world);
    }

    /// Begins a change whose body is large.
    fn begin_large_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let (if_match, version) = (self.known, self.known + 1);
        self.send_change(
            if_match,
            version,
            large(version, number),
            Soundness::Sound,
            world,
        );
    }

    /// Begins a change that is invalid, or builds on a version that is not current.
    fn begin_bad_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let known = self.known;
        if known == 0 {
            return;
        }
        let (if_match, version, body, soundness) = match world.rng.u32(0..4) {
            0 => (
                known,
                known + 1,
                unknown_service(known + 1, number),
                Soundness::Invalid,
            ),
            1 => (known, known + 1, cut_short(known + 1), Soundness::Invalid),
            2 => (known, known, patch(known, number), Soundness::Stale),
            _ => (
                known - 1,
                known + 5,
                patch(known + 5, number),
                Soundness::Stale,
            ),
        };
        self.send_change(if_match, version, body, soundness, world);
    }

    /// Sends a change again that was acknowledged at any time before.
    fn begin_resend(&mut self, world: &mut World) {
        let acknowledged = self
            .changes
            .iter_mut()
            .filter(|change| change.acknowledged_at.is_some());
        let settled: Vec<&mut OpenChange> = acknowledged.filter(|change| change.over).collect();
        if let Some(change) = world.rng.choice(settled) {
            change.over = false;
            change.next_at = world.now;
        }
    }

    fn send_change(
        &mut self,
        if_match: u64,
        version: u64,
        body: ConfigurationBody,
        soundness: Soundness,
        world: &mut World,
    ) {
        let repeats_left = world.rng.u32(0..3);
        self.changes.push(OpenChange {
            if_match,
            version,
            body,
            soundness,
            open: None,
            next_at: world.now,
            pause: 50,
            acknowledged_at: None,
            refused: false,
            over: false,
            repeats_left,
        });
    }

    pub(super) fn go_on_with_change(&mut self, number: usize, world: &mut World) {
        let now = world.now;
        let change = &mut self.changes[number];
        if let Some(open) = &mut change.open {
            let Some(outcome) = open.call.outcome(now) else {
                return;
            };
            let outcome = if open.answer_lost {
                Outcome::Doubt
            } else {
                outcome
            };
            self.history.respond(open.number, answer_of(&outcome), now);
            if open.began_calm && world.is_calm() {
                check_calm_answer(number, &outcome, world);
            }
            change.open = None;
            self.change_answered(number, outcome, world);
            return;
        }
        if change.over || now < change.next_at {
            return;
        }
        self.call_change(number, world);
    }

    fn call_change(&mut self, number: usize, world: &mut World) {
        let Some(core) = world.some_core() else {
            return;
        };
        let answer_lost = world.loses_acknowledgement();
        let change = &mut self.changes[number];
        let body = change.body.clone();
        let request = Request::ChangeConfiguration(ConfigurationChange {
            if_match: change.if_match,
            body,
        });
        let (control_call, open) = call(request, world.now, SILENCE_MS);
        let in_history = self
            .history
            .invoke(Call::Change(change.for_history(number)), world.now);
        change.open = Some(Try {
            call: open,
            number: in_history,
            answer_lost,
            began_calm: world.is_calm(),
        });
        world.call_core(core, control_call);
    }

    fn change_answered(&mut self, number: usize, outcome: Outcome, world: &mut World) {
        match outcome {
            Outcome::Success(_) => self.change_acknowledged(number, world),
            Outcome::Refused(
                kind @ (ErrorKind::VersionConflict
                | ErrorKind::InvalidConfiguration
                | ErrorKind::Malformed),
            ) => self.change_refused(number, kind, world),
            Outcome::Refused(_) | Outcome::Doubt => {
                let change = &mut self.changes[number];
                change.pause = (change.pause * 2).min(800);
                change.next_at = world.now + change.pause;
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
            world.checks.broke(
                now,
                format!("CONFIG: changes {rival} and {number} on version {if_match}"),
            );
        }
        let change = &mut self.changes[number];
        if change.soundness != Soundness::Sound || change.refused {
            world.checks.broke(
                now,
                format!("CONFIG: change {number} to {version} is acknowledged"),
            );
        }
        change.acknowledged_at.get_or_insert(now);
        if change.repeats_left > 0 {
            change.repeats_left -= 1;
            change.next_at = now + repeat_after(world);
        } else {
            change.over = true;
        }
        self.acknowledged = self.acknowledged.max(version);
        self.known = self.known.max(version);
        world.has_configuration = true;
        world.acknowledged(Acknowledgement::Configuration);
    }

    fn change_refused(&mut self, number: usize, kind: ErrorKind, world: &mut World) {
        let now = world.now;
        let current = self.read_version;
        let change = &mut self.changes[number];
        if change.acknowledged_at.is_some() {
            world.checks.broke(
                now,
                format!("CONFIG: change {number}, acknowledged, is refused: {kind}"),
            );
        }
        let is_sound = change.soundness == Soundness::Sound;
        if is_sound && kind != ErrorKind::VersionConflict && current <= change.if_match {
            world.checks.broke(
                now,
                format!("CONFIG: change {number}, valid, is refused: {kind}"),
            );
        }
        change.refused = true;
        change.over = true;
        self.next_read_at = now;
    }
}

/// After how many milliseconds an acknowledged change is sent again.
fn repeat_after(world: &mut World) -> u64 {
    if world.settings.kind.is_worst() && world.rng.u32(0..4) == 0 {
        world.rng.u64(REPEAT_MS..LATE_REPEAT_MOST_MS)
    } else {
        REPEAT_MS
    }
}

/// While all machines are in touch, every one of them answers an order clearly.
fn check_calm_answer(number: usize, outcome: &Outcome, world: &mut World) {
    if answer_of(outcome) == Response::Indeterminate {
        let text = format!(
            "ACKS: change {number} is answered {outcome:?} while all machines are in touch"
        );
        world.checks.broke(world.now, text);
    }
}

fn answer_of(outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Success(_) => Response::Acknowledged,
        Outcome::Refused(ErrorKind::VersionConflict) => Response::Conflict,
        Outcome::Refused(ErrorKind::InvalidConfiguration | ErrorKind::Malformed) => {
            Response::Invalid
        }
        Outcome::Refused(_) | Outcome::Doubt => Response::Indeterminate,
    }
}

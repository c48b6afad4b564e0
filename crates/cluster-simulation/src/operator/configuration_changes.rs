//! Changes of the configuration.

use super::{Operator, CALL_TIMEOUT_MS};
use crate::config::RouteChanges;
use crate::configuration_body::{
    large, marker_route_name, patch, patch_of_routes, replacement, truncated, unknown_service,
};
use crate::faults::schedule::{Acknowledgement, OperatorAction};
use crate::pending_call::{call, Outcome, PendingCall};
use crate::route_layout::RouteLayout;
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_api::request::Request;
use lupinrack_configuration_history::{Call, CallNumber, ChangeId, ConditionalChange, Response};

/// Number of changes that a concurrent burst begins at once.
const BURST_SIZE: usize = 8;
/// Delay until an acknowledged change is sent again, in milliseconds.
const RESEND_DELAY_MS: u64 = 300;
/// Upper bound of that delay under severe faults, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 15_000;

/// The expected verdict on a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Validity {
    /// Valid: it can be accepted.
    Valid,
    /// Its body is invalid.
    Invalid,
    /// Its base version is outdated, or its own version is not newer.
    Stale,
}

/// A change, and what its sender knows about its attempts.
#[derive(Debug)]
pub(super) struct ChangeAttempts {
    if_match: u64,
    version: u64,
    body: ConfigurationBody,
    validity: Validity,
    open: Option<PendingAttempt>,
    next_at: u64,
    backoff_ms: u64,
    acknowledged_at: Option<u64>,
    rejected: bool,
    /// Whether its sender has stopped retrying.
    over: bool,
    repeats_left: u32,
}

/// One call of a change.
#[derive(Debug)]
struct PendingAttempt {
    call: PendingCall,
    number: CallNumber,
    /// Whether its answer is lost in transit.
    answer_lost: bool,
    /// Whether all machines were connected when the call began.
    was_stable: bool,
}

impl ChangeAttempts {
    /// Whether its sender has stopped retrying.
    pub(super) fn is_over(&self) -> bool {
        self.over
    }

    /// Time of the first acknowledgement.
    pub(super) fn acknowledged_at(&self) -> Option<u64> {
        self.acknowledged_at
    }

    /// The version that it sets.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether it replaces the complete configuration.
    pub(super) fn is_replacement(&self) -> bool {
        matches!(self.body, ConfigurationBody::Replacement(_))
    }

    /// Whether the change, under this number, can be in force.
    pub(super) fn may_be_in_force(&self, number: usize, version: u64, routes: &[String]) -> bool {
        let is_acceptable = self.validity == Validity::Valid && !self.rejected;
        is_acceptable && self.version == version && routes.contains(&marker_route_name(number))
    }

    fn for_history(&self, number: usize) -> ConditionalChange {
        ConditionalChange {
            id: ChangeId(number as u64),
            base_version: self.if_match,
            new_version: self.version,
            is_valid: self.validity != Validity::Invalid,
        }
    }
}

impl Operator {
    pub(super) fn begin_action(&mut self, action: OperatorAction, world: &mut World) {
        match action {
            OperatorAction::Change => self.begin_change(world),
            OperatorAction::LargeChange => self.begin_large_change(world),
            OperatorAction::ConcurrentPair => (0..2).for_each(|_| self.begin_change(world)),
            OperatorAction::ConcurrentBurst => {
                (0..BURST_SIZE).for_each(|_| self.begin_change(world));
            }
            OperatorAction::InvalidChange => self.begin_bad_change(world),
            OperatorAction::Resend => self.begin_resend(world),
            OperatorAction::DirectAll(service) => self.begin_direction(service, world),
        }
    }

    /// Begins a change based on the newest known version.
    fn begin_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let if_match = self.known;
        let version = if_match + 1 + world.rng.u64(0..3);
        let is_replacement = if_match == 0 || world.rng.u32(0..3) == 0;
        let changes = world.config.route_changes;
        let changes_routes = changes != RouteChanges::None && if_match > 0;
        let drawn = changes_routes.then(|| RouteLayout::draw(&mut world.rng, changes));
        if let Some(layout) = &drawn {
            world.oracle.queues_directed(layout.directions());
        }
        let body = match drawn {
            Some(layout) if is_replacement => replacement(version, number, &layout),
            Some(layout) => patch_of_routes(version, number, &layout),
            None if is_replacement => replacement(version, number, &RouteLayout::usual()),
            None => patch(version, number),
        };
        self.send_change(if_match, version, body, Validity::Valid, world);
    }

    /// Begins a change that directs all queues to one service and removes the others.
    fn begin_direction(&mut self, service: usize, world: &mut World) {
        let number = self.changes.len();
        let (if_match, version) = (self.known, self.known + 1);
        let layout = RouteLayout::directed_to(service);
        world.oracle.queues_directed(layout.directions());
        let body = replacement(version, number, &layout);
        self.send_change(if_match, version, body, Validity::Valid, world);
    }

    /// Begins a change whose body is large.
    fn begin_large_change(&mut self, world: &mut World) {
        let number = self.changes.len();
        let (if_match, version) = (self.known, self.known + 1);
        self.send_change(
            if_match,
            version,
            large(version, number),
            Validity::Valid,
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
        let (if_match, version, body, validity) = match world.rng.u32(0..4) {
            0 => (
                known,
                known + 1,
                unknown_service(known + 1, number),
                Validity::Invalid,
            ),
            1 => (known, known + 1, truncated(known + 1), Validity::Invalid),
            2 => (known, known, patch(known, number), Validity::Stale),
            _ => (
                known - 1,
                known + 5,
                patch(known + 5, number),
                Validity::Stale,
            ),
        };
        self.send_change(if_match, version, body, validity, world);
    }

    /// Resends a change that was acknowledged earlier.
    fn begin_resend(&mut self, world: &mut World) {
        let acknowledged = self
            .changes
            .iter_mut()
            .filter(|change| change.acknowledged_at.is_some());
        let settled: Vec<&mut ChangeAttempts> = acknowledged.filter(|change| change.over).collect();
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
        validity: Validity,
        world: &mut World,
    ) {
        let repeats_left = world.rng.u32(0..3);
        self.changes.push(ChangeAttempts {
            if_match,
            version,
            body,
            validity,
            open: None,
            next_at: world.now,
            backoff_ms: 50,
            acknowledged_at: None,
            rejected: false,
            over: false,
            repeats_left,
        });
    }

    pub(super) fn advance_change(&mut self, number: usize, world: &mut World) {
        let now = world.now;
        let change = &mut self.changes[number];
        if let Some(open) = &mut change.open {
            let Some(outcome) = open.call.outcome(now) else {
                return;
            };
            let outcome = if open.answer_lost {
                Outcome::Indeterminate
            } else {
                outcome
            };
            self.history.respond(open.number, answer_of(&outcome), now);
            if open.was_stable && world.is_stable() {
                check_response_while_stable(number, &outcome, world);
            }
            change.open = None;
            self.change_answered(number, &outcome, world);
            return;
        }
        if change.over || now < change.next_at {
            return;
        }
        self.call_change(number, world);
    }

    fn call_change(&mut self, number: usize, world: &mut World) {
        let Some(core) = world.choose_core() else {
            return;
        };
        let answer_lost = world.loses_acknowledgement();
        let change = &mut self.changes[number];
        let body = change.body.clone();
        let request = Request::ChangeConfiguration(ConfigurationChange {
            if_match: change.if_match,
            body,
        });
        let (control_call, open) = call(request, world.now, CALL_TIMEOUT_MS);
        let in_history = self
            .history
            .invoke(Call::Change(change.for_history(number)), world.now);
        change.open = Some(PendingAttempt {
            call: open,
            number: in_history,
            answer_lost,
            was_stable: world.is_stable(),
        });
        world.call_core(core, control_call);
    }

    fn change_answered(&mut self, number: usize, outcome: &Outcome, world: &mut World) {
        match outcome {
            Outcome::Success(_) => self.change_acknowledged(number, world),
            Outcome::Rejected(
                kind @ (ErrorKind::VersionConflict
                | ErrorKind::InvalidConfiguration
                | ErrorKind::Malformed),
            ) => self.change_refused(number, *kind, world),
            Outcome::Rejected(_) | Outcome::Indeterminate => {
                let change = &mut self.changes[number];
                change.backoff_ms = (change.backoff_ms * 2).min(800);
                change.next_at = world.now + change.backoff_ms;
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
            world.oracle.report_violation(
                now,
                &format!("CONFIG: changes {rival} and {number} on version {if_match}"),
            );
        }
        let change = &mut self.changes[number];
        if change.validity != Validity::Valid || change.rejected {
            world.oracle.report_violation(
                now,
                &format!("CONFIG: change {number} to {version} is acknowledged"),
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
            world.oracle.report_violation(
                now,
                &format!("CONFIG: change {number}, acknowledged, is refused: {kind}"),
            );
        }
        let is_sound = change.validity == Validity::Valid;
        if is_sound && kind != ErrorKind::VersionConflict && current <= change.if_match {
            world.oracle.report_violation(
                now,
                &format!("CONFIG: change {number}, valid, is refused: {kind}"),
            );
        }
        change.rejected = true;
        change.over = true;
        self.next_read_at = now;
    }
}

/// Draws the delay until an acknowledged change is sent again, in milliseconds.
fn repeat_after(world: &mut World) -> u64 {
    if world.config.profile.is_severe() && world.rng.u32(0..4) == 0 {
        world.rng.u64(RESEND_DELAY_MS..MAX_RESEND_DELAY_MS)
    } else {
        RESEND_DELAY_MS
    }
}

/// While all machines are connected, each of them must answer a change with success or a definite refusal.
fn check_response_while_stable(number: usize, outcome: &Outcome, world: &mut World) {
    if answer_of(outcome) == Response::Indeterminate {
        let text = format!(
            "ACKS: change {number} is answered {outcome:?} while all machines are in touch"
        );
        world.oracle.report_violation(world.now, &text);
    }
}

fn answer_of(outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Success(_) => Response::Acknowledged,
        Outcome::Rejected(ErrorKind::VersionConflict) => Response::Conflict,
        Outcome::Rejected(ErrorKind::InvalidConfiguration | ErrorKind::Malformed) => {
            Response::Invalid
        }
        Outcome::Rejected(_) | Outcome::Indeterminate => Response::Indeterminate,
    }
}

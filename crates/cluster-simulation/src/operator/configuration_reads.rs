//! Reads of the configuration.

use super::{Operator, CALL_TIMEOUT_MS};
use crate::pending_call::{call, Outcome, PendingCall};
use crate::world::World;
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_configuration_history::{Call, CallNumber, ChangeId, Response};
use lupinrack_control_state::check_configuration;

/// A pending read, and the newest version acknowledged before it began.
#[derive(Debug)]
pub(super) struct PendingRead {
    call: PendingCall,
    number: CallNumber,
    acknowledged: u64,
}

/// The parts of a configuration document that reads check.
struct Document {
    version: u64,
    routes: Vec<String>,
}

impl Operator {
    pub(super) fn advance_read(&mut self, world: &mut World) {
        let now = world.now;
        if let Some(mut read) = self.read.take() {
            match read.call.outcome(now) {
                Some(Outcome::Success(Reply::ConfigurationDocument(text))) => {
                    self.configuration_read(&text, &read, world);
                }
                Some(_) => self
                    .history
                    .respond(read.number, Response::Indeterminate, now),
                None => self.read = Some(read),
            }
            return;
        }
        if now < self.next_read_at {
            return;
        }
        let Some(core) = world.choose_core() else {
            return;
        };
        self.next_read_at = now + 400 + world.rng.u64(0..600);
        let (control_call, open) = call(Request::ReadConfiguration, now, CALL_TIMEOUT_MS);
        let number = self.history.invoke(Call::Read, now);
        self.read = Some(PendingRead {
            call: open,
            number,
            acknowledged: self.acknowledged,
        });
        world.call_core(core, control_call);
    }

    fn configuration_read(&mut self, text: &str, read: &PendingRead, world: &mut World) {
        let now = world.now;
        let Some(document) = read_document(text) else {
            self.history.respond(
                read.number,
                Response::Observed {
                    version: 0,
                    change: None,
                },
                now,
            );
            if read.acknowledged > 0 {
                world
                    .oracle
                    .report_violation(now, "CONFIG: what is read back is no configuration");
            }
            return;
        };
        let version = document.version;
        let change = self.change_in_force(&document);
        self.history
            .respond(read.number, Response::Observed { version, change }, now);
        self.check_read(version, read.acknowledged, world);
        if change.is_none() {
            let text = format!("CONFIG: version {version} in force was refused or never sent");
            world.oracle.report_violation(now, &text);
        }
        self.read_version = self.read_version.max(version);
        self.known = self.known.max(version);
        if world.final_reads_begun {
            self.read_at_end = Some(now);
        }
    }

    fn check_read(&self, version: u64, acknowledged: u64, world: &mut World) {
        let now = world.now;
        if version < acknowledged {
            let text =
                format!("CONFIG: version {version} is read, {acknowledged} was acknowledged");
            world.oracle.report_violation(now, &text);
        }
        if version < self.read_version {
            world.oracle.report_violation(
                now,
                &format!("CONFIG: back from {} to {version}", self.read_version),
            );
        }
    }

    /// Finds the change that produced the document, by version and marker route. Among changes to the same version only
    /// those that were not refused can be in force.
    fn change_in_force(&self, document: &Document) -> Option<ChangeId> {
        let Document { version, routes } = document;
        let changes = self.changes.iter().enumerate();
        let mut candidates =
            changes.filter(|(number, change)| change.may_be_in_force(*number, *version, routes));
        candidates.next().map(|(number, _)| ChangeId(number as u64))
    }
}

fn read_document(text: &str) -> Option<Document> {
    let configuration = check_configuration(text).ok()?;
    let routes = configuration
        .routes
        .iter()
        .map(|route| route.name.0.clone())
        .collect();
    Some(Document {
        version: configuration.version,
        routes,
    })
}

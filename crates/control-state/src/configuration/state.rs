//! The current configuration, and its changes.

use crate::configuration::accepted_changes::{AcceptedChanges, ChangeDigest, PastChange};
use crate::configuration::body::{apply_body, check_version};
use crate::configuration::document::ConfigurationDocument;
use crate::configuration::error::InvalidConfiguration;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, OperationResult};

/// The current configuration, in both forms, and the changes that led to it.
///
/// Invariant: `current` is the result of [`ConfigurationDocument::check`] on `document`; both are
/// empty before the first change.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationState {
    current: Configuration,
    document: ConfigurationDocument,
    accepted_changes: AcceptedChanges,
}

impl ConfigurationState {
    /// The configuration as the system reads it.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// The configuration as the operator sent it.
    pub fn document(&self) -> &ConfigurationDocument {
        &self.document
    }

    /// The changes that were accepted.
    pub fn accepted_changes(&self) -> &AcceptedChanges {
        &self.accepted_changes
    }

    /// Accepts a change whose base is the current version, and acknowledges a retry of one that was
    /// accepted.
    pub(crate) fn change(&mut self, change: &ConfigurationChange) -> OperationResult {
        let digest = ChangeDigest::of(change);
        match self.accepted_changes.find(change.if_match, &digest) {
            PastChange::Accepted => return OperationResult::Done,
            PastChange::Forgotten => return OperationResult::Refused(ErrorKind::InDoubt),
            PastChange::NotAccepted => {}
        }
        if change.if_match != self.current.version {
            return OperationResult::Refused(ErrorKind::VersionConflict);
        }
        let Ok((document, configuration)) = self.changed_by(&change.body) else {
            return OperationResult::Refused(ErrorKind::InvalidConfiguration);
        };
        self.accepted_changes.record(change.if_match, digest);
        self.document = document;
        self.current = configuration;
        OperationResult::Done
    }

    /// Applies a body to the current configuration, and checks the result completely.
    fn changed_by(
        &self,
        body: &ConfigurationBody,
    ) -> Result<(ConfigurationDocument, Configuration), InvalidConfiguration> {
        let document = apply_body(&self.document, body)?;
        check_version(&document, self.current.version)?;
        let configuration = document.check()?;
        Ok((document, configuration))
    }
}

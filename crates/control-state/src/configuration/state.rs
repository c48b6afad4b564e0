//! Changes of the configuration.

use crate::configuration::accepted_changes::{ChangeDigest, Recollection};
use crate::configuration::body::{apply_body, check_version};
use crate::configuration::document::ConfigurationDocument;
use crate::configuration::error::ConfigurationFault;
use crate::state::ControlState;
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, OperationResult};

impl ControlState {
    /// Takes a change that builds on the current version, or acknowledges one again that was taken.
    pub(crate) fn change_configuration(&mut self, change: &ConfigurationChange) -> OperationResult {
        let digest = ChangeDigest::of(change);
        match self.changes_taken.recall(change.if_match, &digest) {
            Recollection::Taken => return OperationResult::Done,
            Recollection::Forgotten => return OperationResult::Refused(ErrorKind::InDoubt),
            Recollection::NotTaken => {}
        }
        if change.if_match != self.configuration.version {
            return OperationResult::Refused(ErrorKind::VersionConflict);
        }
        let Ok((document, configuration)) = self.changed(&change.body) else {
            return OperationResult::Refused(ErrorKind::InvalidConfiguration);
        };
        self.changes_taken.remember(change.if_match, digest);
        self.document = document;
        self.configuration = configuration;
        OperationResult::Done
    }

    /// What a body makes of the current configuration, checked whole.
    fn changed(
        &self,
        body: &ConfigurationBody,
    ) -> Result<(ConfigurationDocument, Configuration), ConfigurationFault> {
        let document = apply_body(&self.document, body)?;
        check_version(&document, self.configuration.version)?;
        let configuration = document.check()?;
        Ok((document, configuration))
    }
}

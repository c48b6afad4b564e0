//! Changes of the configuration, and the memory of those that were taken.

use crate::configuration_body::{apply_body, check_version};
use crate::configuration_document::ConfigurationDocument;
use crate::configuration_fault::ConfigurationFault;
use crate::state::{ControlState, CHANGES_REMEMBERED};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, OperationResult};

/// Bytes of a digest.
const DIGEST_BYTES: usize = 8;

impl ControlState {
    /// Takes a change that builds on the current version, or acknowledges one again that was taken.
    pub(crate) fn change_configuration(&mut self, change: &ConfigurationChange) -> OperationResult {
        let digest = digest(change);
        if self.changes_taken.values().any(|taken| *taken == digest) {
            return OperationResult::Done;
        }
        if change.if_match != self.configuration.version {
            return OperationResult::Refused(ErrorKind::VersionConflict);
        }
        let Ok((document, configuration)) = self.changed(&change.body) else {
            return OperationResult::Refused(ErrorKind::InvalidConfiguration);
        };
        self.remember_change(configuration.version, digest);
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

    fn remember_change(&mut self, version: u64, digest: u64) {
        self.changes_taken.insert(version, digest);
        while self.changes_taken.len() > CHANGES_REMEMBERED {
            self.changes_taken.pop_first();
        }
    }
}

/// The digest of a change: of its kind, the version that it builds on and its body.
fn digest(change: &ConfigurationChange) -> u64 {
    let (kind, text) = match &change.body {
        ConfigurationBody::Whole(text) => (0u8, text),
        ConfigurationBody::Patch(text) => (1u8, text),
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind]).update(&change.if_match.to_le_bytes()).update(text.as_bytes());
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    u64::from_le_bytes(bytes)
}

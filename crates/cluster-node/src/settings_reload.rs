//! Reading the settings file again at SIGHUP: what is taken, and what waits for a restart, is said in the log.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_node_settings::SettingsFile;

/// Reads the file again; returns the seeds if they have changed. A file that cannot be used changes nothing.
pub(crate) fn reread_seeds(file: &mut SettingsFile) -> Option<Vec<PeerAddress>> {
    let changes = match file.reread() {
        Ok(changes) => changes,
        Err(error) => {
            let message = error.message_for_file(file.path());
            spdlog::error!("SIGHUP: nothing is taken: {message}");
            return None;
        }
    };
    spdlog::info!(
        "SIGHUP: taken: {}; waiting for a restart: {}",
        listed(&changes.taken),
        listed(&changes.deferred)
    );
    let are_new = !changes.taken.is_empty();
    are_new.then(|| file.settings().seed_internal())
}

fn listed(keys: &[String]) -> String {
    if keys.is_empty() {
        "nothing".to_owned()
    } else {
        keys.join(", ")
    }
}

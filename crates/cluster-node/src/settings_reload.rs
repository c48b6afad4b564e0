//! Reloading of the settings file on SIGHUP. The log lists the keys that take effect and those that need a restart.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_node_settings::SettingsFile;

/// Reads the file again. Returns the seeds if they have changed. An unreadable or invalid file changes nothing.
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
        list_keys(&changes.taken),
        list_keys(&changes.deferred)
    );
    let have_changed = !changes.taken.is_empty();
    have_changed.then(|| file.settings().seed_internal())
}

fn list_keys(keys: &[String]) -> String {
    if keys.is_empty() {
        "nothing".to_owned()
    } else {
        keys.join(", ")
    }
}

//! The JSON form of how a run ended.

use lupinrack_cluster_api::server::RunEnd;
use serde::Deserialize;

/// How a run ended, by the names that servers use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RunEndForm {
    Done,
    Failed,
    Stopped,
    #[serde(rename = "lapsed")]
    LeaseExpired,
    Broken,
    Alone,
    Refused,
}

impl From<RunEndForm> for RunEnd {
    fn from(form: RunEndForm) -> RunEnd {
        match form {
            RunEndForm::Done => RunEnd::Done,
            RunEndForm::Failed => RunEnd::Failed,
            RunEndForm::Stopped => RunEnd::Stopped,
            RunEndForm::LeaseExpired => RunEnd::LeaseExpired,
            RunEndForm::Broken => RunEnd::Broken,
            RunEndForm::Alone => RunEnd::Alone,
            RunEndForm::Refused => RunEnd::Refused,
        }
    }
}

//! Translation of a client's call at a front into a request to the head.

use crate::front::known_configuration::KnownConfiguration;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::request::{Request, Target};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_json::{parse_job, JobLimits, JobTarget};
use lupinrack_cluster_transport::http_server::HttpRequest;

/// Parses a client's call. The front answers that a queue does not exist only to calls that name no job, and only by a
/// configuration that was confirmed within `negative_answer_validity_ms`. The head answers everything else that depends
/// on the state of the cluster: it alone knows the jobs that were accepted on routes that were removed since.
///
/// # Errors
///
/// If the front can answer the call without the head: the error for the client.
pub fn parse_client_call(
    call: &HttpRequest,
    known: &KnownConfiguration,
    negative_answer_validity_ms: u64,
    now: Millis,
) -> Result<Request, ErrorKind> {
    let target = Target {
        host: call.host.clone(),
        path: call.path.clone(),
    };
    let job = JobTarget::from_path(&call.path).job;
    if job.is_none() && known.lacks_queue(&target, negative_answer_validity_ms, now) {
        return Err(ErrorKind::UnknownQueue);
    }
    match (call.method.as_str(), job) {
        ("POST", Some(job)) => submission(target, job, call),
        ("GET", Some(job)) => Ok(Request::ReadJob { target, job }),
        ("DELETE", Some(job)) => Ok(Request::CancelJob { target, job }),
        ("GET", None) => Ok(Request::ReadQueue { target }),
        _ => Err(ErrorKind::Malformed),
    }
}

fn submission(target: Target, job: JobId, call: &HttpRequest) -> Result<Request, ErrorKind> {
    match parse_job(&call.body, JobLimits::default()) {
        Ok(spec) => Ok(Request::SubmitJob { target, job, spec }),
        Err(fault) => {
            spdlog::debug!("job {job} is malformed: {fault}");
            Err(ErrorKind::Malformed)
        }
    }
}

//! Paths of jobs and queues.

use lupinrack_cluster_api::identity::JobId;

/// Hexadecimal digits of a job's identity.
const JOB_ID_DIGITS: usize = 16;

/// What the path of a client's request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTarget<'a> {
    /// The path up to the job's identity, or all of it.
    pub prefix: &'a str,
    /// The job; none where the path names a queue.
    pub job: Option<JobId>,
}

impl<'a> JobTarget<'a> {
    /// Splits a request's path, without its query, into a prefix and a job's identity: the last sixteen characters after
    /// the last slash, where all are hexadecimal digits. Whether the prefix is that of a queue is for the caller to see.
    pub fn from_path(path: &'a str) -> JobTarget<'a> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let segment = path.rfind('/').map_or(0, |slash| slash + 1);
        let boundary = path
            .len()
            .checked_sub(JOB_ID_DIGITS)
            .filter(|boundary| *boundary >= segment);
        let job = boundary.and_then(|at| Some((path.get(..at)?, path.get(at..)?.parse().ok()?)));
        match job {
            Some((prefix, job)) => JobTarget {
                prefix,
                job: Some(job),
            },
            None => JobTarget {
                prefix: path,
                job: None,
            },
        }
    }
}

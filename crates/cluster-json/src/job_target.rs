//! Paths of jobs and queues.

use lupinrack_cluster_api::identity::JobId;

/// The number of hexadecimal digits in the identity of a job.
const JOB_ID_DIGITS: usize = 16;

/// The target that the path of a client's request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTarget<'a> {
    /// The path up to the job's identity, or the entire path if it names no job.
    pub prefix: &'a str,
    /// The job; `None` if the path names a queue.
    pub job: Option<JobId>,
}

impl<'a> JobTarget<'a> {
    /// Splits the path of a request, without its query, into a prefix and a job's identity: the last sixteen characters
    /// after the last slash, if all of them are hexadecimal digits. The caller checks whether the prefix names a queue.
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

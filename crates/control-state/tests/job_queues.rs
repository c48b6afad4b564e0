//! The stored form of a job's queue. It is one text, as it was when only the name of the route was kept.

use lupinrack_cluster_api::configuration::QueueAddress;
use lupinrack_cluster_api::identity::QueueName;
use lupinrack_control_state::JobQueue;
use quickcheck::quickcheck;

fn bytes(queue: &JobQueue) -> Vec<u8> {
    borsh::to_vec(queue).expect("a queue can be encoded")
}

quickcheck! {
    fn every_queue_is_read_back(name: String, address: Option<(String, String)>, is_array: bool) -> bool {
        let name = if is_array { format!("[\"{name}\"]") } else { name };
        let former_address = address.map(|(host, path_prefix)| QueueAddress { host, path_prefix });
        let queue = JobQueue { name: QueueName(name), former_address };
        borsh::from_slice::<JobQueue>(&bytes(&queue)).is_ok_and(|read| read == queue)
    }

    fn a_name_alone_is_stored_as_by_versions_that_kept_no_address(name: String) -> bool {
        let name = format!("r-{name}");
        let queue = JobQueue::from(QueueName(name.clone()));
        borsh::to_vec(&name).is_ok_and(|stored| stored == bytes(&queue))
    }
}

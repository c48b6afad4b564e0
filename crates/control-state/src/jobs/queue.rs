//! The queue of a job, over changes of the configuration.
//!
//! Clients know a queue by its address, a host and a path prefix. The name of its route is the
//! operator's, who may rename routes, swap their names, move them or remove them while their jobs
//! run. So a job keeps to the address at which it was accepted: it takes over each name that the
//! route of this address gets.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, QueueAddress, Route};
use lupinrack_cluster_api::identity::{QueueName, ServiceName};
use lupinrack_cluster_api::request::Target;
use std::collections::BTreeMap;
use std::io;

/// The first character of a queue's text that is a JSON array; see [`JobQueue::to_text`].
const ARRAY_START: char = '[';

/// How a call refers to the queue of a job; a later kind is a closer reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueReference {
    /// The call was sent to where the job's route is now, or to another address below that of its
    /// queue. It finds the job if there is no closer one, but neither repeats its submission nor
    /// cancels it.
    Related,
    /// The name of the job's route was removed by a process of an earlier version, which did not keep
    /// its address.
    UnknownAddress,
    /// The call was sent below the address of the job's queue, and to no other queue.
    Below,
    /// The call was sent where the job was submitted.
    Exact,
}

/// The queue of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobQueue {
    /// The name of its route, or the last one that it had.
    pub name: QueueName,
    /// The address at which the job was accepted, if no route has had it since the route of this
    /// name was moved or removed. None while the route of this name has that address.
    pub former_address: Option<QueueAddress>,
}

impl From<QueueName> for JobQueue {
    fn from(name: QueueName) -> Self {
        Self {
            name,
            former_address: None,
        }
    }
}

impl JobQueue {
    /// How a call for a job, which the configuration directs to `route`, refers to the job's queue; none
    /// if it does not. `submitted_to` is where the job was submitted, if that is not the address of
    /// its queue.
    pub(crate) fn reference(
        &self,
        submitted_to: Option<&QueueAddress>,
        target: &Target,
        route: Option<&Route>,
        configuration: &Configuration,
    ) -> Option<QueueReference> {
        let Some(address) = self.address(configuration) else {
            return Some(QueueReference::UnknownAddress);
        };
        let called = QueueAddress::of_job_request(target);
        if called.as_ref() == Some(submitted_to.unwrap_or(&address)) {
            return Some(QueueReference::Exact);
        }
        let is_own_route = route.is_some_and(|route| route.name == self.name);
        if !address.covers(&target.host, &target.path) {
            return is_own_route.then_some(QueueReference::Related);
        }
        let is_of_longer =
            route.is_some_and(|route| route.path_prefix.len() > address.path_prefix.len());
        Some(match submitted_to {
            None if !is_of_longer => QueueReference::Below,
            _ => QueueReference::Related,
        })
    }

    /// The service to which the configuration directs the queue; none while no route has the address
    /// at which the job was accepted.
    pub(crate) fn service<'a>(&self, configuration: &'a Configuration) -> Option<&'a ServiceName> {
        let is_at_address = self.former_address.is_none();
        let route = is_at_address.then(|| configuration.queue(&self.name))?;
        route.map(|route| &route.service)
    }

    /// Whether the job's route is at the address where the job was accepted.
    pub(crate) fn is_configured(&self, configuration: &Configuration) -> bool {
        self.former_address.is_none() && configuration.queue(&self.name).is_some()
    }

    /// Whether the route of this name serves the job's queue now. If the job's own route was moved
    /// or removed, the queue is served by the route that matches its address now, if there is one.
    pub(super) fn is_served_by(&self, name: &QueueName, configuration: &Configuration) -> bool {
        let former = self.former_address.as_ref();
        let serving =
            former.and_then(|address| configuration.route(&address.host, &address.path_prefix));
        *name == *serving.map_or(&self.name, |route| &route.name)
    }

    /// The address at which the job was accepted, if it is known.
    fn address(&self, configuration: &Configuration) -> Option<QueueAddress> {
        let of_route = || configuration.queue(&self.name).map(Route::address);
        self.former_address.clone().or_else(of_route)
    }

    /// The queue as one text: the name of the route, followed by its former address if there is
    /// one, as a JSON array. A name alone is written as it is, which is the form of versions that
    /// did not keep addresses.
    fn to_text(&self) -> String {
        let name = self.name.0.as_str();
        let array = |texts: &[&str]| serde_json::Value::from(texts.to_vec()).to_string();
        match &self.former_address {
            Some(address) => array(&[name, &address.host, &address.path_prefix]),
            None if name.starts_with(ARRAY_START) => array(&[name]),
            None => name.to_owned(),
        }
    }

    fn from_text(text: String) -> Self {
        let texts: Vec<String> = serde_json::from_str(&text).unwrap_or_default();
        match texts.as_slice() {
            [name, host, path_prefix] => Self {
                name: QueueName(name.clone()),
                former_address: Some(QueueAddress {
                    host: host.clone(),
                    path_prefix: path_prefix.clone(),
                }),
            },
            [name] => QueueName(name.clone()).into(),
            _ => QueueName(text).into(),
        }
    }
}

impl BorshSerialize for JobQueue {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        self.to_text().serialize(writer)
    }
}

impl BorshDeserialize for JobQueue {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        String::deserialize_reader(reader).map(Self::from_text)
    }
}

/// Where the routes of one configuration are in the next one.
pub(super) struct RouteMoves {
    /// The queues of jobs on routes that are no longer at their address under their name.
    moved: BTreeMap<QueueName, JobQueue>,
    /// The names of the next configuration's routes, by address.
    names: BTreeMap<QueueAddress, QueueName>,
}

impl RouteMoves {
    /// Compares two successive configurations.
    pub(super) fn between(before: &Configuration, after: &Configuration) -> Self {
        let names: BTreeMap<QueueAddress, QueueName> = after
            .routes
            .iter()
            .map(|route| (route.address(), route.name.clone()))
            .collect();
        let mut moves = Self {
            moved: BTreeMap::new(),
            names,
        };
        for route in &before.routes {
            let queue = moves.queue_at(route.address(), &route.name);
            if queue != JobQueue::from(route.name.clone()) {
                moves.moved.insert(route.name.clone(), queue);
            }
        }
        moves
    }

    /// The queue of jobs that were accepted at an address, on a route that had this name.
    fn queue_at(&self, address: QueueAddress, last_name: &QueueName) -> JobQueue {
        match self.names.get(&address) {
            Some(name) => name.clone().into(),
            None => JobQueue {
                name: last_name.clone(),
                former_address: Some(address),
            },
        }
    }

    /// Updates the queue of a job.
    pub(super) fn follow(&self, queue: &mut JobQueue) {
        if let Some(address) = &queue.former_address {
            *queue = self.queue_at(address.clone(), &queue.name);
        } else if let Some(moved) = self.moved.get(&queue.name) {
            *queue = moved.clone();
        }
    }
}

//! The names and prefixes of the queues' routes in one configuration.
//!
//! Clients call the paths below `/QUEUE/` throughout. The operator may give the route that serves them any name, any
//! prefix of these paths, and a second route with a longer prefix.

use crate::config::RouteChanges;
use crate::configuration_body::{service_of_queue, SERVICES};
use crate::workload::QUEUES;

/// The names that drawn layouts use, enough for two routes of each queue.
const NAMES: [&str; 2 * QUEUES.len()] = ["n0", "n1", "n2", "n3", "n4", "n5"];

/// A route of a queue.
pub(crate) struct QueueRoute {
    pub queue: &'static str,
    pub name: &'static str,
    pub path_prefix: String,
    pub priority: u32,
    pub service: &'static str,
}

/// The routes of all queues.
pub(crate) struct RouteLayout {
    pub routes: Vec<QueueRoute>,
    /// The services of the configuration; at least those that the routes name.
    pub services: Vec<&'static str>,
}

/// A queue, and the service to which a layout directs it.
pub(crate) type Direction = (&'static str, &'static str);

/// Which prefixes of a queue's paths have a route.
#[derive(Clone, Copy)]
enum Prefixes {
    Usual,
    Shorter,
    Longer,
    ShorterAndUsual,
}

const PREFIXES: [Prefixes; 4] = [
    Prefixes::Usual,
    Prefixes::Shorter,
    Prefixes::Longer,
    Prefixes::ShorterAndUsual,
];

impl Prefixes {
    /// The prefixes; each is a prefix of all paths of the queue's jobs.
    fn of_queue(self, queue: &str) -> Vec<String> {
        let usual = format!("/{queue}/");
        let shorter = format!("/{queue}");
        match self {
            Prefixes::Usual => vec![usual],
            Prefixes::Shorter => vec![shorter],
            Prefixes::Longer => vec![format!("{usual}0")],
            Prefixes::ShorterAndUsual => vec![shorter, usual],
        }
    }
}

impl RouteLayout {
    /// One route for each queue, with its name and its usual prefix.
    pub(crate) fn usual() -> RouteLayout {
        let queues = QUEUES.iter().enumerate();
        let routes = queues.map(|(number, (name, priority))| QueueRoute {
            queue: name,
            name,
            path_prefix: format!("/{name}/"),
            priority: *priority,
            service: service_of_queue(number),
        });
        RouteLayout {
            routes: routes.collect(),
            services: SERVICES.to_vec(),
        }
    }

    /// The usual routes, directed to the service with this number. It is the only service.
    pub(crate) fn directed_to(service: usize) -> RouteLayout {
        let service = SERVICES[service % SERVICES.len()];
        let mut layout = RouteLayout::usual();
        for route in &mut layout.routes {
            route.service = service;
        }
        layout.services = vec![service];
        layout
    }

    /// Draws the names and prefixes. Names may be those of other queues' routes in the configuration before.
    pub(crate) fn draw(rng: &mut fastrand::Rng, changes: RouteChanges) -> RouteLayout {
        let mut names = NAMES;
        rng.shuffle(&mut names);
        let mut names = names.into_iter();
        let mut routes = Vec::new();
        for (number, (queue, priority)) in QUEUES.iter().enumerate() {
            let service = match changes {
                RouteChanges::NamesAndServices => SERVICES[rng.usize(0..SERVICES.len())],
                RouteChanges::None | RouteChanges::Names => service_of_queue(number),
            };
            let prefixes = PREFIXES[rng.usize(0..PREFIXES.len())].of_queue(queue);
            routes.extend(
                prefixes
                    .into_iter()
                    .zip(&mut names)
                    .map(|(path_prefix, name)| QueueRoute {
                        queue,
                        name,
                        path_prefix,
                        priority: *priority,
                        service,
                    }),
            );
        }
        RouteLayout {
            services: services_of(&routes, changes),
            routes,
        }
    }

    /// The service of routes that belong to no queue.
    pub(crate) fn common_service(&self) -> &'static str {
        self.services[0]
    }

    /// To which service it directs each queue; a queue may be listed more than once.
    pub(crate) fn directions(&self) -> impl Iterator<Item = Direction> + '_ {
        self.routes.iter().map(|route| (route.queue, route.service))
    }

    /// Every name that a route of a layout may have.
    pub(crate) fn all_names() -> impl Iterator<Item = &'static str> {
        NAMES
            .into_iter()
            .chain(QUEUES.iter().map(|(name, _)| *name))
    }
}

/// The services of a configuration with these routes. Services that no route names are left out if changes remove services.
fn services_of(routes: &[QueueRoute], changes: RouteChanges) -> Vec<&'static str> {
    let is_kept = |service: &&str| {
        changes != RouteChanges::NamesAndServices
            || routes.iter().any(|route| route.service == *service)
    };
    SERVICES.into_iter().filter(is_kept).collect()
}

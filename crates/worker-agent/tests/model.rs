//! Runs the agent between a modelled server and modelled owners with injected faults: crashes, lost and late responses,
//! broken connections, restarts of the agent and changes of the owner. The model panics when a rule is violated.

#[path = "model/owner.rs"]
mod owner;
#[path = "model/random.rs"]
mod random;
#[path = "model/record.rs"]
mod record;
#[path = "model/responses.rs"]
mod responses;
#[path = "model/server.rs"]
mod server;
#[path = "model/world.rs"]
mod world;

use quickcheck::quickcheck;
use world::{Counts, World};

quickcheck! {
    /// No run starts twice, after its end or stop, for another incarnation, under a lower token or without a lease. No task
    /// runs on the server after the owner may conclude that it does not. All tasks end after the last fault.
    fn no_rule_is_violated_and_all_tasks_end(seed: u64) -> bool {
        World::new(seed).play();
        true
    }
}

#[test]
fn the_model_covers_every_kind_of_fault() {
    let mut sum = Counts::default();
    for seed in 0..20 {
        let counts = World::new(seed).play();
        sum.server.starts += counts.server.starts;
        sum.server.stops += counts.server.stops;
        sum.server.expired_leases += counts.server.expired_leases;
        sum.server.fenced += counts.server.fenced;
        sum.server.dropped_responses += counts.server.dropped_responses;
        sum.takeovers += counts.takeovers;
        sum.agent_restarts += counts.agent_restarts;
        sum.deregistered_without_draining += counts.deregistered_without_draining;
        sum.never_ran += counts.never_ran;
        sum.expired_leases += counts.expired_leases;
        sum.rejected_messages += counts.rejected_messages;
        sum.delayed_without_orders += counts.delayed_without_orders;
        sum.delayed_with_orders += counts.delayed_with_orders;
        sum.delayed_with_messages += counts.delayed_with_messages;
    }
    let counts = [
        ("starts", sum.server.starts),
        ("stops", sum.server.stops),
        (
            "leases that expired at the server",
            sum.server.expired_leases,
        ),
        ("responses under an old token", sum.server.fenced),
        ("dropped responses", sum.server.dropped_responses),
        ("takeovers by another owner", sum.takeovers),
        ("restarts of the agent", sum.agent_restarts),
        (
            "servers that deregistered without having drained",
            sum.deregistered_without_draining,
        ),
        ("runs that are known never to have started", sum.never_ran),
        ("leases that expired at the owner", sum.expired_leases),
        ("rejected messages", sum.rejected_messages),
        (
            "delayed responses without orders",
            sum.delayed_without_orders,
        ),
        ("delayed responses with orders", sum.delayed_with_orders),
        (
            "delayed responses during which a message of the owner arrived",
            sum.delayed_with_messages,
        ),
    ];
    for (name, count) in counts {
        println!("{name}: {count}");
        assert!(count > 0, "no {name}");
    }
}

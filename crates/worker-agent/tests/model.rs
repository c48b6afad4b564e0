//! The agent between a modelled server and modelled owners, through crashes, lost and late answers, broken connections,
//! restarts of the agent and changes of the owner. The model's parts panic where a rule is broken.

#[path = "model/answers.rs"]
mod answers;
#[path = "model/owner.rs"]
mod owner;
#[path = "model/random.rs"]
mod random;
#[path = "model/record.rs"]
mod record;
#[path = "model/server.rs"]
mod server;
#[path = "model/world.rs"]
mod world;

use quickcheck::quickcheck;
use world::{Counts, World};

quickcheck! {
    /// No run starts twice or after its end or stop, for another incarnation, under a lower token or beyond its lease; no task
    /// runs here after the owner may conclude that it does not; and all tasks end once the faults are over.
    fn every_rule_holds_and_all_tasks_end(seed: u64) -> bool {
        World::new(seed).play();
        true
    }
}

#[test]
fn the_model_plays_every_kind_of_fault() {
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
        sum.deregistered_first += counts.deregistered_first;
        sum.never_ran += counts.never_ran;
        sum.expired_leases += counts.expired_leases;
        sum.refused_messages += counts.refused_messages;
        sum.waits += counts.waits;
        sum.waits_for_orders += counts.waits_for_orders;
        sum.messages_meanwhile += counts.messages_meanwhile;
    }
    let counts = [
        ("starts", sum.server.starts),
        ("stops", sum.server.stops),
        ("lapses at the server", sum.server.expired_leases),
        ("answers under an old token", sum.server.fenced),
        ("dropped answers", sum.server.dropped_responses),
        ("changes of the owner", sum.takeovers),
        ("restarts of the agent", sum.agent_restarts),
        (
            "servers that deregistered without having drained",
            sum.deregistered_first,
        ),
        ("runs shown never to have started", sum.never_ran),
        ("lapses at the owner", sum.expired_leases),
        ("refused messages", sum.refused_messages),
        ("answers that waited in vain", sum.waits),
        (
            "answers that waited until orders came",
            sum.waits_for_orders,
        ),
        (
            "messages of the owner while an answer waited",
            sum.messages_meanwhile,
        ),
    ];
    for (name, count) in counts {
        println!("{name}: {count}");
        assert!(count > 0, "no {name}");
    }
}

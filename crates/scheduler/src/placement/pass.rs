//! One pass of placement over all demands.

use crate::placement::demand::Demand;
use crate::placement::gang::GangPlacement;
use crate::placement::planner::Planner;
use crate::placement::release::release_all;
use crate::placement::single::SinglePlacement;
use std::collections::BTreeSet;

/// What placement looks at of a step. Where one step found no capacity, no other one with the same
/// signature finds any.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Signature<'a> {
    cpu: u64,
    memory_mb: u64,
    gpu: u64,
    requires: &'a str,
    affinity: &'a str,
    priority: u32,
}

impl<'a> Signature<'a> {
    fn of(demand: &Demand<'a>) -> Signature<'a> {
        let needs = demand.step.needs;
        Signature {
            cpu: needs.cpu,
            memory_mb: needs.memory_mb,
            gpu: needs.gpu,
            requires: &demand.step.requires,
            affinity: &demand.step.affinity,
            priority: demand.job.priority,
        }
    }
}

/// Places the demands, which are in the order of their urgency, and releases from the queues what
/// fits now.
pub(crate) fn run(planner: &mut Planner<'_>, demands: &[Demand<'_>]) {
    let mut without_capacity = BTreeSet::new();
    for demand in demands {
        if demand.step.gang {
            GangPlacement::new(planner, demand).run();
            continue;
        }
        let signature = Signature::of(demand);
        if without_capacity.contains(&signature) {
            continue;
        }
        let placed_all = SinglePlacement::new(planner, demand).run();
        // With anti-affinity a step may be out of capacity that others still find.
        if !placed_all && demand.step.anti_affinity == 0 {
            without_capacity.insert(signature);
        }
    }
    release_all(planner);
}

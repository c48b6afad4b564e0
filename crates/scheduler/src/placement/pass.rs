//! One placement pass over all demands.

use crate::placement::demand::Demand;
use crate::placement::gang::GangPlacement;
use crate::placement::planner::Planner;
use crate::placement::release::release_all;
use crate::placement::single::SinglePlacement;
use std::collections::BTreeSet;

/// The properties of a step that decide where its tasks fit. If one step finds no capacity, another
/// step of the same equivalence class finds none either.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EquivalenceClass<'a> {
    cpu: u64,
    memory_mb: u64,
    gpu: u64,
    requires: &'a str,
    affinity: &'a str,
    priority: u32,
    /// Work that has to start anywhere finds capacity where other work does not look.
    must_start_anywhere: bool,
    may_use_kept_capacity: bool,
}

impl<'a> EquivalenceClass<'a> {
    fn of(planner: &Planner<'_>, demand: &Demand<'a>) -> EquivalenceClass<'a> {
        let needs = demand.step.needs;
        EquivalenceClass {
            cpu: needs.cpu,
            memory_mb: needs.memory_mb,
            gpu: needs.gpu,
            requires: &demand.step.requires,
            affinity: &demand.step.affinity,
            priority: demand.job.priority,
            must_start_anywhere: planner.must_start_anywhere(demand),
            may_use_kept_capacity: planner.kept_capacity.is_granted_to(demand.id),
        }
    }
}

/// Places the demands, which are sorted by urgency, and then releases from the queues the tasks
/// that fit now.
pub(crate) fn run(planner: &mut Planner<'_>, demands: &[Demand<'_>]) {
    let mut exhausted = BTreeSet::new();
    for demand in demands {
        if demand.step.gang {
            GangPlacement::new(planner, demand).run();
            continue;
        }
        let class = EquivalenceClass::of(planner, demand);
        if exhausted.contains(&class) {
            continue;
        }
        // With many waiting steps most find no place; a full evaluation would change nothing.
        if !planner.might_place(demand) {
            continue;
        }
        let placed_all = SinglePlacement::new(planner, demand).run();
        // A step with anti-affinity can fail to place its tasks on capacity that other steps can
        // still use.
        if !placed_all && demand.step.anti_affinity == 0 {
            exhausted.insert(class);
        }
    }
    release_all(planner);
}

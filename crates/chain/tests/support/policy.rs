//! The views that may be agreed: any that the safety rules allow, useful or not.

use super::InjectedFault;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::View;
use std::collections::BTreeSet;

/// The reports in heartbeats under the newest view, including those of processes that have ended since.
#[derive(Debug, Default)]
pub struct Claims {
    view: u64,
    complete: BTreeSet<DiskId>,
    is_caught_up: BTreeSet<DiskId>,
}

impl Claims {
    fn turn_to(&mut self, view: u64) {
        if self.view != view {
            *self = Claims {
                view,
                ..Claims::default()
            };
        }
    }

    /// Notes that a member of the newest view is complete.
    pub fn complete(&mut self, view: u64, disk: DiskId) {
        self.turn_to(view);
        self.complete.insert(disk);
    }

    /// Notes that a spare has caught up in the newest view.
    pub fn is_caught_up(&mut self, view: u64, disk: DiskId) {
        self.turn_to(view);
        self.is_caught_up.insert(disk);
    }

    /// The next view: some members of the current one, then some spares. None if no disk can be the head.
    pub fn next_view(
        &self,
        current: &View,
        usable: impl Fn(DiskId) -> bool,
        random: &mut fastrand::Rng,
        fault: InjectedFault,
    ) -> Option<View> {
        let fresh = self.view == current.number;
        let may_lead = |disk: &DiskId| {
            fault == InjectedFault::AnyHead || (fresh && self.complete.contains(disk))
        };
        let kept = current.chain.iter().copied().filter(|disk| usable(*disk));
        let mut chain: Vec<DiskId> = kept.skip_while(|disk| !may_lead(disk)).collect();
        if chain.is_empty() {
            return None;
        }
        let spares = self
            .is_caught_up
            .iter()
            .copied()
            .filter(|disk| fresh && usable(*disk));
        let mut spares: Vec<DiskId> = spares.filter(|disk| !chain.contains(disk)).collect();
        spares.retain(|disk| current.position(*disk).is_none());
        random.shuffle(&mut spares);
        chain.extend(spares);
        Some(View {
            number: current.number + 1,
            voters: Vec::new(),
            chain,
        })
    }
}

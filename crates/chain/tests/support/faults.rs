//! Faults, and the views that are agreed meanwhile.

use super::node::Node;
use super::world::{Event, World};
use super::InjectedFault;
use lupinrack_chain::ReplicaStatus;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::View;

impl World {
    fn any_node(&mut self) -> usize {
        self.random.usize(0..self.nodes.len())
    }

    pub(super) fn compact(&mut self) {
        let node = self.any_node();
        self.nodes[node].compact();
    }

    fn any_pair(&mut self) -> (DiskId, DiskId) {
        let (one, other) = (self.any_node(), self.any_node());
        (self.nodes[one].id, self.nodes[other].id)
    }

    pub(super) fn reconnect(&mut self) {
        let (from, to) = self.any_pair();
        self.network.reconnect(from, to, &mut self.random);
    }

    /// Partitions one machine from some others.
    pub(super) fn partition(&mut self) {
        let node = self.any_node();
        let until = self.now + self.random.u64(50..2500);
        let me = self.nodes[node].id;
        let others: Vec<DiskId> = self
            .nodes
            .iter()
            .map(|node| node.id)
            .filter(|id| *id != me)
            .collect();
        for other in others {
            if self.random.u8(..) < 180 {
                self.network.partition(me, other, until, &mut self.random);
                self.network.partition(other, me, until, &mut self.random);
            }
        }
    }

    pub(super) fn slow_disk(&mut self) {
        let node = self.any_node();
        self.nodes[node].disk_slow_until = self.now + self.random.u64(100..3000);
    }

    fn crash(&mut self, node: usize) {
        if self.nodes[node].chain.is_none() {
            return;
        }
        self.nodes[node].crash(&mut self.random);
        let incarnation = self.nodes[node].incarnation;
        let back = self.now + self.random.u64(1..1500);
        self.schedule(back, Event::Start { node, incarnation });
    }

    pub(super) fn crash_one(&mut self) {
        let node = self.any_node();
        self.crash(node);
    }

    /// Crashes the newest head after it has forwarded entries and before it has synced them.
    pub(super) fn crash_head(&mut self) {
        self.submit();
        let head = self.newest().head().and_then(|disk| self.position(disk));
        if let Some(head) = head {
            self.crash(head);
        }
    }

    pub(super) fn crash_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.crash(node);
        }
    }

    /// Sometimes loses as many disks as are tolerated right after an entry was committed; more often if it was the first
    /// of its view.
    pub(super) fn maybe_lose_disks(&mut self, is_first_in_view: bool) {
        let odds = if is_first_in_view { 6 } else { 200 };
        if !self.faults_ended && self.random.u32(0..odds) == 0 {
            self.lose_disks();
        }
    }

    /// Loses as many disks as are tolerated, sometimes those of the chain first, sometimes while all others lose power.
    pub(super) fn lose_disks(&mut self) {
        let mut victims: Vec<usize> = (0..self.nodes.len()).collect();
        self.random.shuffle(&mut victims);
        if self.random.bool() {
            let chain = self.newest().chain.clone();
            victims.sort_by_key(|node| !chain.contains(&self.nodes[*node].id));
        }
        victims.truncate(self.minimum_length - 1);
        if victims.is_empty() || !self.may_lose(&victims) {
            return;
        }
        for victim in victims {
            self.lose_disk(victim);
        }
        if self.random.bool() {
            self.crash_all();
        }
    }

    fn lose_disk(&mut self, victim: usize) {
        self.summary.wipes += 1;
        let incarnation = self.nodes[victim].incarnation + 1;
        self.nodes[victim] = Node::new(DiskId(self.next_disk), self.minimum_length, self.fault);
        self.nodes[victim].incarnation = incarnation;
        self.next_disk += 1;
        let back = self.now + self.random.u64(1..800);
        self.schedule(
            back,
            Event::Start {
                node: victim,
                incarnation,
            },
        );
    }

    /// Whether this loss is tolerated: the newest view has committed with all its members, or a disk is certain to remain
    /// that may be the head of the next view.
    fn may_lose(&self, victims: &[usize]) -> bool {
        let view = self.newest();
        let is_whole = view.chain.iter().all(|disk| self.position(*disk).is_some());
        let commits = self.checker.newest_view() == view.number;
        (commits && is_whole) || self.survives(victims)
    }

    /// Whether a disk remains that may be the head of the view after the newest one.
    fn survives(&self, victims: &[usize]) -> bool {
        let mut rest = (0..self.nodes.len()).filter(|node| !victims.contains(node));
        rest.any(|node| self.can_lead_next_view(&self.nodes[node]))
    }

    fn can_lead_next_view(&self, node: &Node) -> bool {
        let known = node.disk.view.number.max(1) as usize;
        let is_founder_or_complete = node.disk.replica_status() == ReplicaStatus::Complete;
        let always_member = self.views[known - 1..]
            .iter()
            .all(|view| view.position(node.id).is_some());
        is_founder_or_complete && always_member
    }

    pub(super) fn propose_any(&mut self) {
        let keep = self.random.u8(100..=255);
        let mut drawn = self.random.fork();
        let drawn = std::cell::RefCell::new(&mut drawn);
        let usable = |_: DiskId| drawn.borrow_mut().u8(..) <= keep;
        let current = self.newest().clone();
        let next = self
            .claims
            .next_view(&current, usable, &mut self.random, self.fault);
        self.adopt(next);
    }

    /// Without faults, proposes a view if the chain makes no progress.
    pub(super) fn propose_after_faults(&mut self) {
        if self.now < self.proposed_at + 1000 {
            return;
        }
        let current = self.newest().clone();
        let head = current.head().and_then(|disk| self.position(disk));
        let chain = head.and_then(|node| self.nodes[node].chain.as_ref());
        let is_ready = chain.is_some_and(|chain| chain.is_ready());
        if is_ready {
            return;
        }
        let alive: Vec<DiskId> = self.nodes.iter().map(|node| node.id).collect();
        let usable = |disk: DiskId| alive.contains(&disk);
        let next = self
            .claims
            .next_view(&current, usable, &mut self.random, self.fault);
        self.adopt(next);
    }

    /// Agrees on a view, unless only lost disks could lead the one after it, which exceeds the tolerated losses.
    fn adopt(&mut self, next: Option<View>) {
        let Some(view) = next else { return };
        self.views.push(view);
        if self.fault != InjectedFault::AnyHead && !self.survives(&[]) {
            self.views.pop();
            return;
        }
        self.proposed_at = self.now;
        for node in 0..self.nodes.len() {
            self.announce(node);
        }
    }
}

//! The node table: one [`NodeId`] for each instance name, its address, and when sends to it must stop.

use super::Clock;
use crate::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Part of the drain grace (in tenths) after which a send that is still unwritten is dropped; the rest covers
/// the way to the node and a late turn.
const GRACE_TENTHS: Micros = 9;

/// A node as discovery lists it, by name and address.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its name everywhere, also after a restart.
    pub name: String,
    /// Where this front reaches it.
    pub address: SocketAddr,
    /// What it is doing.
    pub state: NodeState,
    /// Its zone.
    pub zone: Zone,
    /// The shard it holds.
    pub shard: Shard,
    /// When it last started, on the monotonic clock; none: long ago.
    pub started: Option<Micros>,
    /// Its size against that of others.
    pub size: f64,
}

/// What a front needs to reach a node.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its number.
    pub node: NodeId,
    /// Its name.
    pub name: Arc<str>,
    /// Its address on the platform's protocol.
    pub address: SocketAddr,
    /// From this reading on nothing new may be written to it; `Micros::MAX` while it serves.
    pub stop_at: watch::Receiver<Micros>,
}

impl Target {
    /// Ends once the node may be sent nothing new.
    pub async fn stopped(&self, clock: Clock) {
        let mut stop_at = self.stop_at.clone();
        loop {
            let at = *stop_at.borrow_and_update();
            tokio::select! {
                () = tokio::time::sleep_until(clock.instant(at)), if at != Micros::MAX => return,
                changed = stop_at.changed() => if changed.is_err() { return std::future::pending().await },
            }
        }
    }
}

struct Known {
    target: Target,
    stop: watch::Sender<Micros>,
}

/// All nodes ever named to this front.
#[derive(Default)]
pub(super) struct Nodes {
    ids: HashMap<Arc<str>, usize>,
    known: Vec<Known>,
}

impl Nodes {
    /// Takes a list in and words it for the module.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        grace: Micros,
        kind: ListKind,
        list: Vec<Listing>,
    ) -> Vec<NodeEntry> {
        let mut named = vec![false; self.known.len()];
        let mut entries = Vec::with_capacity(list.len());
        let until = now + grace * GRACE_TENTHS / 10;
        for l in list {
            let at = self.place(&l);
            if let Some(n) = named.get_mut(at) {
                *n = true;
            }
            let known = &mut self.known[at];
            known.target.address = l.address;
            known.stop.send_if_modified(|stop| match l.state {
                NodeState::Ready => std::mem::replace(stop, Micros::MAX) != Micros::MAX,
                _ => std::mem::replace(stop, until.min(*stop)) > until,
            });
            entries.push(NodeEntry {
                node: known.target.node,
                state: l.state,
                zone: l.zone,
                shard: l.shard,
                started: l.started,
                size: l.size,
            });
        }
        if kind != ListKind::Delta {
            for (known, _) in self.known.iter().zip(named).filter(|(_, named)| !named) {
                known.stop.send_if_modified(|stop| std::mem::replace(stop, until.min(*stop)) > until);
            }
        }
        entries
    }

    fn place(&mut self, l: &Listing) -> usize {
        if let Some(at) = self.ids.get(l.name.as_str()) {
            return *at;
        }
        let (at, name): (usize, Arc<str>) = (self.known.len(), l.name.as_str().into());
        let (stop, stop_at) = watch::channel(Micros::MAX);
        let node = NodeId(at as u32);
        self.ids.insert(name.clone(), at);
        self.known.push(Known { target: Target { node, name, address: l.address, stop_at }, stop });
        at
    }

    pub(super) fn target(&self, node: NodeId) -> Option<Target> {
        self.known.get(node.0 as usize).map(|k| k.target.clone())
    }
}

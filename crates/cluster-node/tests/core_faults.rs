//! Faults after which a core process has to end, since its memory and its disk no longer agree.

use lupinrack_chain::{Chain, Effect, StoredState};
use lupinrack_cluster_api::chain::{ChainMessage, ReplicaReport};
use lupinrack_cluster_api::core_heartbeat::{CoreHeartbeat, HeartbeatStamp};
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_node::core::{
    CoreEffect, CoreEvent, CoreFault, CoreMachine, CoreSettings, Moment,
};
use lupinrack_control_store::Recovered;
use std::net::{Ipv4Addr, SocketAddrV4};

const NOW: Moment = Moment {
    now: Millis(1_000),
    wall: WallMillis(1_700_000_000_000),
};
/// The tail of the view.
const TAIL: u8 = 2;
/// The process under test, a spare.
const SPARE: u8 = 3;

fn voter(number: u8) -> Voter {
    let address = PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000));
    Voter {
        disk: DiskId(u64::from(number)),
        address,
        zone: String::new(),
    }
}

fn view() -> View {
    View {
        number: 1,
        voters: (1..=3).map(voter).collect(),
        chain: vec![DiskId(1), DiskId(2)],
    }
}

/// A spare that knows the view, and the connection to the tail.
fn spare() -> CoreMachine {
    let settings = CoreSettings {
        seeds: (1..=3).map(|number| voter(number).address).collect(),
        tolerated_losses: 1,
        ..CoreSettings::with_defaults(voter(SPARE), 3)
    };
    let recovered = Recovered {
        disk: Some(voter(SPARE).disk),
        ..Recovered::default()
    };
    let mut spare = CoreMachine::new(settings, recovered, NOW).expect("an empty disk can be read");
    let tail = voter(TAIL);
    let hello = Hello {
        address: tail.address,
        role: Role::Core,
        zone: String::new(),
        incarnation: 2,
        disk: Some(tail.disk),
    };
    frame(&mut spare, Frame::Hello(hello));
    let replica = ReplicaReport::default();
    let (view, disk_healthy, draining) = (view(), true, false);
    frame(
        &mut spare,
        Frame::Heartbeat(CoreHeartbeat {
            voter: tail,
            view,
            disk_healthy,
            draining,
            replica,
            applied: 0,
            sent_at: Millis(1),
            acknowledges: Some(HeartbeatStamp {
                incarnation: 3,
                sent_at: NOW.now,
            }),
            linked: Vec::new(),
        }),
    );
    spare
}

/// Passes an event and the syncs that follow from it to the machine; returns the other effects.
fn receive(machine: &mut CoreMachine, event: CoreEvent) -> Vec<CoreEffect> {
    let mut events = vec![event];
    let mut seen = Vec::new();
    while !events.is_empty() {
        events
            .drain(..)
            .for_each(|event| machine.receive(event, NOW));
        for effect in machine.take_effects(NOW) {
            match effect {
                CoreEffect::Write { number, .. } => events.push(CoreEvent::Synced(vec![number])),
                effect => seen.push(effect),
            }
        }
    }
    seen
}

fn frame(machine: &mut CoreMachine, frame: Frame) -> Vec<CoreEffect> {
    let from = voter(TAIL).address;
    receive(
        machine,
        CoreEvent::Frame {
            from,
            incarnation: 2,
            connection: 2,
            frame,
        },
    )
}

/// The chunks of a snapshot with these bytes, as a tail would send them.
fn chunks(bytes: Vec<u8>) -> Vec<ChainMessage> {
    let stored = StoredState {
        snapshot_index: 5,
        ..StoredState::default()
    };
    let mut tail = Chain::new(voter(TAIL).disk, 1, stored);
    tail.adopt_view(view(), NOW.now);
    let join = ChainMessage::Join {
        view: 1,
        disk: voter(SPARE).disk,
        have: Some(0),
    };
    tail.receive(voter(SPARE).disk, join, NOW.now);
    let effects = tail.provide_snapshot(5, bytes, NOW.now);
    let chunk = |effect| match effect {
        Effect::Send(_, message @ ChainMessage::Snapshot { .. }) => Some(message),
        _ => None,
    };
    effects.into_iter().filter_map(chunk).collect()
}

#[test]
fn an_unreadable_snapshot_ends_the_process() {
    let mut spare = spare();
    assert_eq!(spare.fault(), None);
    for chunk in chunks(vec![0xff; 100]) {
        frame(&mut spare, Frame::Chain(chunk));
    }
    assert_eq!(spare.fault(), Some(CoreFault::UnreadableSnapshot));
    assert_eq!(
        receive(&mut spare, CoreEvent::Tick),
        [],
        "nothing is sent after the fault"
    );
}

#[test]
fn a_readable_snapshot_does_not_end_the_process() {
    let mut spare = spare();
    let state = lupinrack_control_state::ControlState::default()
        .to_bytes()
        .expect("encodes");
    let mut sent = Vec::new();
    for chunk in chunks(state) {
        sent.extend(frame(&mut spare, Frame::Chain(chunk)));
    }
    assert_eq!(spare.fault(), None);
    assert!(!sent.is_empty(), "the chunks are answered");
}

#[test]
fn a_rejected_write_ends_the_process() {
    let mut spare = spare();
    receive(&mut spare, CoreEvent::WriteFailed);
    assert_eq!(
        spare.fault(),
        None,
        "a failed write is retried and is no fault"
    );
    receive(&mut spare, CoreEvent::WriteRejected);
    assert_eq!(spare.fault(), Some(CoreFault::WriteRejected));
    assert_eq!(
        receive(&mut spare, CoreEvent::Tick),
        [],
        "nothing is sent after the fault"
    );
}

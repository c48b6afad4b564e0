//! A core process that restarts with the vote and the view that its previous incarnation wrote to its disk.

mod common;

use common::{core, disk, view};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::Request;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_node::control_api::HeadCall;
use lupinrack_cluster_node::core::state_size::max_admitted_bytes;
use lupinrack_cluster_node::core::{
    ByteLimits, CoreEffect, CoreEvent, CoreMachine, CoreSettings, Moment,
};
use lupinrack_control_store::Recovered;
use lupinrack_scheduler::SchedulerSettings;
use lupinrack_view_agreement::VoteState;
use tokio::sync::oneshot;

/// The process under test, a voter outside the chain.
const TESTED: u8 = 3;

fn moment(now: u64) -> Moment {
    Moment {
        now: Millis(now),
        wall: WallMillis(1_700_000_000_000 + now),
    }
}

/// The content of a disk whose vote records one view as agreed, and whose replica adopted another one.
fn recovered(agreed: View, adopted: &View) -> Recovered {
    let vote = VoteState {
        agreed,
        ..VoteState::default()
    };
    Recovered {
        disk: Some(disk(TESTED)),
        vote: borsh::to_vec(&vote).expect("a vote can be written"),
        view: borsh::to_vec(adopted).expect("a view can be written"),
        ..Recovered::default()
    }
}

fn restarted(recovered: Recovered) -> CoreMachine {
    let settings = CoreSettings {
        name: "core".to_owned(),
        me: Voter {
            disk: disk(TESTED),
            address: core(TESTED),
            zone: "north".to_owned(),
        },
        incarnation: 7,
        seeds: (1..=3).map(core).collect(),
        founders: Vec::new(),
        tolerated_losses: 1,
        catch_up_ms: 4_000,
        grace_ms: 6_000,
        remember_ms: 10_000,
        scheduler: SchedulerSettings::default(),
        sync_ms: 0,
        log_bytes: ByteLimits::default(),
        admitted_state_bytes: max_admitted_bytes(0, 0),
    };
    CoreMachine::new(settings, recovered, moment(1)).expect("the disk can be read")
}

/// Passes an event to a machine whose writes are synced at once; returns the processes to which it sent calls.
fn calls_sent(machine: &mut CoreMachine, event: CoreEvent) -> Vec<PeerAddress> {
    let mut called = Vec::new();
    let mut events = vec![event];
    while !events.is_empty() {
        events
            .drain(..)
            .for_each(|event| machine.receive(event, moment(2)));
        for effect in machine.take_effects(moment(2)) {
            match effect {
                CoreEffect::Send {
                    to,
                    frame: Frame::Request { .. },
                } => called.push(to),
                CoreEffect::Write { number, .. } => events.push(CoreEvent::Synced(vec![number])),
                _ => {}
            }
        }
    }
    called
}

/// The processes to which a restarted process forwards an operator's call.
fn call_targets(recovered: Recovered) -> Vec<PeerAddress> {
    let mut machine = restarted(recovered);
    let mut called = calls_sent(&mut machine, CoreEvent::Tick);
    let (reply_to, _reply) = oneshot::channel();
    let call = HeadCall {
        request: Request::ReadConfiguration,
        reply_to,
        remaining_ms: 1_000,
    };
    called.extend(calls_sent(&mut machine, CoreEvent::Call(call)));
    called
}

#[test]
fn a_process_restarted_in_an_unchanged_view_forwards_calls() {
    let unchanged = view(4, &[1, 2, 3], &[1, 2]);
    assert_eq!(
        call_targets(recovered(unchanged.clone(), &unchanged)),
        [core(1)]
    );
}

#[test]
fn a_view_agreed_but_not_adopted_before_a_crash_is_adopted_after_it() {
    let (adopted, agreed) = (view(4, &[1, 2, 3], &[1, 2]), view(5, &[1, 2, 3], &[2, 1]));
    assert_eq!(call_targets(recovered(agreed, &adopted)), [core(2)]);
}

#[test]
fn a_view_adopted_before_the_vote_recorded_it_is_adopted_again() {
    let (adopted, agreed) = (view(5, &[1, 2, 3], &[2, 1]), view(4, &[1, 2, 3], &[1, 2]));
    assert_eq!(call_targets(recovered(agreed, &adopted)), [core(2)]);
}

//! Bindings to agents: which incarnations are over because a later one is bound to the same agent.

mod common;

use common::*;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{FencingToken, PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_control_state::ControlState;
use std::net::{Ipv4Addr, SocketAddrV4};

const TOKEN: FencingToken = FencingToken(5);

fn incarnation(name: &str) -> ServerId {
    ServerId(name.to_owned())
}

fn agent(machine: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine), 7_000))
}

fn bind(server: &str, machine: u8, token: FencingToken) -> Operation {
    Operation::RecordServer {
        service: ServiceName("one".to_owned()),
        token,
        server: incarnation(server),
        agent: agent(machine),
    }
}

fn record(state: &mut ControlState, server: &str, machine: u8) {
    assert_eq!(
        state.apply(&bind(server, machine, TOKEN)),
        OperationResult::Done
    );
}

fn earlier(state: &ControlState, server: &str) -> Vec<String> {
    state
        .bindings()
        .earlier_incarnations(&incarnation(server))
        .into_iter()
        .map(|id| id.0.clone())
        .collect()
}

#[test]
fn a_later_incarnation_with_the_same_agent_follows_the_earlier_one() {
    let mut state = state_with(vec![step(1)]);
    assert!(try_start(&mut state, task(0, 0, 0), 1));
    let first = start(task(0, 0, 0), 1).server.0;
    record(&mut state, &first, 1);
    record(&mut state, "other", 2);
    record(&mut state, "second", 1);
    assert_eq!(earlier(&state, "second"), vec![first.clone()]);
    assert!(
        earlier(&state, &first).is_empty(),
        "a late message of the first incarnation ends nothing"
    );
    assert!(earlier(&state, "other").is_empty());
    assert!(earlier(&state, "unknown").is_empty());
}

#[test]
fn an_incarnation_that_is_recorded_again_keeps_its_binding() {
    let mut state = state_with(vec![step(1)]);
    assert!(try_start(&mut state, task(0, 0, 0), 1));
    let first = start(task(0, 0, 0), 1).server.0;
    record(&mut state, &first, 1);
    record(&mut state, "second", 1);
    record(&mut state, &first, 1);
    assert_eq!(earlier(&state, "second"), vec![first.clone()]);
    assert!(earlier(&state, &first).is_empty());
}

#[test]
fn bindings_without_runs_are_removed_once_a_later_incarnation_is_bound() {
    let mut state = state_with(vec![step(1)]);
    for number in 0..50 {
        record(&mut state, &format!("incarnation-{number}"), 1);
    }
    assert!(
        state.bindings().len() <= 2,
        "{} bindings are remembered",
        state.bindings().len()
    );
}

#[test]
fn an_old_token_records_nothing() {
    let mut state = state_with(vec![step(1)]);
    state.apply(&take("one", TOKEN));
    let refused = state.apply(&bind("first", 1, FencingToken(TOKEN.0 - 1)));
    assert_eq!(refused, OperationResult::Refused(ErrorKind::Fenced));
    assert!(state.bindings().is_empty());
}

//! Three voters and two proposals in a model checker: messages are delivered in any order, again, or never; a process
//! may lose what it did not sync.

mod common;

use common::{address, view, voter};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::AgreementMessage;
use lupinrack_view_agreement::{Agreement, Effect, VoteState};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: u8 = 3;
/// Longer than every delay between two ballots.
const BALLOT_MS: u64 = 2000;

/// What a process may do wrong, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// A vote is sent before it is on disk, so that a crash may lose the newest one.
    AnswersBeforeSync,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    /// What is on disk for certain.
    stored: VoteState,
    agreement: Agreement,
    lives: u64,
    ballots: u8,
}

/// A message on its way, encoded so that it has an order and a hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    from: u8,
    to: u8,
    message: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    machines: Vec<Machine>,
    /// Everything that was ever sent: what is here may arrive at any time, and again.
    sent: BTreeSet<Envelope>,
    /// The encoded views that were taken for agreed, by number.
    agreed: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    BeginBallot(u8),
    Deliver(Envelope),
    Crash(u8),
}

struct System {
    fault: PlantedFault,
    /// How many ballots each machine may begin.
    ballots: [u8; MACHINES as usize],
    crashes: u8,
}

fn index_of(wanted: PeerAddress) -> Option<u8> {
    (0..MACHINES).find(|index| address(*index) == wanted)
}

fn encode(message: &AgreementMessage) -> Vec<u8> {
    borsh::to_vec(message).expect("a message can be encoded")
}

fn founded() -> View {
    view(1, &[0, 1, 2], &[0, 1])
}

/// What a machine wants: each another view, one of them with fewer voters.
fn wanted_by(machine: u8) -> View {
    match machine {
        0 => view(2, &[0, 1, 2], &[0]),
        1 => view(2, &[1, 2], &[1]),
        _ => view(2, &[0, 1, 2], &[2, 0]),
    }
}

fn boot(index: u8, stored: VoteState, lives: u64) -> Agreement {
    Agreement::new(voter(index), lives * 10 + u64::from(index), stored, Vec::new())
}

impl System {
    /// Does what a process asks for. Its messages to itself arrive at once, and its writes are synced at once: a sync
    /// that takes time is no different from messages that do.
    fn perform(&self, state: &mut State, index: u8, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(state, index, to, message),
                Effect::Persist { vote, then } => {
                    self.persist(state, index, vote);
                    for (to, message) in then {
                        self.send(state, index, to, message);
                    }
                }
                Effect::Agreed(view) => {
                    let bytes = borsh::to_vec(&view).expect("a view can be encoded");
                    state.agreed.entry(view.number).or_default().insert(bytes);
                }
            }
        }
    }

    fn persist(&self, state: &mut State, index: u8, vote: VoteState) {
        if self.fault == PlantedFault::None {
            state.machines[usize::from(index)].stored = vote;
        }
    }

    /// Sends what can matter: everybody knows view 1 here.
    fn send(&self, state: &mut State, from: u8, to: PeerAddress, message: AgreementMessage) {
        let known = matches!(&message, AgreementMessage::Agreed { view } if view.number <= 1);
        let Some(to) = index_of(to).filter(|_| !known) else { return };
        if to == from {
            self.receive(state, from, to, message);
        } else {
            state.sent.insert(Envelope { from, to, message: encode(&message) });
        }
    }

    fn receive(&self, state: &mut State, from: u8, to: u8, message: AgreementMessage) {
        let machine = &mut state.machines[usize::from(to)];
        let effects = machine.agreement.receive(address(from), message, Millis(0));
        self.perform(state, to, effects);
    }
}

/// Begins a ballot: the first by a proposal, later ones by letting the time of the one before run out.
fn begin_ballot(machine: &mut Machine, index: u8) -> Vec<Effect> {
    let now = Millis(u64::from(machine.ballots) * 3 * BALLOT_MS);
    machine.ballots += 1;
    let mut effects = machine.agreement.propose(wanted_by(index), now);
    if effects.is_empty() {
        effects = machine.agreement.tick(now.plus(BALLOT_MS));
    }
    if effects.is_empty() {
        effects = machine.agreement.tick(now.plus(2 * BALLOT_MS));
    }
    effects
}

impl Model for System {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let stored = VoteState { agreed: founded(), ..VoteState::default() };
        let agreement = |index| boot(index, stored.clone(), 0);
        let machine =
            |index| Machine { stored: stored.clone(), agreement: agreement(index), lives: 0, ballots: 0 };
        let machines = (0..MACHINES).map(machine).collect();
        vec![State { machines, sent: BTreeSet::new(), agreed: BTreeMap::new(), crashes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for index in 0..MACHINES {
            if state.machines[usize::from(index)].ballots < self.ballots[usize::from(index)] {
                actions.push(Action::BeginBallot(index));
            }
            if state.crashes < self.crashes {
                actions.push(Action::Crash(index));
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Deliver));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::BeginBallot(index) => {
                let effects = begin_ballot(&mut state.machines[usize::from(index)], index);
                self.perform(&mut state, index, effects);
            }
            Action::Deliver(Envelope { from, to, message }) => {
                self.receive(&mut state, from, to, borsh::from_slice(&message).ok()?);
            }
            Action::Crash(index) => {
                state.crashes += 1;
                let machine = &mut state.machines[usize::from(index)];
                machine.lives += 1;
                machine.agreement = boot(index, machine.stored.clone(), machine.lives);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view for each number", |_, state: &State| {
                state.agreed.values().all(|views| views.len() <= 1)
            }),
            Property::sometimes("a view is agreed", |_, state: &State| !state.agreed.is_empty()),
        ]
    }
}

/// Explores everything, or up to a depth, and prints how much that was.
fn explore(system: System, depth: usize) -> impl Checker<System> {
    let checker = system.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker
}

#[test]
fn two_proposers_agree_on_one_view() {
    let system = System { fault: PlantedFault::None, ballots: [1, 1, 0], crashes: 0 };
    explore(system, 14).assert_properties();
}

#[test]
fn two_proposers_agree_on_one_view_through_a_crash() {
    let system = System { fault: PlantedFault::None, ballots: [1, 1, 0], crashes: 1 };
    explore(system, 11).assert_properties();
}

#[test]
fn a_second_ballot_agrees_on_what_the_first_may_have_chosen() {
    let system = System { fault: PlantedFault::None, ballots: [1, 2, 0], crashes: 0 };
    explore(system, 11).assert_properties();
}

#[test]
fn an_answer_before_the_sync_is_found() {
    let system = System { fault: PlantedFault::AnswersBeforeSync, ballots: [1, 1, 0], crashes: 1 };
    explore(system, 14).assert_any_discovery("one view for each number");
}

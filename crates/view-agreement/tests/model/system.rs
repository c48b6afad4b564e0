//! The model of processes and messages that the model checker explores.

use crate::common::{address, voter};
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_view_agreement::{Agreement, Effect, VoteState};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};

/// Longer than every delay between two attempts, in milliseconds.
const MAX_ATTEMPT_DELAY_MS: u64 = 2000;
/// Proposals of each remaining machine within which an agreement that makes progress decides.
const MAX_PROPOSALS_UNTIL_AGREED: u64 = 6;

/// The property that each number has one view.
pub const TWO_VIEWS: &str = "one view for each number";
/// The property that agreed views are on the disks of majorities.
pub const NOT_ON_DISKS: &str = "agreed views are on disks";
/// The property that the remaining machines can agree on a next view.
pub const NO_PROGRESS: &str = "the agreement makes progress";

/// A fault that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// A vote is sent before it is on disk, so that a crash may lose the newest one.
    AnswersBeforeSync,
    /// A view counts as agreed without a majority of the voters before it: a voter is removed without an overlap.
    CountsNewVotersOnly,
    /// More machines are lost than a majority tolerates.
    LosesTooMany,
}

/// How an answer reaches the process that sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// The answer is delivered like any other message.
    Delayed,
    /// The answer is delivered at once or never. It changes only the proposal that it is for, so its delay has no effect
    /// that a delay of the messages sent because of it does not have too.
    Immediate,
}

/// The system that is explored.
#[derive(Clone)]
pub struct Setup {
    /// View 1, which every machine knows.
    pub founded: View,
    /// The number of machines: the voters, followed by new disks.
    pub machines: u8,
    /// View 2 as each machine proposes it.
    pub wanted: fn(u8) -> View,
    /// How many proposals each machine may start; none for machines that are not listed.
    pub attempts: &'static [u8],
    /// How many processes may crash and restart on their disks.
    pub crashes: u8,
    /// How many machines may be lost permanently, with their disks, at any time. For the agreed views this equals
    /// messages that are never delivered. Whether the other machines make progress is checked in every state, for all
    /// such losses.
    pub losses: u32,
    /// A draining machine, which may end at any time in addition to those losses.
    pub draining: Option<u8>,
    pub answers: Answers,
    pub fault: InjectedFault,
    /// A cache of outcomes: whether the remaining machines make progress, by a hash of their disks.
    pub known_outcomes: Arc<Mutex<HashMap<u64, bool>>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    /// The synced vote on the disk.
    stored: VoteState,
    agreement: Agreement,
    incarnations: u64,
    attempts: u8,
}

/// A message in flight, encoded so that it has an order and a hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Envelope {
    from: u8,
    to: u8,
    message: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    machines: Vec<Machine>,
    /// All messages ever sent; each may arrive at any time and repeatedly.
    sent: BTreeSet<Envelope>,
    /// The encoded views that any machine considers agreed, by number.
    agreed: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    /// The machines whose disks ever held a view as accepted, by encoded view.
    holders_by_view: BTreeMap<Vec<u8>, BTreeSet<u8>>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    BeginProposal(u8),
    Deliver(Envelope),
    /// Delivers a message whose answer is lost.
    DeliverUnanswered(Envelope),
    Crash(u8),
}

/// The process that sent a request and is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Requester {
    index: u8,
    receives_answer: bool,
}

fn encode_message(message: &AgreementMessage) -> Vec<u8> {
    borsh::to_vec(message).expect("a message can be encoded")
}

fn encode_view(view: &View) -> Vec<u8> {
    borsh::to_vec(view).expect("a view can be encoded")
}

fn decode_view(bytes: &[u8]) -> View {
    borsh::from_slice(bytes).expect("an encoded view can be decoded")
}

fn boot(index: u8, stored: VoteState, incarnations: u64) -> Agreement {
    Agreement::new(
        voter(index),
        incarnations * 10 + u64::from(index),
        stored,
        Vec::new(),
    )
}

/// Whether these machines, on their first disks, are a majority of a view's voters.
fn has_majority(machines: &BTreeSet<u8>, view: &View) -> bool {
    let count = view
        .voters
        .iter()
        .filter(|voter| machines.contains(&(voter.disk.0 as u8)))
        .count();
    count * 2 > view.voters.len()
}

impl Setup {
    fn index_of(&self, wanted: PeerAddress) -> Option<u8> {
        (0..self.machines).find(|index| address(*index) == wanted)
    }

    fn first_state(&self) -> State {
        let stored = VoteState {
            agreed: self.founded.clone(),
            ..VoteState::default()
        };
        let machine = |index| Machine {
            stored: stored.clone(),
            agreement: boot(index, stored.clone(), 0),
            incarnations: 0,
            attempts: 0,
        };
        State {
            machines: (0..self.machines).map(machine).collect(),
            sent: BTreeSet::new(),
            agreed: BTreeMap::new(),
            holders_by_view: BTreeMap::new(),
            crashes: 0,
        }
    }

    /// Carries out the effects of a process. Its messages to itself arrive at once, and its writes are synced at once: a
    /// slow sync has the same effect as delayed messages.
    fn perform(
        &self,
        state: &mut State,
        index: u8,
        effects: Vec<Effect>,
        requester: Option<Requester>,
    ) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(state, index, (to, message), requester),
                Effect::Persist { vote, then } => {
                    self.persist(state, index, vote);
                    for message in then {
                        self.send(state, index, message, requester);
                    }
                }
                Effect::Agreed(view) => {
                    state
                        .agreed
                        .entry(view.number)
                        .or_default()
                        .insert(encode_view(&view));
                }
            }
        }
    }

    fn persist(&self, state: &mut State, index: u8, vote: VoteState) {
        if self.fault == InjectedFault::AnswersBeforeSync {
            return;
        }
        if vote.accepted.number > 1 {
            state
                .holders_by_view
                .entry(encode_view(&vote.accepted))
                .or_default()
                .insert(index);
        }
        state.machines[usize::from(index)].stored = vote;
    }

    /// Sends a message, unless it only announces view 1, which every machine knows.
    fn send(
        &self,
        state: &mut State,
        from: u8,
        (to, message): (PeerAddress, AgreementMessage),
        requester: Option<Requester>,
    ) {
        let known = matches!(&message, AgreementMessage::Agreed { view } if view.number <= 1);
        let Some(to) = self.index_of(to).filter(|_| !known) else {
            return;
        };
        if to == from {
            return self.receive(state, from, to, message, None);
        }
        match requester.filter(|requester| requester.index == to) {
            Some(Requester {
                receives_answer: true,
                ..
            }) => self.receive(state, from, to, message, None),
            Some(Requester {
                receives_answer: false,
                ..
            }) => {}
            None => {
                state.sent.insert(Envelope {
                    from,
                    to,
                    message: encode_message(&message),
                });
            }
        }
    }

    fn receive(
        &self,
        state: &mut State,
        from: u8,
        to: u8,
        message: AgreementMessage,
        requester: Option<Requester>,
    ) {
        if self.fault == InjectedFault::CountsNewVotersOnly {
            self.forge_old_votes(state, to, &message);
        }
        let machine = &mut state.machines[usize::from(to)];
        let effects = machine.agreement.receive(address(from), message, Millis(0));
        self.perform(state, to, effects, requester);
    }

    /// Forges votes of the voters before a view whenever one of its own voters has accepted it.
    fn forge_old_votes(&self, state: &mut State, to: u8, message: &AgreementMessage) {
        let AgreementMessage::Accepted {
            proposal_number, ..
        } = message
        else {
            return;
        };
        for old in &self.founded.voters {
            let forged = AgreementMessage::Accepted {
                proposal_number: *proposal_number,
                disk: old.disk,
            };
            let new = (self.wanted)(to);
            if new.voter(old.disk).is_none() {
                let machine = &mut state.machines[usize::from(to)];
                let effects = machine.agreement.receive(old.address, forged, Millis(0));
                self.perform(state, to, effects, None);
            }
        }
    }

    fn deliver(&self, state: &mut State, envelope: &Envelope, receives_answer: bool) -> Option<()> {
        let Envelope { from, to, message } = envelope;
        let message = borsh::from_slice(message).ok()?;
        let requester = match self.answers {
            Answers::Delayed => None,
            Answers::Immediate => Some(Requester {
                index: *from,
                receives_answer,
            }),
        };
        self.receive(state, *from, *to, message, requester);
        Some(())
    }

    fn may_propose(&self, state: &State, index: u8) -> bool {
        let max_attempts = self
            .attempts
            .get(usize::from(index))
            .copied()
            .unwrap_or_default();
        state.machines[usize::from(index)].attempts < max_attempts
    }

    /// Starts a proposal: the first by a call, later ones by letting the attempt before time out.
    fn begin_proposal(&self, state: &mut State, index: u8) {
        let machine = &mut state.machines[usize::from(index)];
        let now = Millis(u64::from(machine.attempts) * 3 * MAX_ATTEMPT_DELAY_MS);
        machine.attempts += 1;
        let mut effects = machine.agreement.propose((self.wanted)(index), now);
        if effects.is_empty() {
            effects = machine.agreement.tick(now.plus(MAX_ATTEMPT_DELAY_MS));
        }
        if effects.is_empty() {
            effects = machine.agreement.tick(now.plus(2 * MAX_ATTEMPT_DELAY_MS));
        }
        self.perform(state, index, effects, None);
    }

    /// Whether every agreed view is or was on the disks of majorities of the voters before it and of its own voters.
    fn is_agreed_on_disks(&self, state: &State) -> bool {
        state.agreed.values().flatten().all(|encoded| {
            let nobody = BTreeSet::new();
            let holders = state.holders_by_view.get(encoded).unwrap_or(&nobody);
            has_majority(holders, &self.founded) && has_majority(holders, &decode_view(encoded))
        })
    }

    /// All sets of machines that may remain after the losses and the end of the draining machine.
    fn remaining_sets(&self) -> impl Iterator<Item = BTreeSet<u8>> + '_ {
        let sets = (0..1_u32 << self.machines)
            .map(|set| (0..self.machines).filter(move |i| set >> i & 1 == 1));
        sets.map(Iterator::collect).filter(|left: &BTreeSet<u8>| {
            let ended = self.draining.is_some_and(|index| !left.contains(&index));
            let missing = u32::from(self.machines) - left.len() as u32;
            missing <= self.losses + u32::from(ended)
        })
    }

    /// Whether the remaining machines include majorities of the voters and of those of every view that may have been
    /// proposed.
    fn are_sufficient(&self, left: &BTreeSet<u8>) -> bool {
        let proposed = (0..self.attempts.len() as u8).map(|index| (self.wanted)(index));
        let enough = proposed
            .chain([self.founded.clone()])
            .all(|view| has_majority(left, &view));
        enough || self.fault == InjectedFault::LosesTooMany
    }

    /// Whether, for every possible loss from this state, sufficient remaining machines agree on a next view once no
    /// further fault occurs.
    fn makes_progress(&self, state: &State) -> bool {
        let remaining_sets = self
            .remaining_sets()
            .filter(|left| self.are_sufficient(left));
        remaining_sets
            .into_iter()
            .all(|left| self.is_decided_by(state, &left))
    }

    /// Whether the remaining machines agree on a next view if all restart from their disks and propose one after another
    /// without loss of messages.
    fn is_decided_by(&self, state: &State, left: &BTreeSet<u8>) -> bool {
        let mut hasher = DefaultHasher::new();
        left.hash(&mut hasher);
        for index in left {
            let machine = &state.machines[usize::from(*index)];
            (&machine.stored, machine.incarnations).hash(&mut hasher);
        }
        let key = hasher.finish();
        let known = self
            .known_outcomes
            .lock()
            .expect("no test panicked with it")
            .get(&key)
            .copied();
        known.unwrap_or_else(|| {
            let outcome = self.propose_until_agreed(state, left);
            self.known_outcomes
                .lock()
                .expect("no test panicked with it")
                .insert(key, outcome);
            outcome
        })
    }

    fn propose_until_agreed(&self, state: &State, left: &BTreeSet<u8>) -> bool {
        let delayed_setup = Setup {
            answers: Answers::Delayed,
            ..self.clone()
        };
        let mut state = State {
            sent: BTreeSet::new(),
            ..state.clone()
        };
        for (index, machine) in state.machines.iter_mut().enumerate() {
            machine.incarnations += 1;
            machine.agreement = boot(index as u8, machine.stored.clone(), machine.incarnations);
        }
        for (term, index) in
            (0..MAX_PROPOSALS_UNTIL_AGREED).flat_map(|term| left.iter().map(move |i| (term, *i)))
        {
            let machine = &mut state.machines[usize::from(index)];
            let now = Millis((term + 1) * 3 * MAX_ATTEMPT_DELAY_MS);
            let mut effects = machine.agreement.propose((self.wanted)(index), now);
            effects.extend(machine.agreement.tick(now.plus(MAX_ATTEMPT_DELAY_MS)));
            delayed_setup.perform(&mut state, index, effects, None);
            while let Some(envelope) = state.sent.pop_first() {
                if left.contains(&envelope.to) {
                    delayed_setup.deliver(&mut state, &envelope, true);
                }
            }
            if state.machines[usize::from(index)]
                .agreement
                .current()
                .number
                > 1
            {
                return true;
            }
        }
        false
    }
}

impl Model for Setup {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.first_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for index in 0..self.machines {
            if self.may_propose(state, index) {
                actions.push(Action::BeginProposal(index));
            }
            if state.crashes < self.crashes {
                actions.push(Action::Crash(index));
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Deliver));
        if self.answers == Answers::Immediate {
            actions.extend(state.sent.iter().cloned().map(Action::DeliverUnanswered));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::BeginProposal(index) => self.begin_proposal(&mut state, index),
            Action::Deliver(envelope) => self.deliver(&mut state, &envelope, true)?,
            Action::DeliverUnanswered(envelope) => self.deliver(&mut state, &envelope, false)?,
            Action::Crash(index) => {
                state.crashes += 1;
                let machine = &mut state.machines[usize::from(index)];
                machine.incarnations += 1;
                machine.agreement = boot(index, machine.stored.clone(), machine.incarnations);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(TWO_VIEWS, |_, state: &State| {
                state.agreed.values().all(|views| views.len() <= 1)
            }),
            Property::always(NOT_ON_DISKS, |setup: &Setup, state: &State| {
                setup.fault == InjectedFault::AnswersBeforeSync || setup.is_agreed_on_disks(state)
            }),
            Property::always(NO_PROGRESS, |setup: &Setup, state: &State| {
                let loses = setup.losses > 0 || setup.draining.is_some();
                !loses || setup.makes_progress(state)
            }),
            Property::sometimes("a view is agreed", |_, state: &State| {
                !state.agreed.is_empty()
            }),
        ]
    }
}

/// Explores all states, or those up to a depth, or until one of these properties is violated, and prints how many it
/// explored.
pub fn explore(setup: Setup, depth: Option<usize>, until: &[&'static str]) -> impl Checker<Setup> {
    let finish = match until {
        [] => HasDiscoveries::AnyFailures,
        broken => HasDiscoveries::AllOf(broken.iter().copied().collect()),
    };
    let checker = setup.checker().threads(2).finish_when(finish);
    let checker = match depth {
        Some(depth) => checker.target_max_depth(depth),
        None => checker,
    };
    let checker = checker.spawn_bfs().join();
    println!(
        "{} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker
}

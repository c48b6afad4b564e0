//! Processes and messages, as the model checker explores them.

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

/// Longer than every delay between two attempts.
const ATTEMPT_MS: u64 = 2000;
/// Ballots after which an agreement that goes on has come to its end.
const BALLOTS_TO_GO_ON: u64 = 6;

/// The properties that may turn out to be broken: one view for each number.
pub const TWO_VIEWS: &str = "one view for each number";
/// Agreed views are on the disks of majorities.
pub const NOT_ON_DISKS: &str = "agreed views are on disks";
/// Whoever is left agrees on a next view.
pub const STANDS_STILL: &str = "the agreement goes on";

/// What a process may do wrong, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// A vote is sent before it is on disk, so that a crash may lose the newest one.
    AnswersBeforeSync,
    /// A view counts as agreed without a majority of the voters before it: a voter is removed without an overlap.
    CountsNewVotersOnly,
    /// More is lost than a majority bears.
    LosesTooMuch,
}

/// How an answer reaches the process that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// Like any other message.
    Delayed,
    /// At once or never. An answer changes nothing but the proposal that it is for, so nothing can come of its delay
    /// that does not come of a delay of the messages that it leads to.
    Immediate,
}

/// What is explored.
#[derive(Clone)]
pub struct Setup {
    /// View 1, which everybody knows.
    pub founded: View,
    /// How many machines there are: the voters, and new disks after them.
    pub machines: u8,
    /// View 2 as each machine wants it.
    pub wanted: fn(u8) -> View,
    /// How many proposals each machine may begin; none for those that are not listed.
    pub attempts: &'static [u8],
    /// How many processes may end and start again on their disks.
    pub crashes: u8,
    /// How many machines may be lost for good, with their disks, at any moment. For what is agreed that is the same as
    /// messages that are never delivered; whether the others go on is looked at in every state, for all such losses.
    pub losses: u32,
    /// A machine that was told to end, and may do so at any moment beside those losses.
    pub draining: Option<u8>,
    pub answers: Answers,
    pub fault: PlantedFault,
    /// Whether disks in a certain state, without some machines, go on: what was found out before.
    pub known_outcomes: Arc<Mutex<HashMap<u64, bool>>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    /// What is on disk for certain.
    stored: VoteState,
    agreement: Agreement,
    incarnations: u64,
    attempts: u8,
}

/// A message on its way, encoded so that it has an order and a hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Envelope {
    from: u8,
    to: u8,
    message: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    machines: Vec<Machine>,
    /// Everything that was ever sent: what is here may arrive at any time, and again.
    sent: BTreeSet<Envelope>,
    /// The encoded views that were taken for agreed, by number.
    agreed: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    /// Whose disks ever held which view as accepted, by encoded view.
    held: BTreeMap<Vec<u8>, BTreeSet<u8>>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    BeginBallot(u8),
    Deliver(Envelope),
    /// Delivers a message whose answer is lost.
    DeliverUnanswered(Envelope),
    Crash(u8),
}

/// The process that asked and is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Asker {
    index: u8,
    hears: bool,
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
            held: BTreeMap::new(),
            crashes: 0,
        }
    }

    /// Does what a process asks for. Its messages to itself arrive at once, and its writes are synced at once: a sync
    /// that takes time is no different from messages that do.
    fn perform(&self, state: &mut State, index: u8, effects: Vec<Effect>, asker: Option<Asker>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(state, index, (to, message), asker),
                Effect::Persist { vote, then } => {
                    self.persist(state, index, vote);
                    for message in then {
                        self.send(state, index, message, asker);
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
        if self.fault == PlantedFault::AnswersBeforeSync {
            return;
        }
        if vote.accepted.number > 1 {
            state
                .held
                .entry(encode_view(&vote.accepted))
                .or_default()
                .insert(index);
        }
        state.machines[usize::from(index)].stored = vote;
    }

    /// Sends what can matter: everybody knows view 1 here.
    fn send(
        &self,
        state: &mut State,
        from: u8,
        (to, message): (PeerAddress, AgreementMessage),
        asker: Option<Asker>,
    ) {
        let known = matches!(&message, AgreementMessage::Agreed { view } if view.number <= 1);
        let Some(to) = self.index_of(to).filter(|_| !known) else {
            return;
        };
        if to == from {
            return self.receive(state, from, to, message, None);
        }
        match asker.filter(|asker| asker.index == to) {
            Some(Asker { hears: true, .. }) => self.receive(state, from, to, message, None),
            Some(Asker { hears: false, .. }) => {}
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
        asker: Option<Asker>,
    ) {
        if self.fault == PlantedFault::CountsNewVotersOnly {
            self.make_up_old_votes(state, to, &message);
        }
        let machine = &mut state.machines[usize::from(to)];
        let effects = machine.agreement.receive(address(from), message, Millis(0));
        self.perform(state, to, effects, asker);
    }

    /// Makes votes of the voters before a view up wherever one of its own voters has accepted it.
    fn make_up_old_votes(&self, state: &mut State, to: u8, message: &AgreementMessage) {
        let AgreementMessage::Accepted {
            proposal_number, ..
        } = message
        else {
            return;
        };
        for old in &self.founded.voters {
            let made_up = AgreementMessage::Accepted {
                proposal_number: *proposal_number,
                disk: old.disk,
            };
            let new = (self.wanted)(to);
            if new.voter(old.disk).is_none() {
                let machine = &mut state.machines[usize::from(to)];
                let effects = machine.agreement.receive(old.address, made_up, Millis(0));
                self.perform(state, to, effects, None);
            }
        }
    }

    fn deliver(&self, state: &mut State, envelope: &Envelope, hears: bool) -> Option<()> {
        let Envelope { from, to, message } = envelope;
        let message = borsh::from_slice(message).ok()?;
        let asker = match self.answers {
            Answers::Delayed => None,
            Answers::Immediate => Some(Asker {
                index: *from,
                hears,
            }),
        };
        self.receive(state, *from, *to, message, asker);
        Some(())
    }

    fn may_begin(&self, state: &State, index: u8) -> bool {
        let most = self
            .attempts
            .get(usize::from(index))
            .copied()
            .unwrap_or_default();
        state.machines[usize::from(index)].attempts < most
    }

    /// Begins a proposal: the first by a proposal, later ones by letting the time of the one before run out.
    fn begin_ballot(&self, state: &mut State, index: u8) {
        let machine = &mut state.machines[usize::from(index)];
        let now = Millis(u64::from(machine.attempts) * 3 * ATTEMPT_MS);
        machine.attempts += 1;
        let mut effects = machine.agreement.propose((self.wanted)(index), now);
        if effects.is_empty() {
            effects = machine.agreement.tick(now.plus(ATTEMPT_MS));
        }
        if effects.is_empty() {
            effects = machine.agreement.tick(now.plus(2 * ATTEMPT_MS));
        }
        self.perform(state, index, effects, None);
    }

    /// Whether every view that was agreed is, or was, on the disks of majorities of the voters before it and of its own.
    fn is_agreed_on_disks(&self, state: &State) -> bool {
        state.agreed.values().flatten().all(|encoded| {
            let nobody = BTreeSet::new();
            let holders = state.held.get(encoded).unwrap_or(&nobody);
            has_majority(holders, &self.founded) && has_majority(holders, &decode_view(encoded))
        })
    }

    /// All sets of machines that may be left after the losses and the end of the draining machine.
    fn remainders(&self) -> impl Iterator<Item = BTreeSet<u8>> + '_ {
        let sets = (0..1_u32 << self.machines)
            .map(|set| (0..self.machines).filter(move |i| set >> i & 1 == 1));
        sets.map(Iterator::collect).filter(|left: &BTreeSet<u8>| {
            let ended = self.draining.is_some_and(|index| !left.contains(&index));
            let missing = u32::from(self.machines) - left.len() as u32;
            missing <= self.losses + u32::from(ended)
        })
    }

    /// Whether a majority of the voters is left, and one of those of every view that may have been proposed.
    fn are_enough(&self, left: &BTreeSet<u8>) -> bool {
        let proposed = (0..self.attempts.len() as u8).map(|index| (self.wanted)(index));
        let enough = proposed
            .chain([self.founded.clone()])
            .all(|view| has_majority(left, &view));
        enough || self.fault == PlantedFault::LosesTooMuch
    }

    /// Whether, whatever of the possible losses comes now, machines that are enough agree on a next view once all is
    /// calm.
    fn goes_on(&self, state: &State) -> bool {
        let remainders = self.remainders().filter(|left| self.are_enough(left));
        remainders
            .into_iter()
            .all(|left| self.is_decided_by(state, &left))
    }

    /// Has all that are left start again from their disks, and one after another propose; nothing is lost any more.
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
        let calm = Setup {
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
            (0..BALLOTS_TO_GO_ON).flat_map(|term| left.iter().map(move |i| (term, *i)))
        {
            let machine = &mut state.machines[usize::from(index)];
            let now = Millis((term + 1) * 3 * ATTEMPT_MS);
            let mut effects = machine.agreement.propose((self.wanted)(index), now);
            effects.extend(machine.agreement.tick(now.plus(ATTEMPT_MS)));
            calm.perform(&mut state, index, effects, None);
            while let Some(envelope) = state.sent.pop_first() {
                if left.contains(&envelope.to) {
                    calm.deliver(&mut state, &envelope, true);
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
            if self.may_begin(state, index) {
                actions.push(Action::BeginBallot(index));
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
            Action::BeginBallot(index) => self.begin_ballot(&mut state, index),
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
                setup.fault == PlantedFault::AnswersBeforeSync || setup.is_agreed_on_disks(state)
            }),
            Property::always(STANDS_STILL, |setup: &Setup, state: &State| {
                let loses = setup.losses > 0 || setup.draining.is_some();
                !loses || setup.goes_on(state)
            }),
            Property::sometimes("a view is agreed", |_, state: &State| {
                !state.agreed.is_empty()
            }),
        ]
    }
}

/// Explores everything, or up to a depth, or until one of these properties is broken, and prints how much that was.
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

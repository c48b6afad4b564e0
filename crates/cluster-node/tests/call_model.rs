//! Model check of calls and replies: one caller in two incarnations at one address, and two heads that may restart.
//! Connections are reset while replies are in flight, and replies may arrive late. The checker explores every order
//! of a bounded number of steps.

mod common;

use common::{core, view};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::head_client::pending_calls::{CallEffect, PendingCalls};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

const INCARNATIONS: u64 = 2;
/// The number of calls per incarnation of the caller.
const CALLS: u64 = 2;
/// A clock step after which an unanswered call is retried.
const STEP_MS: u64 = 900;
const CLOCK_STEPS: u64 = 1;
const RESETS: u8 = 1;
const HEAD_RESTARTS: u8 = 1;
/// The deadline of calls; the model's clock never reaches it.
const UNTIL: Millis = Millis(100_000);

/// Injected faults, which show that the checker finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InjectedBug {
    /// A head replies to the caller's address, on whichever connection is open at that time.
    answers_by_address: bool,
    /// The caller matches replies by their call number alone.
    matches_by_number: bool,
}

const NO_BUG: InjectedBug = InjectedBug {
    answers_by_address: false,
    matches_by_number: false,
};

/// Identifies the call and the caller's incarnation; a head's reply repeats it.
type Tag = u64;

fn tag(incarnation: u64, number: u64) -> Tag {
    incarnation * 100 + number
}

/// A connection between one incarnation of the caller and one incarnation of a head.
#[derive(Clone, Debug)]
struct Link {
    incarnation: u64,
    head: u8,
    /// Nothing more is sent on the connection. Replies in flight still arrive until the caller sees it close.
    reset: bool,
    over: bool,
    calls: VecDeque<(CallId, Tag)>,
    answers: VecDeque<(CallId, Tag)>,
}

/// A call that a head has accepted and not yet answered.
#[derive(Clone, Debug)]
struct Taken {
    head: u8,
    link: usize,
    id: CallId,
    tag: Tag,
}

#[derive(Clone, Debug)]
struct State {
    caller: PendingCalls<Request>,
    incarnation: u64,
    begun: u64,
    clock_steps: u64,
    learned: bool,
    links: Vec<Link>,
    taken: Vec<Taken>,
    resets: u8,
    head_restarts: u8,
    /// Calls that got the reply to another call, with that reply. Call numbers are those of the current incarnation.
    wrong: Vec<(Tag, Tag)>,
    receive_reply: Vec<Tag>,
    sends: Vec<(Tag, u8)>,
}

/// Two states are equal if their contents have the same textual form.
impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Begin,
    PassCall(usize),
    Answer(usize),
    PassAnswer(usize),
    Reset(usize),
    SeeReset(usize),
    RestartCaller,
    RestartHead(u8),
    LearnOfNewHead,
    StepClock,
}

struct System {
    fault: InjectedBug,
}

fn address(head: u8) -> PeerAddress {
    core(head)
}

impl State {
    fn new() -> State {
        State {
            caller: caller(1),
            incarnation: 1,
            begun: 0,
            clock_steps: 0,
            learned: false,
            links: Vec::new(),
            taken: Vec::new(),
            resets: 0,
            head_restarts: 0,
            wrong: Vec::new(),
            receive_reply: Vec::new(),
            sends: Vec::new(),
        }
    }

    fn now(&self) -> Millis {
        Millis(1 + self.clock_steps * STEP_MS)
    }

    fn carry_out(&mut self, effects: Vec<CallEffect<Request>>) {
        for effect in effects {
            match effect {
                CallEffect::Send { to, id, .. } => self.send(to, id),
                CallEffect::Finish { number, reply } => self.finish(number, &reply),
            }
        }
    }

    fn send(&mut self, to: PeerAddress, id: CallId) {
        let head = if to == address(1) { 1 } else { 2 };
        let tag = tag(self.incarnation, id.number);
        self.sends.push((tag, head));
        let link = self.link_to(head);
        self.links[link].calls.push_back((id, tag));
    }

    /// The newest connection to a head, or a new one.
    fn link_to(&mut self, head: u8) -> usize {
        let incarnation = self.incarnation;
        let usable =
            |link: &Link| link.incarnation == incarnation && link.head == head && !link.reset;
        self.links.iter().rposition(usable).unwrap_or_else(|| {
            let (calls, answers) = (VecDeque::new(), VecDeque::new());
            self.links.push(Link {
                incarnation,
                head,
                reset: false,
                over: false,
                calls,
                answers,
            });
            self.links.len() - 1
        })
    }

    fn finish(&mut self, number: u64, reply: &Reply) {
        let Reply::Pending(answer) = reply else {
            return;
        };
        let asked = tag(self.incarnation, number);
        self.receive_reply.push(asked);
        if *answer != asked {
            self.wrong.push((asked, *answer));
        }
    }

    fn reset(&mut self, link: usize) {
        self.links[link].reset = true;
        self.links[link].calls.clear();
    }

    fn see_reset(&mut self, link: usize) {
        self.links[link].over = true;
        self.links[link].answers.clear();
        let head = address(self.links[link].head);
        let effects = self.caller.disconnected(head, self.now());
        self.carry_out(effects);
    }

    fn answer(&mut self, taken: usize, by_address: bool) {
        let Taken {
            head,
            link,
            id,
            tag,
        } = self.taken.remove(taken);
        let link = if by_address {
            let newest = |link: &Link| {
                link.head == head && link.incarnation == self.incarnation && !link.reset
            };
            self.links.iter().rposition(newest)
        } else {
            Some(link).filter(|link| !self.links[*link].reset)
        };
        if let Some(link) = link {
            self.links[link].answers.push_back((id, tag));
        }
    }

    fn take_answer(&mut self, link: usize, by_number: bool) {
        let head = address(self.links[link].head);
        let Some((id, tag)) = self.links[link].answers.pop_front() else {
            return;
        };
        let id = if by_number {
            CallId {
                incarnation: self.incarnation,
                ..id
            }
        } else {
            id
        };
        let effects = self
            .caller
            .receive_reply(head, id, Reply::Pending(tag), self.now());
        self.carry_out(effects);
    }

    fn restart_caller(&mut self) {
        for link in &mut self.links {
            (link.reset, link.over) = (true, true);
            // Calls in flight still arrive at the head; replies have no receiver.
            link.answers.clear();
        }
        self.incarnation += 1;
        self.begun = 0;
        self.caller = caller(self.incarnation);
        if self.learned {
            let effects = self.caller.learn_view(&view(2, &[1, 2], &[2]), self.now());
            self.carry_out(effects);
        }
    }

    fn restart_head(&mut self, head: u8) {
        self.head_restarts += 1;
        self.taken.retain(|taken| taken.head != head);
        for link in self.links.iter_mut().filter(|link| link.head == head) {
            link.reset = true;
            link.calls.clear();
        }
    }
}

fn caller(incarnation: u64) -> PendingCalls<Request> {
    let mut calls = PendingCalls::new(incarnation);
    assert!(calls
        .learn_view(&view(1, &[1, 2], &[1]), Millis(1))
        .is_empty());
    calls
}

impl Model for System {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::new()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.begun < CALLS {
            actions.push(Action::Begin);
        }
        for (number, link) in state.links.iter().enumerate() {
            if !link.calls.is_empty() {
                actions.push(Action::PassCall(number));
            }
            if !link.answers.is_empty() && !link.over {
                actions.push(Action::PassAnswer(number));
            }
            if !link.reset && state.resets < RESETS {
                actions.push(Action::Reset(number));
            }
            if link.reset && !link.over {
                actions.push(Action::SeeReset(number));
            }
        }
        actions.extend((0..state.taken.len()).map(Action::Answer));
        if state.incarnation < INCARNATIONS && state.begun > 0 {
            actions.push(Action::RestartCaller);
        }
        if state.head_restarts < HEAD_RESTARTS {
            actions.extend([1, 2].map(Action::RestartHead));
        }
        if !state.learned {
            actions.push(Action::LearnOfNewHead);
        }
        if state.clock_steps < CLOCK_STEPS && !state.caller.is_idle() {
            actions.push(Action::StepClock);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin => {
                state.begun += 1;
                let now = state.now();
                let (_, effects) = state.caller.begin(Request::ReadConfiguration, UNTIL, now);
                state.carry_out(effects);
            }
            Action::PassCall(link) => {
                let (id, tag) = state.links[link].calls.pop_front()?;
                state.taken.push(Taken {
                    head: state.links[link].head,
                    link,
                    id,
                    tag,
                });
            }
            Action::Answer(taken) => state.answer(taken, self.fault.answers_by_address),
            Action::PassAnswer(link) => state.take_answer(link, self.fault.matches_by_number),
            Action::Reset(link) => {
                state.resets += 1;
                state.reset(link);
            }
            Action::SeeReset(link) => state.see_reset(link),
            Action::RestartCaller => state.restart_caller(),
            Action::RestartHead(head) => state.restart_head(head),
            Action::LearnOfNewHead => {
                state.learned = true;
                let effects = state
                    .caller
                    .learn_view(&view(2, &[1, 2], &[2]), state.now());
                state.carry_out(effects);
            }
            Action::StepClock => {
                state.clock_steps += 1;
                let effects = state.caller.tick(state.now());
                state.carry_out(effects);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an answer reaches its own caller", |_, state: &State| {
                state.wrong.is_empty()
            }),
            Property::always("a call is answered once", |_, state: &State| {
                let mut once = state.receive_reply.clone();
                once.sort_unstable();
                once.dedup();
                once.len() == state.receive_reply.len()
            }),
            Property::sometimes(
                "a call that was sent again is answered",
                |_, state: &State| {
                    state
                        .receive_reply
                        .iter()
                        .any(|tag| state.sends.iter().filter(|send| send.0 == *tag).count() > 1)
                },
            ),
            Property::sometimes(
                "an answer comes that belongs to nobody",
                |_, state: &State| state.caller.unmatched_replies() > 0,
            ),
            Property::sometimes(
                "a second incarnation is answered by both heads",
                |_, state: &State| {
                    let second = |head| {
                        state
                            .sends
                            .iter()
                            .any(|(tag, at)| *tag > 200 && *at == head)
                    };
                    state.receive_reply.iter().any(|tag| *tag > 200) && second(1) && second(2)
                },
            ),
        ]
    }
}

/// The maximum number of steps per explored order.
const DEPTH: usize = 12;

fn check(fault: InjectedBug) -> impl Checker<System> {
    System { fault }
        .checker()
        .threads(2)
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join()
}

#[test]
fn every_answer_reaches_its_own_caller() {
    let checked = check(NO_BUG);
    checked.assert_properties();
    println!("{} states", checked.unique_state_count());
}

#[test]
fn the_identity_of_a_call_is_enough_where_answers_go_to_an_address() {
    let checked = check(InjectedBug {
        answers_by_address: true,
        ..NO_BUG
    });
    checked.assert_no_discovery("an answer reaches its own caller");
    checked.assert_no_discovery("a call is answered once");
}

#[test]
fn the_connection_is_enough_where_numbers_alone_are_compared() {
    let checked = check(InjectedBug {
        matches_by_number: true,
        ..NO_BUG
    });
    checked.assert_no_discovery("an answer reaches its own caller");
    checked.assert_no_discovery("a call is answered once");
}

#[test]
fn an_answer_that_is_matched_by_number_alone_reaches_another_caller() {
    let checked = check(InjectedBug {
        answers_by_address: true,
        matches_by_number: true,
    });
    let path = checked.assert_any_discovery("an answer reaches its own caller");
    assert!(path.into_actions().contains(&Action::RestartCaller));
}

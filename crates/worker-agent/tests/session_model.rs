//! Model checking of an agent's sessions with the owner of its shard: connections are reset while messages are in flight,
//! sessions restart, and messages arrive late. The checker explores every order of a bounded number of steps.

#[path = "support/answer_at_once.rs"]
mod answer_at_once;

use answer_at_once::AnswerAtOnce;
use lupinrack_cluster_api::agent::{AgentMessage, Assignment, Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::{FencingToken, JobId, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::{Agent, AgentSettings, ServerHeartbeat};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// The largest number of messages with an order.
const MAX_ORDERS: u32 = 4;
const MAX_RESETS: u8 = 1;
/// How often the agent restarts a session although no connection has ended.
const MAX_OWNER_TIMEOUTS: u8 = 1;
const MAX_RENEWALS: u8 = 1;
/// The largest number of steps in a path.
const MAX_DEPTH: usize = 14;

/// A bug that is injected to show that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// The agent matches a message by its number alone, whichever attach the message answers.
    MatchesByNumber,
}

/// A connection from the agent to the owner.
#[derive(Clone, Debug, Default)]
struct Link {
    /// No new messages are sent on it; messages in flight to the agent still arrive until the agent sees the reset.
    reset: bool,
    reset_seen: bool,
    to_owner: VecDeque<AgentMessage>,
    to_agent: VecDeque<(u32, OwnerMessage)>,
}

/// The owner's side of a session.
#[derive(Clone, Debug)]
struct OwnerSession {
    number: u32,
    link: usize,
    next_message: u64,
    complete: bool,
    report_sent_at: Millis,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    agent: Agent,
    agent_session: u64,
    links: Vec<Link>,
    owner: Option<OwnerSession>,
    sessions: u32,
    orders: u32,
    resets: u8,
    owner_timeouts: u8,
    renewals: u8,
    /// The sessions of the messages that the agent accepted, in order.
    accepted_sessions: Vec<u32>,
}

/// Two states are equal if their debug texts are equal.
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
    PassToOwner(usize),
    PassToAgent(usize),
    Order,
    /// The owner makes its next message complete.
    Renew,
    Reset(usize),
    SeeReset(usize),
    /// The agent restarts its session because the owner sent nothing for too long.
    OwnerTimeout,
}

struct System {
    bug: InjectedBug,
}

fn server() -> ServerId {
    ServerId("a".to_owned())
}

fn heartbeat() -> ServerHeartbeat {
    let heartbeat = Heartbeat {
        server: server(),
        sequence: 1,
        draining: false,
        remaining_ms: None,
        running: Vec::new(),
        finished: Vec::new(),
        orders_seen: 0,
    };
    let facts = ServerFacts {
        id: server(),
        service: ServiceName("search".to_owned()),
        version: "v1".to_owned(),
        zone: "north".to_owned(),
        capacity: Resources {
            cpu: 4_000,
            memory_mb: 8_192,
            gpu: 0,
        },
        labels: Vec::new(),
    };
    ServerHeartbeat {
        facts,
        heartbeat,
        unknown_runs: Vec::new(),
        ends_listed: 0,
        address: String::new(),
        slots: 8,
        warm_up_remaining_ms: 0,
        clock_ms: 0,
    }
}

impl State {
    /// A server that has sent one heartbeat, and an agent that is about to attach.
    fn new() -> State {
        let settings = AgentSettings {
            lease_max_ms: 6_000,
            heartbeat_ms: 1_500,
            idle_heartbeat_ms: 400,
            busy_heartbeat_ms: 80,
        };
        let mut agent = Agent::new(settings);
        agent.heartbeat(heartbeat(), Millis(1));
        let mut state = State {
            now: 1,
            agent,
            agent_session: 0,
            links: Vec::new(),
            owner: None,
            sessions: 0,
            orders: 0,
            resets: 0,
            owner_timeouts: 0,
            renewals: 0,
            accepted_sessions: Vec::new(),
        };
        state.start_session();
        state
    }

    fn start_session(&mut self) {
        self.agent_session += 1;
        self.agent.owner_connected(self.agent_session);
    }

    /// Sends the agent's messages on its newest connection, or on a new one.
    fn poll_agent(&mut self) {
        let messages = self.agent.poll(Millis(self.now));
        if messages.is_empty() {
            return;
        }
        let newest = self
            .links
            .iter()
            .rposition(|link| !link.reset)
            .unwrap_or_else(|| {
                self.links.push(Link::default());
                self.links.len() - 1
            });
        self.links[newest].to_owner.extend(messages);
    }

    fn deliver_to_owner(&mut self, link: usize, message: &AgentMessage) {
        match message {
            AgentMessage::Attach { sent_at, .. } => {
                self.sessions += 1;
                self.owner = Some(OwnerSession {
                    number: self.sessions,
                    link,
                    next_message: 1,
                    complete: true,
                    report_sent_at: *sent_at,
                });
            }
            AgentMessage::Report { sent_at, .. } => {
                if let Some(session) = self.owner.as_mut().filter(|session| session.link == link) {
                    session.report_sent_at = *sent_at;
                }
            }
            AgentMessage::Deregister { .. } => {}
        }
    }

    fn order(&mut self) -> Option<()> {
        self.orders += 1;
        let task = TaskId {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index: self.orders,
        };
        let session = self.owner.as_mut()?;
        let message = OwnerMessage {
            token: FencingToken(5),
            server: server(),
            number: session.next_message,
            complete: session.complete,
            assign: vec![Assignment {
                task,
                attempt: 1,
                spec: String::new(),
                checkpoint: String::new(),
            }],
            stop: Vec::new(),
            observed: 0,
            lease_from: session.report_sent_at,
            lease_ms: 3_000,
            heartbeat_after_ms: 200,
        };
        session.next_message += 1;
        session.complete = false;
        let link = &mut self.links[session.link];
        if !link.reset {
            link.to_agent.push_back((session.number, message));
        }
        Some(())
    }

    fn deliver_to_agent(&mut self, link: usize, bug: InjectedBug) -> Option<()> {
        let (session, mut message) = self.links[link].to_agent.pop_front()?;
        if bug == InjectedBug::MatchesByNumber {
            message.lease_from = Millis(u64::MAX);
        }
        if self
            .agent
            .receive_owner_message(self.agent_session, message)
            .is_ok()
        {
            self.accepted_sessions.push(session);
        }
        Some(())
    }
}

impl Model for System {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State::new();
        state.poll_agent();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (number, link) in state.links.iter().enumerate() {
            if !link.to_owner.is_empty() {
                actions.push(Action::PassToOwner(number));
            }
            if !link.to_agent.is_empty() && !link.reset_seen {
                actions.push(Action::PassToAgent(number));
            }
            if !link.reset && state.resets < MAX_RESETS {
                actions.push(Action::Reset(number));
            }
            if link.reset && !link.reset_seen {
                actions.push(Action::SeeReset(number));
            }
        }
        if state.owner.is_some() && state.orders < MAX_ORDERS {
            actions.push(Action::Order);
        }
        if state.orders > 0 && state.renewals < MAX_RENEWALS {
            actions.push(Action::Renew);
        }
        if state.owner_timeouts < MAX_OWNER_TIMEOUTS {
            actions.push(Action::OwnerTimeout);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state.now += 1;
        match action {
            Action::PassToOwner(link) => {
                let message = state.links[link].to_owner.pop_front()?;
                state.deliver_to_owner(link, &message);
            }
            Action::PassToAgent(link) => state.deliver_to_agent(link, self.bug)?,
            Action::Order => state.order()?,
            Action::Renew => {
                state.renewals += 1;
                state.owner.as_mut()?.complete = true;
            }
            Action::Reset(link) => {
                state.resets += 1;
                state.links[link].reset = true;
                state.links[link].to_owner.clear();
            }
            Action::SeeReset(link) => {
                state.links[link].reset_seen = true;
                state.links[link].to_agent.clear();
                state.start_session();
            }
            Action::OwnerTimeout => {
                state.owner_timeouts += 1;
                state.start_session();
            }
        }
        state.poll_agent();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no message of an earlier session is accepted after a later one",
                |_, state: &State| state.accepted_sessions.is_sorted(),
            ),
            Property::sometimes(
                "two messages of the second session are accepted",
                |_, state: &State| {
                    state
                        .accepted_sessions
                        .iter()
                        .filter(|session| **session == 2)
                        .count()
                        == 2
                },
            ),
            Property::sometimes(
                "a complete message within a session is accepted",
                |_, state: &State| {
                    state.renewals > 0
                        && state.accepted_sessions.len() == 3
                        && state.accepted_sessions.iter().all(|session| *session == 1)
                },
            ),
        ]
    }
}

fn check(bug: InjectedBug) -> impl Checker<System> {
    System { bug }
        .checker()
        .threads(2)
        .target_max_depth(MAX_DEPTH)
        .spawn_bfs()
        .join()
}

#[test]
fn messages_of_an_earlier_session_are_never_accepted_in_a_later_one() {
    let checked = check(InjectedBug::None);
    checked.assert_properties();
    println!("{} states", checked.unique_state_count());
}

#[test]
fn a_message_that_is_matched_by_number_alone_is_accepted_in_another_session() {
    let checked = check(InjectedBug::MatchesByNumber);
    let path = checked
        .assert_any_discovery("no message of an earlier session is accepted after a later one");
    assert!(path.into_actions().contains(&Action::OwnerTimeout));
}

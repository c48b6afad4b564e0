//! The agreement on views and the leases under a model checker: three fronts run the real state machines. Messages are lost,
//! delayed and duplicated; a front may not be scheduled for a while; a death and a restart may happen at any step.

use lupinrack_fleet_membership::agreement::{
    Agreement, AgreementMessage, Effect, Timing, ViewNumber,
};
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::lease::{Lease, LeaseGrant};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

const FRONTS: usize = 3;
const TIMING: Timing = Timing {
    lease: 2,
    lease_expiry_bound: 3,
    give_up_after: 1,
    quiet_period: 5,
    renewal_interval: 1,
};

/// A fault in the model that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The lease is not checked again at the time of use.
    StaleGrant,
    /// The majority is counted over a view, which may have one member.
    MajorityOfView,
    /// A front restarts with its old process incarnation and without a quiet period.
    ReusedIncarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    agreement: Agreement,
    lease: Lease,
    /// What it was granted when it last ran.
    grant: LeaseGrant,
    last_run_at: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: i64,
    processes: Vec<Option<Process>>,
    next_incarnation: u64,
    /// A message in flight: sender, receiver, content.
    in_flight: Option<(usize, usize, HashedMessage)>,
    next_members: FrontSet,
    deaths_left: u8,
    views: BTreeMap<ViewNumber, FrontSet>,
    /// Whether two views with different members had the same number.
    conflict: bool,
}

/// An [`AgreementMessage`] with a hash, which the type itself lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HashedMessage(AgreementMessage);

impl std::hash::Hash for HashedMessage {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (
            self.0.promised,
            self.0.view_number,
            self.0.promises,
            self.0.view,
            self.0.renewal,
        )
            .hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// Time passes.
    AdvanceClock,
    /// A front does what is due.
    Run(usize),
    /// One front pings another, which acknowledges with how much remains of its lease.
    Ping(usize, usize),
    /// A message from one front to another is put in flight.
    Send(usize, usize),
    /// The message in flight arrives; it may arrive again.
    Deliver,
    Propose(usize),
    /// Sets the members of the next view, as a bit mask.
    SetNextMembers(u8),
    Die(usize),
    Restart(usize),
}

struct Fleet {
    fault: InjectedFault,
    until: i64,
}

impl Fleet {
    fn configured(&self) -> usize {
        if self.fault == InjectedFault::MajorityOfView {
            1
        } else {
            FRONTS
        }
    }

    fn start(&self, me: usize, process_incarnation: u64, now: i64) -> Process {
        let agreement = Agreement::new(
            me as u16,
            process_incarnation,
            self.configured(),
            TIMING,
            now,
        );
        Process {
            agreement,
            lease: Lease::new(me as u16, FRONTS, TIMING),
            grant: LeaseGrant::default(),
            last_run_at: now,
        }
    }

    fn on_effects(&self, s: &mut State, me: usize, effects: Vec<Effect>) {
        let now = s.now;
        for effect in effects {
            let Some(p) = &mut s.processes[me] else {
                return;
            };
            match effect {
                Effect::Accepted(view) => {
                    let members = *s.views.entry(view.number).or_insert(view.members);
                    s.conflict |= members != view.members;
                    p.lease.accept(&view);
                }
                Effect::Renewed(began_at) => {
                    let view = *p.agreement.view();
                    p.lease
                        .extend(now, view.number, began_at + TIMING.lease, view.members);
                }
                Effect::Disseminate | Effect::SteppedDown => {}
            }
        }
        if let Some(p) = &mut s.processes[me] {
            (p.grant, p.last_run_at) = (p.lease.grant(now), now);
        }
    }

    fn receive(&self, s: &mut State, me: usize, message: &AgreementMessage) {
        let (now, mut effects) = (s.now, Vec::new());
        if let Some(p) = &mut s.processes[me] {
            p.agreement.receive(now, message, &mut effects);
        }
        self.on_effects(s, me, effects);
    }

    /// The fraction of the shared limit that a front uses if it sends now. Its grant may be old.
    fn used(&self, s: &State, p: &Process) -> f64 {
        let grant = if self.fault == InjectedFault::StaleGrant {
            p.grant
        } else {
            p.lease.grant(s.now)
        };
        // As the policy does: a grant is used until it ends.
        let may_use = match self.fault {
            InjectedFault::StaleGrant => grant.in_all_views,
            _ => p.grant.in_all_views && s.now < p.grant.valid_until,
        };
        if may_use {
            1.0 / (FRONTS - p.grant.absent.len()) as f64
        } else {
            0.0
        }
    }
}

fn ping(fleet: &Fleet, s: &mut State, me: usize, other: usize) {
    let now = s.now;
    let message = |s: &State, from: usize, to: usize| {
        let their_view = s.processes[to]
            .as_ref()
            .map_or(ViewNumber::default(), |p| p.agreement.view().number);
        s.processes[from]
            .as_ref()
            .map(|p| p.agreement.message_for(their_view))
    };
    let Some(sent) = message(s, me, other) else {
        return;
    };
    if s.processes[other].is_none() {
        return;
    }
    fleet.receive(s, other, &sent);
    let Some(returned) = message(s, other, me) else {
        return;
    };
    let lease_remaining = s.processes[other]
        .as_ref()
        .and_then(|p| p.lease.remaining(now))
        .unwrap_or(0);
    fleet.receive(s, me, &returned);
    if let Some(p) = &mut s.processes[me] {
        let members = p.agreement.view().members;
        p.lease
            .extend(now, returned.view_number, now + lease_remaining, members);
    }
    fleet.on_effects(s, me, Vec::new());
}

fn run(fleet: &Fleet, s: &mut State, me: usize) {
    let (now, next_members, mut effects) = (s.now, s.next_members, Vec::new());
    if let Some(p) = &mut s.processes[me] {
        p.agreement.tick(now, Some(next_members), &mut effects);
    }
    fleet.on_effects(s, me, effects);
}

fn propose(fleet: &Fleet, s: &mut State, me: usize) {
    let (now, mut effects) = (s.now, Vec::new());
    if let Some(p) = &mut s.processes[me] {
        p.agreement.propose(now, &mut effects);
    }
    fleet.on_effects(s, me, effects);
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    /// All three fronts hold leases on a view of all, led by the first, and earlier leases have expired; and the states on the way
    /// to a view without the third.
    fn init_states(&self) -> Vec<State> {
        let mut s = State {
            now: 0,
            processes: (0..FRONTS)
                .map(|i| Some(self.start(i, i as u64 + 1, -100)))
                .collect(),
            next_incarnation: FRONTS as u64 + 1,
            in_flight: None,
            next_members: FrontSet::first_n(FRONTS),
            deaths_left: 1,
            views: BTreeMap::new(),
            conflict: false,
        };
        propose(self, &mut s, 0);
        for _ in 0..8 {
            for _ in 0..2 {
                run(self, &mut s, 0);
                ping(self, &mut s, 1, 0);
                ping(self, &mut s, 2, 0);
            }
            s.now += 1;
        }
        s.now -= 1;
        assert!(
            s.processes
                .iter()
                .flatten()
                .all(|p| p.lease.earlier_leases_expired(s.now)),
            "{s:?}"
        );
        // The third front is not run any more. Every step on the way to a view without it is an initial state.
        let mut initial = vec![s.clone()];
        s.next_members = [0u16, 1].into_iter().collect();
        for _ in 0..2 {
            run(self, &mut s, 0);
            ping(self, &mut s, 1, 0);
        }
        // The leader issued the view, and no other front knows it yet.
        let mut issued = initial[0].clone();
        issued.next_members = s.next_members;
        run(self, &mut issued, 0);
        let mut died = issued.clone();
        (died.processes[0], died.deaths_left) = (None, 0);
        initial.extend([issued, died, s.clone()]);
        for _ in 0..4 {
            s.now += 1;
            for _ in 0..2 {
                run(self, &mut s, 0);
                ping(self, &mut s, 1, 0);
            }
            initial.push(s.clone());
        }
        // The second front proposes itself while it is partitioned from the others, which renew their leases.
        let mut s = initial[0].clone();
        s.next_members = [0u16, 1].into_iter().collect();
        propose(self, &mut s, 1);
        for _ in 0..3 {
            run(self, &mut s, 1);
            s.now += 1;
            s.next_members = FrontSet::first_n(FRONTS);
            for _ in 0..2 {
                run(self, &mut s, 0);
                ping(self, &mut s, 2, 0);
            }
            s.next_members = [0u16, 1].into_iter().collect();
        }
        initial.push(s);
        initial
    }

    fn actions(&self, s: &State, out: &mut Vec<Action>) {
        if s.now < self.until {
            out.push(Action::AdvanceClock);
        }
        for i in 0..FRONTS {
            let Some(p) = &s.processes[i] else {
                out.push(Action::Restart(i));
                continue;
            };
            out.push(Action::Run(i));
            if !p.agreement.leads() {
                out.push(Action::Propose(i));
            }
            if s.deaths_left > 0 {
                out.push(Action::Die(i));
            }
            for j in (0..FRONTS).filter(|j| *j != i) {
                out.push(Action::Ping(i, j));
                out.push(Action::Send(i, j));
            }
        }
        out.extend(s.in_flight.is_some().then_some(Action::Deliver));
        out.extend([0b011, 0b101, 0b111].map(Action::SetNextMembers));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::AdvanceClock => s.now += 1,
            Action::Run(i) => run(self, &mut s, i),
            Action::Ping(i, j) => ping(self, &mut s, i, j),
            Action::Send(i, j) => {
                let message = s.processes[i]
                    .as_ref()?
                    .agreement
                    .message_for(ViewNumber::default());
                s.in_flight = Some((i, j, HashedMessage(message)));
            }
            Action::Deliver => {
                let (_, to, message) = s.in_flight.clone()?;
                self.receive(&mut s, to, &message.0);
            }
            Action::Propose(i) => propose(self, &mut s, i),
            Action::SetNextMembers(mask) => {
                s.next_members = (0..FRONTS as u16).filter(|i| mask >> i & 1 == 1).collect()
            }
            Action::Die(i) => {
                s.processes[i] = None;
                s.deaths_left -= 1;
            }
            Action::Restart(i) => {
                let (process_incarnation, now) = match self.fault {
                    InjectedFault::ReusedIncarnation => (i as u64 + 1, s.now - 100),
                    _ => (s.next_incarnation, s.now),
                };
                s.next_incarnation += 1;
                s.processes[i] = Some(self.start(i, process_incarnation, now));
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("use stays within the limit", |m: &Fleet, s: &State| {
                s.processes
                    .iter()
                    .flatten()
                    .map(|p| m.used(s, p))
                    .sum::<f64>()
                    <= 1.0 + 1e-9
            }),
            Property::always("one list of members under a view number", |_, s: &State| {
                !s.conflict
            }),
            Property::sometimes(
                "the share of an absent front is taken over",
                |m: &Fleet, s: &State| s.processes.iter().flatten().any(|p| m.used(s, p) > 0.4),
            ),
        ]
    }
}

fn explore(fault: InjectedFault, until: i64, depth: usize) -> (usize, Vec<&'static str>) {
    let checker = Fleet { fault, until }
        .checker()
        .threads(
            std::thread::available_parallelism()
                .map_or(2, usize::from)
                .min(4),
        )
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found: Vec<&str> = checker.discoveries().into_keys().collect();
    (checker.unique_state_count(), found)
}

const LIMIT: &str = "use stays within the limit";
const VIEW: &str = "one list of members under a view number";

#[test]
fn no_state_within_the_depth_violates_a_property() {
    let (states, found) = explore(InjectedFault::None, 30, 6);
    assert!(states > 10_000, "{states} states");
    assert_eq!(
        found,
        ["the share of an absent front is taken over"],
        "{states} states"
    );
}

#[test]
fn injected_faults_are_found() {
    for (fault, property, depth) in [
        (InjectedFault::StaleGrant, LIMIT, 6),
        (InjectedFault::MajorityOfView, LIMIT, 6),
        (InjectedFault::ReusedIncarnation, VIEW, 7),
    ] {
        let (states, found) = explore(fault, 30, depth);
        assert!(
            found.contains(&property),
            "{fault:?}: not found in {states} states"
        );
    }
}

/// Explores to the depth given in `LUPINRACK_DEPTH`.
#[test]
#[ignore = "its duration grows with the depth"]
fn no_state_within_a_given_depth_violates_a_property() {
    let depth = std::env::var("LUPINRACK_DEPTH")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(8);
    let (states, found) = explore(InjectedFault::None, 30, depth);
    println!("depth {depth}: {states} states, found {found:?}");
    assert!(
        !found.contains(&LIMIT) && !found.contains(&VIEW),
        "{found:?}"
    );
}

//! Agreement on views: numbered lists of members that a majority of the configured fronts has accepted.
//!
//! As in Paxos, a front leads under a *proposal number* that no other process incarnation of any front can issue, once a majority
//! promised to accept nothing lower. Only the leader numbers views under its proposal, so two lists cannot share a number.
//! Promises, acceptances and renewals are sets that every front merges and passes on, so lost, late and duplicate messages do no
//! harm. A majority is counted over the configuration, never over a view.
//!
//! Nothing is persisted. A front that starts is therefore silent for the *quiet period*: it neither promises nor acknowledges.
//! By the end of it, whatever an earlier process incarnation of its name promised was used or dropped, because a front gives up
//! its own proposals and renewals that do not reach a majority within [`Timing::give_up_after`].

use crate::front_set::FrontSet;
use lupinrack_policy::Micros;

/// The number of a proposal, which names the leader under it. It is unique, since a process incarnation is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalNumber {
    /// Above the round of every proposal that the proposer had heard of.
    pub round: u32,
    /// The front that proposes itself as leader.
    pub proposer: u16,
    /// The proposer's process incarnation.
    pub process_incarnation: u64,
}

/// The number of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewNumber {
    /// The proposal under which the view was issued.
    pub proposal: ProposalNumber,
    /// The position of the view under that proposal, from 1.
    pub sequence: u32,
}

impl std::fmt::Display for ViewNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let proposal = self.proposal;
        write!(
            f,
            "{}.{}-{:04x}.{}",
            proposal.round,
            proposal.proposer,
            proposal.process_incarnation & 0xffff,
            self.sequence
        )
    }
}

/// A numbered list of members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// Its number.
    pub number: ViewNumber,
    /// The last view that can have been in use before it.
    pub previous: ViewNumber,
    /// Its members.
    pub members: FrontSet,
}

/// The promises to a proposal that are known here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Promises {
    /// The fronts that promised.
    pub promised_by: FrontSet,
    /// The highest view that any of them had accepted.
    pub highest_accepted: ViewNumber,
}

/// A renewal of the leases on the accepted view, with the acknowledgements that are known here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Its position among the renewals of this view.
    pub sequence: u32,
    /// The fronts that acknowledged it.
    pub acknowledged_by: FrontSet,
}

/// What one front sends another about views.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgreementMessage {
    /// The highest proposal that the sender promised.
    pub promised: ProposalNumber,
    /// The view that the sender accepted last.
    pub view_number: ViewNumber,
    /// Promises to `promised`.
    pub promises: Option<Promises>,
    /// The view with the number `view_number`.
    pub view: Option<View>,
    /// The current renewal of that view.
    pub renewal: Option<Renewal>,
}

/// The times of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long members may use what the view gives them, from when a renewal that a majority acknowledged began.
    pub lease: Micros,
    /// How much time has to pass on another clock until a lease has surely expired: the lease and twice the drift.
    pub lease_expiry_bound: Micros,
    /// The leader gives up a proposal without a first view, or a renewal without a majority, after this time.
    pub give_up_after: Micros,
    /// How long a front that starts neither promises nor acknowledges.
    pub quiet_period: Micros,
    /// The time from the start of one renewal to the start of the next.
    pub renewal_interval: Micros,
}

/// The leader's state under its proposal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Leadership {
    proposal: ProposalNumber,
    began_at: Micros,
    /// When the current renewal began.
    renewal_began_at: Micros,
    /// Whether a majority acknowledged the current renewal.
    has_majority: bool,
    /// Whether any renewal under this proposal had a majority.
    established: bool,
}

/// The part of one process incarnation in the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    me: u16,
    process_incarnation: u64,
    majority: usize,
    timing: Timing,
    quiet_until: Micros,
    promised: ProposalNumber,
    promises: Promises,
    view: View,
    renewal: Renewal,
    leadership: Option<Leadership>,
}

/// What a call asks the caller to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A new view was accepted.
    Accepted(View),
    /// As leader: a majority acknowledged the renewal that began at this time.
    Renewed(Micros),
    /// As leader: a new message has to be disseminated at once.
    Disseminate,
    /// This front no longer leads: it gave up its proposal, or heard of a higher one.
    SteppedDown,
}

impl Agreement {
    /// The state of a front that starts at `now`, among `configured` fronts.
    pub fn new(
        me: u16,
        process_incarnation: u64,
        configured: usize,
        timing: Timing,
        now: Micros,
    ) -> Agreement {
        Agreement {
            me,
            process_incarnation,
            majority: configured / 2 + 1,
            timing,
            quiet_until: now + timing.quiet_period,
            promised: ProposalNumber::default(),
            promises: Promises::default(),
            view: View::default(),
            renewal: Renewal::default(),
            leadership: None,
        }
    }

    /// The view accepted last; its number is zero before the first.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The highest proposal heard of.
    pub fn promised(&self) -> ProposalNumber {
        self.promised
    }

    /// Whether the quiet period is over, so that this front may promise and acknowledge.
    pub fn may_vote(&self, now: Micros) -> bool {
        now >= self.quiet_until
    }

    /// Whether this front leads.
    pub fn leads(&self) -> bool {
        self.leadership.is_some()
    }

    /// The number of fronts in a majority.
    pub fn majority(&self) -> usize {
        self.majority
    }

    /// The message for a front that last reported the view `their_view`.
    pub fn message_for(&self, their_view: ViewNumber) -> AgreementMessage {
        AgreementMessage {
            promised: self.promised,
            view_number: self.view.number,
            promises: (self.promised > self.view.number.proposal).then_some(self.promises),
            view: (their_view < self.view.number).then_some(self.view),
            renewal: (self.promised == self.view.number.proposal && self.view.number.sequence > 0)
                .then_some(self.renewal),
        }
    }

    /// Merges the message of another front: promises, a newer view, acknowledgements of the current renewal.
    pub fn receive(&mut self, now: Micros, message: &AgreementMessage, effects: &mut Vec<Effect>) {
        if message.promised > self.promised {
            self.promised = message.promised;
            self.promises = Promises::default();
        }
        if let Some(promises) = message
            .promises
            .filter(|_| message.promised == self.promised)
        {
            self.promises.promised_by = self.promises.promised_by.union(&promises.promised_by);
            self.promises.highest_accepted = self
                .promises
                .highest_accepted
                .max(promises.highest_accepted);
        }
        if let Some(view) = message.view.filter(|v| v.number.proposal >= self.promised) {
            if view.number > self.view.number {
                self.promised = view.number.proposal;
                self.view = view;
                self.renewal = Renewal::default();
                effects.push(Effect::Accepted(view));
            }
        }
        if let Some(renewal) = message
            .renewal
            .filter(|_| message.view_number == self.view.number)
        {
            if renewal.sequence > self.renewal.sequence {
                self.renewal = renewal;
            } else if renewal.sequence == self.renewal.sequence {
                self.renewal.acknowledged_by =
                    self.renewal.acknowledged_by.union(&renewal.acknowledged_by);
            }
        }
        if self.leadership.is_some_and(|l| self.promised > l.proposal) {
            self.leadership = None;
            effects.push(Effect::SteppedDown);
        }
        self.vote(now, effects);
    }

    /// Adds the own promise or acknowledgement where it may; as leader, checks whether the renewal has its majority.
    fn vote(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.may_vote(now) {
            if self.promised > self.view.number.proposal
                && !self.promises.promised_by.contains(self.me)
            {
                self.promises.promised_by.insert(self.me);
                self.promises.highest_accepted =
                    self.promises.highest_accepted.max(self.view.number);
            }
            // A front that promised a higher proposal acknowledges no renewal under a lower one.
            if self.promised == self.view.number.proposal && self.view.number.sequence > 0 {
                self.renewal.acknowledged_by.insert(self.me);
            }
        }
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let has_view = self.view.number.proposal == leadership.proposal;
        if has_view
            && !leadership.has_majority
            && self.renewal.acknowledged_by.len() >= self.majority
        {
            (leadership.has_majority, leadership.established) = (true, true);
            effects.push(Effect::Renewed(leadership.renewal_began_at));
        }
    }

    /// Proposes this front as leader, under a number above all that it has heard of.
    pub fn propose(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if !self.may_vote(now) || self.leadership.is_some() {
            return;
        }
        let proposal = ProposalNumber {
            round: self.promised.round.saturating_add(1),
            proposer: self.me,
            process_incarnation: self.process_incarnation,
        };
        self.promised = proposal;
        self.promises = Promises::default();
        self.leadership = Some(Leadership {
            proposal,
            began_at: now,
            ..Leadership::default()
        });
        effects.push(Effect::Disseminate);
        self.vote(now, effects);
    }

    /// Does what is due at `now`; as leader, issues the first view once a majority promised, later views as members change, and
    /// renewals. `next_members` lists the members of the next view if it is time for one.
    pub fn tick(&mut self, now: Micros, next_members: Option<FrontSet>, effects: &mut Vec<Effect>) {
        self.vote(now, effects);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let timed_out = now - leadership.began_at > self.timing.give_up_after;
        if !leadership.established && timed_out {
            self.leadership = None;
            return effects.push(Effect::SteppedDown);
        }
        if self.view.number.proposal < leadership.proposal {
            let first = next_members.filter(|_| self.promises.promised_by.len() >= self.majority);
            return first.into_iter().for_each(|members| {
                let number = ViewNumber {
                    proposal: self.promised,
                    sequence: 1,
                };
                self.issue(
                    now,
                    View {
                        number,
                        previous: self.promises.highest_accepted,
                        members,
                    },
                    effects,
                );
            });
        }
        let previous = self.view.number;
        if let Some(members) =
            next_members.filter(|m| leadership.has_majority && *m != self.view.members)
        {
            let number = ViewNumber {
                sequence: previous.sequence + 1,
                ..previous
            };
            return self.issue(
                now,
                View {
                    number,
                    previous,
                    members,
                },
                effects,
            );
        }
        let (has_majority, elapsed) = (leadership.has_majority, now - leadership.renewal_began_at);
        if (has_majority && elapsed >= self.timing.renewal_interval)
            || (!has_majority && elapsed > self.timing.give_up_after)
        {
            (leadership.renewal_began_at, leadership.has_majority) = (now, false);
            self.renewal = Renewal {
                sequence: self.renewal.sequence.saturating_add(1),
                acknowledged_by: FrontSet::default(),
            };
            effects.push(Effect::Disseminate);
            self.vote(now, effects);
        }
    }

    /// As leader: accepts a new view here and has it disseminated; its first renewal begins now.
    fn issue(&mut self, now: Micros, view: View, effects: &mut Vec<Effect>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        (leadership.renewal_began_at, leadership.has_majority) = (now, false);
        self.view = view;
        self.renewal = Renewal::default();
        effects.extend([Effect::Accepted(view), Effect::Disseminate]);
        self.vote(now, effects);
    }
}

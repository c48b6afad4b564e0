//! Membership of the cluster scheduler's processes: SWIM with Lifeguard's extensions, for a membership list that grows and
//! shrinks.
//!
//! Start reading at [`swim::Swim`], the state machine of one member. It has no I/O, clock or source of randomness of its
//! own: a driver (`cluster-node`) owns the UDP socket and the timer, and passes it datagrams and the time. Members send
//! each other a [`datagram`] with a [`message`]. The rest of a process reads the [`live_table`], which also selects the home
//! front of each zone.
//!
//! No decision that affects safety may depend on this crate: the live table of one process, or of all processes, may be
//! wrong for some time.
//!
//! # Sources
//!
//! - A. Das, I. Gupta, A. Motivala: *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol*
//!   (DSN 2002), for pings, ping requests, suspicion, incarnation numbers and dissemination.
//! - A. Dadgar, J. Phillips, J. Currey: *Lifeguard: Local Health Awareness for More Accurate Failure Detection* (2018),
//!   for local health, nacks, and timeouts of suspicions that shrink with confirmations.
//!
//! # Why there are two SWIM detectors
//!
//! The crate `lupinrack-fleet-membership` also has a SWIM detector, for the fronts in one configured list. Both use
//! `lupinrack-failure-detection` to compute local health, suspicion timeouts and numbers of transmissions. The rest is not
//! shared, for these reasons:
//!
//! - There, members are indices into a fixed list, stored in arrays and bit sets of that length, and the processes at an
//!   address are ordered by their start time. Here, members are addresses that are added and removed at run time, and
//!   processes are identified by random numbers without an order, so SWIM incarnation numbers have to rise across the
//!   processes at an address.
//! - There, every front pings a suspect before it is considered dead, which keeps false deaths rare among tens of fronts but
//!   costs more as the list grows. Here, the number of messages that a process sends in a period is bounded at any size.
//! - There, a process reads the list from its settings. Here, it reads seeds from its settings, and pages of the membership
//!   list from other members.

pub mod datagram;
mod dissemination;
mod earlier_members;
mod list_sync;
pub mod live_table;
pub mod member_state;
pub mod member_update;
mod membership_list;
pub mod message;
mod own_member;
mod pending_ping;
mod period_clock;
mod ping_order;
mod pings;
mod relayed_pings;
pub mod settings;
mod suspicion;
pub mod swim;

pub use datagram::Datagram;
pub use live_table::{LiveMember, LiveTable};
pub use member_state::MemberState;
pub use member_update::MemberUpdate;
pub use message::Message;
pub use settings::SwimSettings;
pub use swim::{Outgoing, Swim};

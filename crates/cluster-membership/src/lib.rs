//! Membership of the cluster scheduler's processes: SWIM with Lifeguard's extensions, for a membership list that grows and
//! shrinks.
//!
//! Start reading at [`swim::Swim`], the state machine of one member. It has no I/O, clock or source of randomness of its
//! own: a driver (`cluster-node`) owns the UDP socket and the timer, and passes it datagrams and the time.
//! [`datagram`] and [`message`] are what members send each other, [`live_table`] is what the rest of a process reads:
//! among other things which process is the home of a zone.
//!
//! No decision whose safety matters may depend on this crate: every answer may be wrong for a while, at one process or
//! at all.
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
//! The crate `lupinrack-fleet-membership` has a SWIM detector too, for the fronts of one configured list. Both take their
//! arithmetic (local health, timeouts of suspicions, transmissions) from `lupinrack-failure-detection`. The rest is not
//! shared, for these reasons:
//!
//! - There, members are indices into a fixed list, kept in arrays and bit sets of that length, and the processes at an
//!   address are ordered by their time of start. Here, members are addresses that come, go and are forgotten, and
//!   processes are told apart by random numbers without an order, so SWIM incarnation numbers have to rise across them.
//! - There, a suspect is pinged by everybody before it is considered dead, which keeps mistakes rare among tens of fronts
//!   but costs more the larger the list is. Here, the messages of a process in a period are bounded whatever the size.
//! - There, everybody learns the list from its settings; here, from seeds and pages of the membership list.

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

//! Which processes of the cluster scheduler are there: SWIM probing with indirect probes, suspicion, and refutation by
//! incarnation, for a roster that grows and shrinks.
//!
//! [`swim::Swim`] is a state machine without I/O, clock or randomness of its own. [`datagram`] is what it sends,
//! [`live_table`] what others read of it, among it which process is the home of a zone. Nothing that is decided safely
//! may depend on it: every answer here may be wrong for a while, at one process or at all.
//!
//! The crate `lupinrack-fleet-membership` has a SWIM detector too, for the fronts of one configured list. Both take their
//! arithmetic (local health, length of suspicions, retransmissions) from `lupinrack-failure-detection`. The rest is not
//! shared, for these reasons:
//!
//! - There, members are indices into a fixed list, kept in arrays and bit sets of that length, and lives are ordered by
//!   their time of start. Here, members are addresses that come, go and are forgotten, and lives are random numbers
//!   without an order, so incarnations have to rise across lives.
//! - There, a suspect is probed by everybody before it is held for dead, which keeps mistakes rare among tens of fronts
//!   but costs more the larger the roster is. Here, the messages of a process in a period are bounded whatever the size.
//! - There, everybody learns the roster from its settings; here, from seeds and pages of the roster.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod datagram;
mod dissemination;
pub mod live_table;
pub mod member_update;
mod membership_list;
mod ping_order;
pub mod settings;
mod suspicion;
pub mod swim;

pub use datagram::{Datagram, Message};
pub use live_table::{LiveMember, LiveTable};
pub use member_update::{MemberState, MemberUpdate};
pub use settings::SwimSettings;
pub use swim::{Outgoing, Swim};

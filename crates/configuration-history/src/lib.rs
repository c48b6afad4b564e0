//! Linearizability checking for histories of configuration calls.
//!
//! A test or simulation records each [`Call`] and its [`Response`], with their times, in a
//! [`History`]. [`History::check`] then decides whether the history is linearizable
//! (Herlihy and Wing, "Linearizability: a correctness condition for concurrent objects", TOPLAS
//! 1990): whether every call can have taken effect atomically at some point between its invocation
//! and its response, such that the responses are those of a single [`Register`], the sequential
//! specification of the configuration.
//!
//! ```
//! use lupinrack_configuration_history::{Call, ChangeId, ConditionalChange, History, Response};
//!
//! let mut history = History::default();
//! let change = ConditionalChange { id: ChangeId(1), base_version: 0, new_version: 5, is_valid: true };
//! let first = history.invoke(Call::Change(change), 10);
//! history.respond(first, Response::Indeterminate, 1_010);
//! let retry = history.invoke(Call::Change(change), 1_100);
//! history.respond(retry, Response::Acknowledged, 1_150);
//! let read = history.invoke(Call::Read, 1_200);
//! history.respond(read, Response::Observed { version: 5, change: Some(ChangeId(1)) }, 1_210);
//! assert_eq!(history.check(), Ok(vec![ChangeId(1)]));
//! ```
//!
//! Times may have any unit, but all of them come from one clock that all callers share. Calls whose
//! intervals touch count as concurrent. The crate is for tests and simulations: nothing in a
//! deployed process depends on it.
//!
//! Start reading at [`Register`], then `linearization.rs`, which implements the search.

mod call;
mod call_record;
mod history;
mod linearization;
mod register;
mod response;

pub use call::{Call, ChangeId, ConditionalChange};
pub use call_record::{CallNumber, CallRecord};
pub use history::History;
pub use linearization::NotLinearizable;
pub use register::Register;
pub use response::Response;

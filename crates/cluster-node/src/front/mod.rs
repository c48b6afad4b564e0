//! A front: accepts clients' calls, checks them, and forwards them to the head of the chain.

pub mod client_call;
pub mod configuration_feed;
pub mod home_front;
pub mod known_configuration;
pub mod machine;
pub(crate) mod process;
pub mod update_relay;

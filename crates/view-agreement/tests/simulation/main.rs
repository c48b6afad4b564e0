//! Seeded simulations of the agreement, with random proposals and with proposals of the policy.

mod checker;
mod links;
mod machine;
mod one_way_links;
mod random_proposals;
mod replacement;
mod with_policy;
mod world;

//! Seeded simulations of the agreement, with proposals at random and by the policy.

mod checker;
mod links;
mod machine;
mod one_way_links;
mod random_proposals;
mod replacement;
mod with_policy;
mod world;

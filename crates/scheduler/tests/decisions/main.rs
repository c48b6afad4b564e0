//! Decisions of the scheduler in single situations.

mod bench;
mod best_fit;
mod eviction;
mod hand_overs;
mod inferred_ends;
mod last_attempts;
mod late_messages;
mod leases;
mod many_occurrences;
mod namesakes;
mod orders;
mod placement;
mod policy;
mod queued_behind_urgent_work;
mod reserved_capacity;
mod stalled_owner;
mod unproposed_starts;
mod wait_reports;

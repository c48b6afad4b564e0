//! Single decisions of the scheduler, one situation each.

mod bench;
mod fit;
mod lapses;
mod late;
mod orders;
mod placement;
mod replays;
mod room;
mod unlisted;

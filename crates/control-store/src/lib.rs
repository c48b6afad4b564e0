//! What a core process keeps on its disk: votes, snapshot and log.

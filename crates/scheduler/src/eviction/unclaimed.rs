//! What is left of the servers after a placement, to see where work could move.

use crate::placement::candidate::Row;
use crate::resources::{difference, fits, sum};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::job::Resources;

/// One server's spare room.
#[derive(Clone, Debug)]
pub struct SpareRow {
    /// The row that it belongs to.
    pub row: Row,
    /// What nobody has claimed.
    pub left: Resources,
}

/// The spare room of all servers.
#[derive(Clone, Debug)]
pub struct Spare {
    /// By server, in the order of the rows.
    pub rows: Vec<SpareRow>,
}

impl Spare {
    /// What is free now beside all queued work.
    pub fn beside_queues(rows: &[Row]) -> Spare {
        let spare = |row: &Row| SpareRow {
            row: row.clone(),
            left: row.free_for(u32::MAX),
        };
        Spare {
            rows: rows.iter().map(spare).collect(),
        }
    }

    /// What is free now; queued work is not counted.
    pub fn before_queues(rows: Vec<Row>) -> Spare {
        let spare = |row: Row| SpareRow {
            left: row.free,
            row,
        };
        Spare {
            rows: rows.into_iter().map(spare).collect(),
        }
    }

    /// Claims room on a server with this label; tells whether there was any. Suspected servers have none.
    pub fn claim(&mut self, needs: &Resources, requires: &str) -> bool {
        let found = self.rows.iter_mut().find(|spare| {
            !spare.row.suspected && spare.row.has_label(requires) && fits(needs, &spare.left)
        });
        match found {
            Some(spare) => {
                spare.left = difference(&spare.left, needs);
                true
            }
            None => false,
        }
    }

    /// Adds room that is about to be free on a server.
    pub fn add(&mut self, server: &ServerId, room: &Resources) {
        if let Some(spare) = self
            .rows
            .iter_mut()
            .find(|spare| spare.row.server == *server)
        {
            spare.left = sum(&spare.left, room);
        }
    }
}

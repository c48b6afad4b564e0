//! HYBRID-DSFQ over the tasks that wait for each server.

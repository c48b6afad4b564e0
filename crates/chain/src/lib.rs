//! Chain replication of the control state's log.

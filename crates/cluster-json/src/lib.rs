//! JSON forms of the cluster scheduler's outside interfaces: jobs, their states, configurations.

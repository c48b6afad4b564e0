//! The settings file of a process of the cluster scheduler.

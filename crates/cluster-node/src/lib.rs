//! A process of the cluster scheduler: the driver of its state machines.

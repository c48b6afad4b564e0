//! Sockets of the cluster scheduler: internal connections and HTTP.

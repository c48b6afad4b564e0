//! Placement of tasks on servers, and what the owner of a service orders.

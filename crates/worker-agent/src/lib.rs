//! The agent beside each server: heartbeats in, starts and stops out.

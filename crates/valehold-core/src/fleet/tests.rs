//! Tests of the fleet's decisions.

mod adapters;
mod catalog;
mod event;
mod health;
mod replicas;
mod share;

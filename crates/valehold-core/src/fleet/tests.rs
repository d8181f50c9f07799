//! Tests of the fleet's decisions.

mod adapters;
mod catalog;
mod event;
mod health;
mod pace;
mod replicas;
mod share;
mod turned_away;

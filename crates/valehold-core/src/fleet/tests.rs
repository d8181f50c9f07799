//! Tests of the fleet's decisions.

mod adapters;
mod asked;
mod bound;
mod catalog;
mod choice;
mod cold;
mod crashes;
mod evacuation;
mod event;
mod health;
mod known;
mod lapsed;
mod leaving;
mod pace;
mod paces;
mod peaks;
mod replicas;
mod replicas_in_bounds;
mod rest;
mod share;
mod slot_time;
mod topology;
mod turned_away;
mod usage;
mod ways;
mod workspace;

//! Tests of the fleet's decisions.

//! Ports towards the platform, engines and plain services.
//!
//! A port is a trait, [`port::Table`] for one, with the types that cross it.
//! The decisions and the instance know only the ports. The modules under
//! [`http`] speak them in the wire format of this project's stand-ins;
//! another wire format is one more adapter there.
//!
//! [`budget`] keeps within an instance's share of the table, and
//! [`store`] stands on the table's port and makes each write's outcome
//! certain.

pub mod budget;
pub mod error;
pub mod http;
pub mod left_out;
pub mod port;
pub mod store;

pub use crate::error::{PortError, PortErrorKind};

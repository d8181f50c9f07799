//! Requests that crash the upstreams that run them.

mod content;

pub use self::content::RequestContent;

//! What an engine can do at once, as declared.

/// What an engine can do at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests that it decodes at once.
    pub slots: f64,
    /// Prompt tokens that it reads in a second.
    pub tokens_read: f64,
}

//! Printing, as text or as JSON.

use serde_json::Value;

/// How to print.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Prints a value, as JSON or with the given text.
pub fn print(format: Format, value: &Value, text: impl Fn(&Value) -> String) {
    match format {
        Format::Json => println!("{value:#}"),
        Format::Text => print!("{}", text(value)),
    }
}

/// Returns a text member of a value, or `""`.
pub fn text_of<'a>(value: &'a Value, name: &str) -> &'a str {
    value.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Returns the members of a list in a value.
pub fn list_of<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    let list = value.get(name).and_then(Value::as_array);
    list.map_or(&[], Vec::as_slice)
}

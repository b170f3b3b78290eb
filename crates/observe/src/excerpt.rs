//! Bounds what log lines hold of texts that clients choose.

/// The longest excerpt in bytes. A line holds a few of them, so that the queue of lines is bounded in bytes,
/// too.
const EXCERPT_BYTES: usize = 256;

/// Returns the start of a text, for a log line.
#[must_use]
pub fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(EXCERPT_BYTES)]
}

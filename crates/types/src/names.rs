//! Names as shared immutable strings.

/// The name of a host, availability zone, workspace, endpoint, database or preset.
///
/// Cloning shares the text and never copies it.
pub type Name = arcstr::ArcStr;

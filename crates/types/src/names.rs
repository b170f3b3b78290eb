//! Names as shared immutable strings.

/// The name of a host, availability zone, workspace, endpoint, database or preset.
///
/// Cloning a name shares its text.
pub type Name = arcstr::ArcStr;

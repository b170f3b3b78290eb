//! Access control: which workspace may use which database.

use goldcrest_frontend::AdmitError;
use goldcrest_settings::{Settings, Workspace};

/// Checks that a workspace with this password may use a database.
pub(crate) fn admit(
    settings: &Settings,
    workspace: &str,
    database: &str,
    password: Option<&str>,
) -> Result<(), AdmitError> {
    let Some(found) = find(settings, workspace) else {
        return Err(AdmitError::Authentication);
    };
    if found.password.as_deref() != password {
        return Err(AdmitError::Authentication);
    }
    let unrestricted = found.databases.is_empty();
    if unrestricted || found.databases.iter().any(|d| d == database) {
        return Ok(());
    }
    Err(AdmitError::Forbidden)
}

/// Whether a workspace must give a password. Unknown workspaces must too, so that clients can't
/// find out which names exist.
pub(crate) fn needs_password(settings: &Settings, workspace: &str) -> bool {
    find(settings, workspace).is_none_or(|w| w.password.is_some())
}

fn find<'a>(settings: &'a Settings, workspace: &str) -> Option<&'a Workspace> {
    settings.workspaces.iter().find(|w| w.name == workspace)
}

//! Which workspace may use which database.

use goldcrest_frontend::AdmitError;
use goldcrest_settings::{Settings, Workspace};

/// Admits a workspace with its password to a database.
pub(crate) fn admit(
    settings: &Settings,
    workspace: &str,
    database: &str,
    password: Option<&str>,
) -> Result<(), AdmitError> {
    let Some(found) = find(settings, workspace) else {
        return Err(AdmitError::Account);
    };
    if found.password.as_deref() != password {
        return Err(AdmitError::Account);
    }
    let open = found.databases.is_empty();
    if open || found.databases.iter().any(|d| d == database) {
        return Ok(());
    }
    Err(AdmitError::Database)
}

/// Whether a workspace must give a password. Unknown ones must, so that names can't be probed.
pub(crate) fn guarded(settings: &Settings, workspace: &str) -> bool {
    find(settings, workspace).is_none_or(|d| d.password.is_some())
}

fn find<'a>(settings: &'a Settings, workspace: &str) -> Option<&'a Workspace> {
    settings.workspaces.iter().find(|d| d.name == workspace)
}

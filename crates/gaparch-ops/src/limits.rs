//! Limits that operators may change while the router runs.

use crate::book::Denied;
use gaparch_protocol::ops::intent::LimitView;
use gaparch_protocol::ops::DenyCode;

/// Requests taken and not yet ended.
pub const OPEN_REQUESTS: &str = "open-requests";

/// The name of a tenant's limit: its requests a second within its share.
pub fn tenant_limit(tenant: &str) -> String {
    format!("tenant.{tenant}.requests-per-second")
}

/// The tenant of such a name.
pub fn limited_tenant(name: &str) -> Option<&str> {
    name.strip_prefix("tenant.")?.strip_suffix(".requests-per-second")
}

/// What setting a limit does, in words.
///
/// # Errors
/// When there is no such limit, or not that far.
pub fn check(name: &str, value: Option<f64>, limits: &[LimitView]) -> Result<String, Denied> {
    let Some(limit) = limits.iter().find(|l| l.name == name) else {
        let known: Vec<&str> = limits.iter().map(|l| l.name.as_str()).take(20).collect();
        let message = format!("there is no limit '{name}'; there are {}", known.join(", "));
        return Err(Denied::new(DenyCode::Unknown, message));
    };
    let to = value.unwrap_or(limit.by_settings);
    if !to.is_finite() || to < limit.least || to > limit.most {
        let message = format!("{name} goes from {} to {} {}", limit.least, limit.most, limit.unit);
        return Err(Denied::new(DenyCode::Invalid, message));
    }
    Ok(format!("{name} goes from {} to {to} {}", limit.value, limit.unit))
}

//! Limits that operators can change while the router runs.

use crate::review::OrderDenied;
use gaparch_protocol::ops::intent::LimitView;
use gaparch_protocol::ops::DenyCode;

/// The name of the limit of open requests: those accepted and not yet ended.
pub const OPEN_REQUESTS: &str = "open-requests";
/// The most limits that an error message lists.
const MAX_LISTED_LIMITS: usize = 20;

/// The name of the limit of a tenant's requests a second within its quota.
pub fn tenant_limit(tenant: &str) -> String {
    format!("tenant.{tenant}.requests-per-second")
}

/// The tenant whose limit has this name, if it is a tenant's.
pub fn limited_tenant(name: &str) -> Option<&str> {
    name.strip_prefix("tenant.")?.strip_suffix(".requests-per-second")
}

/// What setting a limit does, for people. `None`: to the value in the settings.
///
/// # Errors
/// When there is no such limit, or the value is outside of its bounds.
pub fn check(name: &str, value: Option<f64>, limits: &[LimitView]) -> Result<String, OrderDenied> {
    let Some(limit) = limits.iter().find(|limit| limit.name == name) else {
        let known: Vec<&str> =
            limits.iter().map(|limit| limit.name.as_str()).take(MAX_LISTED_LIMITS).collect();
        let message = format!("there is no limit '{name}'; there are {}", known.join(", "));
        return Err(OrderDenied::new(DenyCode::Unknown, message));
    };
    let LimitView { value: old_value, min, max, unit, .. } = limit;
    let new_value = value.unwrap_or(limit.configured_value);
    if !new_value.is_finite() || new_value < *min || new_value > *max {
        let message = format!("{name} goes from {min} to {max} {unit}");
        return Err(OrderDenied::new(DenyCode::Invalid, message));
    }
    Ok(format!("{name} goes from {old_value} to {new_value} {unit}"))
}

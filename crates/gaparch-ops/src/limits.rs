//! Limits that operators can change while the router runs.

use crate::review::OrderDenied;
use gaparch_protocol::ops::intent::LimitView;
use gaparch_protocol::ops::DenyCode;

/// The name of the limit on open requests, which are those accepted and not yet ended.
pub const OPEN_REQUESTS: &str = "open-requests";
/// Maximum number of limits listed in an error message.
const MAX_LISTED_LIMITS: usize = 20;

/// Returns the name of the limit on a tenant's requests per second, its quota.
pub fn tenant_limit(tenant: &str) -> String {
    format!("tenant.{tenant}.requests-per-second")
}

/// Returns the tenant of a limit with this name, if it is the limit of a tenant.
pub fn limited_tenant(name: &str) -> Option<&str> {
    name.strip_prefix("tenant.")?.strip_suffix(".requests-per-second")
}

/// Checks the new value of a limit and describes the effect. `None` stands for the value in the settings.
///
/// # Errors
/// When the limit doesn't exist, or the value is out of its bounds.
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

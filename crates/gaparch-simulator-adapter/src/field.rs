//! Parsers for the fields of the simulator's events.

use crate::error::BatchError;
use gaparch_platform_settings::whole_number;
use gaparch_scheduler::api::{AttemptNumber, Nanos, RequestId, ServerId};
use serde_json::Value;

/// The kind of an event; `event` if it has none.
pub fn kind(event: &Value) -> &str {
    event["t"].as_str().unwrap_or("event")
}

/// A required field of an event, parsed by `parse`.
///
/// # Errors
/// If the field is missing, or `parse` returns `None`.
pub fn required<'v, T>(
    event: &'v Value,
    field: &'static str,
    parse: impl Fn(&'v Value) -> Option<T>,
) -> Result<T, BatchError> {
    let Some(value) = event.get(field) else {
        return Err(BatchError::MissingField { event: kind(event).to_owned(), field });
    };
    parse(value).ok_or_else(|| BatchError::InvalidField {
        event: kind(event).to_owned(),
        field,
        value: value.clone(),
    })
}

/// The id of a request.
pub fn request_id(value: &Value) -> Option<RequestId> {
    whole_number(value).map(RequestId)
}

/// The id of a server.
pub fn server_id(value: &Value) -> Option<ServerId> {
    u32::try_from(whole_number(value)?).ok().map(ServerId)
}

/// The number of an attempt.
pub fn attempt_number(value: &Value) -> Option<AttemptNumber> {
    u32::try_from(whole_number(value)?).ok().map(AttemptNumber)
}

/// A time; a negative one, before the zero of the clock, becomes 0.
pub fn time_or_past(value: &Value) -> Option<Nanos> {
    whole_number(value).or_else(|| value.as_f64().map(|_| 0))
}

/// The value itself, if it is an object.
pub fn object(value: &Value) -> Option<&Value> {
    value.as_object().map(|_| value)
}

/// A seed, which may be negative in the JSON.
pub fn seed(value: &Value) -> Option<u64> {
    whole_number(value).or_else(|| value.as_i64().map(|seed| seed as u64))
}

/// Bytes in hexadecimal notation.
pub fn hex_bytes(value: &Value) -> Option<Vec<u8>> {
    let text = value.as_str()?;
    let digits = text.chars().map(|digit| digit.to_digit(16).map(|value| value as u8));
    let digits: Vec<u8> = digits.collect::<Option<_>>()?;
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    Some(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}

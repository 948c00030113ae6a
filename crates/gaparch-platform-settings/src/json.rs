//! Reads values of the settings object. No function fails: a value of the wrong type counts as absent.

use serde_json::Value;

/// Returns the items of an array; none if the value is not an array.
pub(crate) fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns the strings of an array, with an empty one for each item that is not a string.
pub(crate) fn strings(value: &Value) -> Vec<String> {
    items(value).iter().map(string).collect()
}

/// Returns a string; an empty one if the value is not a string.
pub(crate) fn string(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns a flag; `false` if the value is not a boolean.
pub(crate) fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

/// Returns a finite, non-negative number; `None` for any other value.
pub fn non_negative_number(value: &Value) -> Option<f64> {
    let number = value.as_f64()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Returns a number like [`non_negative_number`], without its fraction.
pub fn whole_number(value: &Value) -> Option<u64> {
    let exact = value.as_u64();
    exact.or_else(|| non_negative_number(value).map(|number| number as u64))
}

/// Returns the position of the first of `names` that equals the string `value`.
pub fn index_of(names: &[String], value: &Value) -> Option<usize> {
    let name = value.as_str()?;
    names.iter().position(|candidate| candidate == name)
}

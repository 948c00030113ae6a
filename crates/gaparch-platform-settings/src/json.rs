//! Values of the settings object. Nothing here fails: a value of another type counts as absent.

use serde_json::Value;

/// The items of an array; none where the value is not an array.
pub(crate) fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// The texts of an array, an empty one for each item that is not a text.
pub(crate) fn texts(value: &Value) -> Vec<String> {
    items(value).iter().map(text).collect()
}

/// A text; empty where the value is not a text.
pub(crate) fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// A flag; `false` where the value is not a boolean.
pub(crate) fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

/// Reads a finite number that is not negative; `None` for any other value.
pub fn non_negative_number(value: &Value) -> Option<f64> {
    let number = value.as_f64()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Reads a number as [`non_negative_number`] does, without its fraction.
pub fn whole_number(value: &Value) -> Option<u64> {
    let exact = value.as_u64();
    exact.or_else(|| non_negative_number(value).map(|number| number as u64))
}

/// Finds the first of `names` that equals the text `value`, and returns its position.
pub fn index_of(names: &[String], value: &Value) -> Option<usize> {
    let name = value.as_str()?;
    names.iter().position(|candidate| candidate == name)
}

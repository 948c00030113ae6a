//! Paths to positions within a JSON value.

use serde_json::Value as Json;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// A path within a JSON value, such as `message.usage.input_tokens` or `content[0].text`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JsonPath(Vec<Segment>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Segment {
    Key(String),
    Index(usize),
}

/// The highest array index in a path. It bounds the length of the arrays that [`JsonPath::insert`] creates.
const MAX_INDEX: usize = 15;

impl JsonPath {
    /// Parses a path; `None` if the syntax is wrong or an index is above 15.
    pub fn parse(text: &str) -> Option<JsonPath> {
        let segments = segments.parse(text).ok()?;
        let in_bounds = |segment: &Segment| !matches!(segment, Segment::Index(index) if *index > MAX_INDEX);
        segments.iter().all(in_bounds).then_some(JsonPath(segments))
    }

    /// Returns the value at this path.
    pub(in crate::client) fn get<'j>(&self, json: &'j Json) -> Option<&'j Json> {
        self.0.iter().try_fold(json, |json, segment| match segment {
            Segment::Key(key) => json.get(key),
            Segment::Index(index) => json.get(index),
        })
    }

    /// Inserts a value at this path and creates the objects and arrays around it. Returns false if another
    /// value already occupies the path.
    pub(super) fn insert(&self, json: &mut Json, value: Json) -> bool {
        let mut target = json;
        for segment in &self.0 {
            let Some(next) = child(target, segment) else { return false };
            target = next;
        }
        let is_free = target.is_null();
        if is_free {
            *target = value;
        }
        is_free
    }
}

/// Returns the child of a value that a segment refers to, and creates it if it does not exist; `None` if the
/// value is of another type.
fn child<'j>(parent: &'j mut Json, segment: &Segment) -> Option<&'j mut Json> {
    if parent.is_null() {
        *parent = match segment {
            Segment::Key(_) => Json::Object(Default::default()),
            Segment::Index(_) => Json::Array(Vec::new()),
        };
    }
    match (segment, parent) {
        (Segment::Key(key), Json::Object(map)) => Some(map.entry(key.clone()).or_insert(Json::Null)),
        (Segment::Index(index), Json::Array(list)) => {
            if list.len() <= *index {
                list.resize(*index + 1, Json::Null);
            }
            list.get_mut(*index)
        }
        _ => None,
    }
}

impl std::fmt::Display for JsonPath {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().enumerate().try_for_each(|(position, segment)| match segment {
            Segment::Key(key) if position == 0 => f.write_str(key),
            Segment::Key(key) => write!(f, ".{key}"),
            Segment::Index(index) => write!(f, "[{index}]"),
        })
    }
}

fn segments(input: &mut &str) -> ModalResult<Vec<Segment>> {
    let first = key.parse_next(input)?;
    let rest: Vec<Segment> = repeat(0.., alt((preceded('.', key), index))).parse_next(input)?;
    Ok(std::iter::once(first).chain(rest).collect())
}

fn key(input: &mut &str) -> ModalResult<Segment> {
    let is_key_character = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    take_while(1.., is_key_character).map(|key: &str| Segment::Key(key.to_owned())).parse_next(input)
}

fn index(input: &mut &str) -> ModalResult<Segment> {
    delimited('[', digit1.parse_to::<usize>(), ']').map(Segment::Index).parse_next(input)
}

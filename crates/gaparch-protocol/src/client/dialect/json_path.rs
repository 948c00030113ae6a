//! Paths to places in a JSON value.

use serde_json::Value as Json;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// A place in a JSON value, such as `message.usage.input_tokens` or `content[0].text`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JsonPath(Vec<Segment>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Segment {
    Key(String),
    Index(usize),
}

/// The highest index that a path may name. It bounds the length of the lists that [`JsonPath::insert`] makes.
const MAX_INDEX: usize = 15;

impl JsonPath {
    /// Parses a path; `None` where the text is not one or names an index above 15.
    pub fn parse(text: &str) -> Option<JsonPath> {
        let segments = segments.parse(text).ok()?;
        let in_bounds = |segment: &Segment| !matches!(segment, Segment::Index(index) if *index > MAX_INDEX);
        segments.iter().all(in_bounds).then_some(JsonPath(segments))
    }

    /// The value at this place.
    pub(in crate::client) fn get<'j>(&self, json: &'j Json) -> Option<&'j Json> {
        self.0.iter().try_fold(json, |json, segment| match segment {
            Segment::Key(key) => json.get(key),
            Segment::Index(index) => json.get(index),
        })
    }

    /// Inserts a value at this place and makes the objects and lists around it; false where another value is in
    /// the way.
    pub(super) fn insert(&self, json: &mut Json, value: Json) -> bool {
        let mut place = json;
        for segment in &self.0 {
            let Some(next) = child(place, segment) else { return false };
            place = next;
        }
        let is_free = place.is_null();
        if is_free {
            *place = value;
        }
        is_free
    }
}

/// The child of a value that is named by the segment, made if it isn't there; `None` where the value is of another
/// type.
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

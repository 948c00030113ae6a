//! An XML text as a tree whose nodes know their lines.

use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;

/// Deepest nesting of elements that is accepted; no settings need more.
const MAX_DEPTH: usize = 16;
/// Most elements that are accepted.
const MAX_NODES: usize = 100_000;

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {place}: {message}")]
pub struct Problem {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// The element, in angle brackets, with the attribute if one is wrong.
    pub place: String,
    /// What is wrong, and what is wanted.
    pub message: String,
}

impl Problem {
    pub(crate) fn at(node: &Node, message: impl Into<String>) -> Problem {
        Problem { line: node.line, place: format!("<{}>", node.name), message: message.into() }
    }

    pub(crate) fn attribute(node: &Node, attribute: &str, message: impl Into<String>) -> Problem {
        Problem { line: node.line, place: format!("<{} {attribute}>", node.name), message: message.into() }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub name: String,
    pub line: usize,
    pub attributes: Vec<(String, String)>,
    pub children: Vec<Node>,
    pub text: String,
}

impl Node {
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn children<'n>(&'n self, name: &'n str) -> impl Iterator<Item = &'n Node> + 'n {
        self.children.iter().filter(move |c| c.name == name)
    }

    /// All elements of that name below this one, in the order of the text.
    pub fn all<'n>(&'n self, name: &str) -> Vec<&'n Node> {
        let mut found = Vec::new();
        self.collect(name, &mut found);
        found
    }

    fn collect<'n>(&'n self, name: &str, found: &mut Vec<&'n Node>) {
        for child in &self.children {
            if child.name == name {
                found.push(child);
            }
            child.collect(name, found);
        }
    }
}

/// Reads an XML text; its one element.
pub(crate) fn parse(text: &str) -> Result<Node, Problem> {
    let mut reader = Reader::from_str(text);
    let mut lines = Lines { text, at: 0, line: 1 };
    // The first stands for the document.
    let mut open = vec![Node::default()];
    let mut nodes = 0;
    loop {
        let line = lines.up_to(reader.buffer_position());
        let wrong = |message: String| Problem { line, place: "XML".to_owned(), message };
        let event = reader.read_event();
        let line = lines.up_to(reader.error_position().max(reader.buffer_position()));
        let event = event.map_err(|e| Problem { line, place: "XML".to_owned(), message: e.to_string() })?;
        match event {
            Event::Start(start) | Event::Empty(start) if open.len() > MAX_DEPTH || nodes >= MAX_NODES => {
                let name = String::from_utf8_lossy(start.name().as_ref()).into_owned();
                return Err(wrong(format!("<{name}>: too many elements, or too deep")));
            }
            Event::Start(start) => {
                nodes += 1;
                open.push(node(&start, line)?);
            }
            Event::Empty(start) => {
                nodes += 1;
                let node = node(&start, line)?;
                parent(&mut open).children.push(node);
            }
            Event::End(_) => {
                let done = open.pop().unwrap_or_default();
                parent(&mut open).children.push(done);
            }
            Event::Text(bytes) => {
                let text = bytes.decode().map_err(|e| wrong(e.to_string()))?;
                parent(&mut open).text.push_str(text.trim());
            }
            Event::CData(bytes) => {
                let text = bytes.decode().map_err(|e| wrong(e.to_string()))?;
                parent(&mut open).text.push_str(&text);
            }
            Event::GeneralRef(_) => parent(&mut open).text.push('&'),
            Event::DocType(_) => return Err(wrong("a document type is not taken".to_owned())),
            Event::Decl(_) | Event::PI(_) | Event::Comment(_) => {}
            Event::Eof => break,
        }
    }
    let line = lines.up_to(text.len() as u64);
    if let Some(unclosed) = open.get(1) {
        return Err(Problem::at(unclosed, "is never closed"));
    }
    let mut document = open.pop().unwrap_or_default();
    match (document.children.pop(), document.children.is_empty()) {
        (Some(root), true) => Ok(root),
        _ => Err(Problem { line, place: "XML".to_owned(), message: "one element is wanted".to_owned() }),
    }
}

fn parent(open: &mut [Node]) -> &mut Node {
    // The document's own node is never popped: an end without a start is an error of the reader.
    let last = open.len() - 1;
    &mut open[last]
}

fn node(start: &BytesStart<'_>, line: usize) -> Result<Node, Problem> {
    let name = String::from_utf8_lossy(start.name().as_ref()).into_owned();
    let mut node = Node { name, line, ..Node::default() };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| Problem::at(&node, e.to_string()))?;
        let key = String::from_utf8_lossy(attribute.key.as_ref()).into_owned();
        let value = String::from_utf8_lossy(&attribute.value).into_owned();
        let value = quick_xml::escape::unescape(&value).map(std::borrow::Cow::into_owned);
        let value = value.map_err(|e| Problem::attribute(&node, &key, e.to_string()))?;
        node.attributes.push((key, value));
    }
    Ok(node)
}

struct Lines<'t> {
    text: &'t str,
    at: usize,
    line: usize,
}

impl Lines<'_> {
    fn up_to(&mut self, position: u64) -> usize {
        let position = usize::try_from(position).unwrap_or(usize::MAX).clamp(self.at, self.text.len());
        self.line += self.text.as_bytes()[self.at..position].iter().filter(|b| **b == b'\n').count();
        self.at = position;
        self.line
    }
}

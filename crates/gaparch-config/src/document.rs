//! Parses XML into a tree whose nodes keep their line numbers.

use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;

/// Maximum nesting depth of elements; no settings file needs more.
const MAX_DEPTH: usize = 16;
/// Maximum number of elements in a document.
const MAX_NODES: usize = 100_000;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {place}: {message}")]
pub struct Problem {
    /// Line number in the file, counted from 1.
    pub line: usize,
    /// The element in angle brackets, with the attribute if the error is in one.
    pub place: String,
    /// What is wrong and what is expected.
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

    /// Returns all descendants with this name, in document order.
    pub fn descendants<'n>(&'n self, name: &str) -> Vec<&'n Node> {
        let mut found = Vec::new();
        self.collect_descendants(name, &mut found);
        found
    }

    fn collect_descendants<'n>(&'n self, name: &str, found: &mut Vec<&'n Node>) {
        for child in &self.children {
            if child.name == name {
                found.push(child);
            }
            child.collect_descendants(name, found);
        }
    }
}

/// Parses an XML document and returns its root element.
pub(crate) fn parse(text: &str) -> Result<Node, Problem> {
    let mut reader = Reader::from_str(text);
    let mut lines = LineCounter { text, position: 0, line: 1 };
    // The first node stands for the document itself.
    let mut open = vec![Node::default()];
    let mut nodes = 0;
    loop {
        let line = lines.line_at(reader.buffer_position());
        let xml_error = |message: String| Problem { line, place: "XML".to_owned(), message };
        let event = reader.read_event();
        let line = lines.line_at(reader.error_position().max(reader.buffer_position()));
        let event = event.map_err(|e| Problem { line, place: "XML".to_owned(), message: e.to_string() })?;
        match event {
            Event::Start(start) | Event::Empty(start) if open.len() > MAX_DEPTH || nodes >= MAX_NODES => {
                let name = String::from_utf8_lossy(start.name().as_ref()).into_owned();
                return Err(xml_error(format!("<{name}>: too many elements, or nested too deeply")));
            }
            Event::Start(start) => {
                nodes += 1;
                open.push(node_from_start_tag(&start, line)?);
            }
            Event::Empty(start) => {
                nodes += 1;
                let node = node_from_start_tag(&start, line)?;
                parent(&mut open).children.push(node);
            }
            Event::End(_) => {
                let closed = open.pop().unwrap_or_default();
                parent(&mut open).children.push(closed);
            }
            Event::Text(bytes) => {
                let text = bytes.decode().map_err(|e| xml_error(e.to_string()))?;
                parent(&mut open).text.push_str(text.trim());
            }
            Event::CData(bytes) => {
                let text = bytes.decode().map_err(|e| xml_error(e.to_string()))?;
                parent(&mut open).text.push_str(&text);
            }
            Event::GeneralRef(_) => parent(&mut open).text.push('&'),
            Event::DocType(_) => {
                return Err(xml_error("a document type declaration is not allowed".to_owned()))
            }
            Event::Decl(_) | Event::PI(_) | Event::Comment(_) => {}
            Event::Eof => break,
        }
    }
    let line = lines.line_at(text.len() as u64);
    if let Some(unclosed) = open.get(1) {
        return Err(Problem::at(unclosed, "has no end tag"));
    }
    let mut document = open.pop().unwrap_or_default();
    match (document.children.pop(), document.children.is_empty()) {
        (Some(root), true) => Ok(root),
        _ => Err(Problem {
            line,
            place: "XML".to_owned(),
            message: "exactly one root element is expected".to_owned(),
        }),
    }
}

fn parent(open: &mut [Node]) -> &mut Node {
    // The document's own node is never popped: an end tag without a start tag is an error of the XML reader.
    let last = open.len() - 1;
    &mut open[last]
}

fn node_from_start_tag(start: &BytesStart<'_>, line: usize) -> Result<Node, Problem> {
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

/// Converts ascending byte positions into line numbers.
struct LineCounter<'t> {
    text: &'t str,
    position: usize,
    line: usize,
}

impl LineCounter<'_> {
    fn line_at(&mut self, position: u64) -> usize {
        let position = usize::try_from(position).unwrap_or(usize::MAX).clamp(self.position, self.text.len());
        self.line += self.text.as_bytes()[self.position..position].iter().filter(|b| **b == b'\n').count();
        self.position = position;
        self.line
    }
}

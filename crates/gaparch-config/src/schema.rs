//! Interprets the part of XML Schema in which `schema/gaparch.xsd` is written.
//!
//! Named simple types with patterns, enumerations and bounds; named or inline complex types that are a
//! sequence of elements with attributes. Anything else in a schema is an error: what this reader does not
//! know it must not pass over in silence.

use crate::document::{self, Node, Problem};
use regex::Regex;
use std::collections::BTreeMap;
use std::sync::OnceLock;

/// The published schema.
pub const TEXT: &str = include_str!("../../../schema/gaparch.xsd");

/// A schema, ready to validate settings.
#[derive(Debug)]
pub struct Schema {
    simple: BTreeMap<String, Simple>,
    complex: BTreeMap<String, Complex>,
    root: (String, Complex),
}

#[derive(Debug)]
struct Simple {
    base: Base,
    patterns: Vec<(String, Regex)>,
    values: Vec<String>,
    least: Option<f64>,
    most: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Base {
    Text,
    Decimal,
    Unsigned { most: u64 },
}

#[derive(Debug, Default)]
struct Complex {
    elements: Vec<ElementRule>,
    attributes: Vec<AttributeRule>,
}

#[derive(Debug)]
struct ElementRule {
    name: String,
    complex: String,
    least: usize,
    most: usize,
}

#[derive(Debug)]
struct AttributeRule {
    name: String,
    simple: String,
    needed: bool,
}

impl Schema {
    /// The schema of the settings.
    pub fn published() -> &'static Schema {
        static SCHEMA: OnceLock<Schema> = OnceLock::new();
        SCHEMA.get_or_init(|| Schema::parse(TEXT).unwrap_or_else(|e| panic!("schema/gaparch.xsd: {e}")))
    }

    /// Reads a schema.
    ///
    /// # Errors
    /// When the schema uses anything else of XML Schema.
    pub fn parse(text: &str) -> Result<Schema, Problem> {
        let document = document::parse(text)?;
        let mut schema = Schema {
            simple: BTreeMap::new(),
            complex: BTreeMap::new(),
            root: (String::new(), Complex::default()),
        };
        for node in &document.children {
            match node.name.as_str() {
                "xs:simpleType" => drop(schema.simple.insert(named(node)?, simple(node)?)),
                "xs:complexType" => drop(schema.complex.insert(named(node)?, complex(node)?)),
                "xs:element" => {
                    let inline = node.children("xs:complexType").next();
                    let inline = inline.ok_or_else(|| Problem::at(node, "has no type"))?;
                    schema.root = (named(node)?, complex(inline)?);
                }
                _ => return Err(Problem::at(node, "is not known to this reader")),
            }
        }
        schema.resolve(&document)?;
        Ok(schema)
    }

    fn resolve(&self, document: &Node) -> Result<(), Problem> {
        for complex in self.complex.values().chain([&self.root.1]) {
            let element = complex.elements.iter().find(|e| !self.complex.contains_key(&e.complex));
            let attribute = complex.attributes.iter().find(|a| !self.simple.contains_key(&a.simple));
            let missing = element.map(|e| &e.complex).or(attribute.map(|a| &a.simple));
            if let Some(name) = missing {
                return Err(Problem::at(document, format!("type '{name}' is missing")));
            }
        }
        Ok(())
    }

    /// Each element with the names of its attributes, for a test against the reader.
    pub fn attributes_by_element(&self) -> BTreeMap<String, Vec<String>> {
        let mut all = BTreeMap::new();
        let names = |c: &Complex| c.attributes.iter().map(|a| a.name.clone()).collect::<Vec<_>>();
        all.insert(self.root.0.clone(), names(&self.root.1));
        for complex in self.complex.values().chain([&self.root.1]) {
            for element in &complex.elements {
                all.insert(element.name.clone(), names(&self.complex[&element.complex]));
            }
        }
        all
    }

    /// Judges a text by this schema alone; all that is wrong with it.
    pub fn validate(&self, text: &str) -> Vec<Problem> {
        match document::parse(text) {
            Ok(root) => self.validate_root(&root),
            Err(problem) => vec![problem],
        }
    }

    pub(crate) fn validate_root(&self, root: &Node) -> Vec<Problem> {
        if root.name != self.root.0 {
            return vec![Problem::at(root, format!("should be <{}>", self.root.0))];
        }
        let mut problems = Vec::new();
        self.walk(root, &self.root.1, &mut problems);
        problems.sort_by_key(|p| p.line);
        problems
    }

    fn walk(&self, node: &Node, rule: &Complex, problems: &mut Vec<Problem>) {
        for (name, value) in &node.attributes {
            match rule.attributes.iter().find(|a| a.name == *name) {
                Some(attribute) => {
                    if let Some(why) = self.simple[&attribute.simple].refuses(value) {
                        let message = format!("'{value}' is no {}: {why}", attribute.simple);
                        problems.push(Problem::attribute(node, name, message));
                    }
                }
                None => {
                    let known = rule.attributes.iter().map(|a| a.name.as_str());
                    problems.push(Problem::at(node, unknown("attribute", name, known)));
                }
            }
        }
        for attribute in rule.attributes.iter().filter(|a| a.needed) {
            if node.attribute(&attribute.name).is_none() {
                problems.push(Problem::at(node, format!("attribute '{}' is missing", attribute.name)));
            }
        }
        if !node.text.is_empty() {
            problems.push(Problem::at(node, "holds text, which means nothing here"));
        }
        self.walk_children(node, rule, problems);
    }

    fn walk_children(&self, node: &Node, rule: &Complex, problems: &mut Vec<Problem>) {
        let mut last = 0;
        for child in &node.children {
            let Some(place) = rule.elements.iter().position(|e| e.name == child.name) else {
                let known = rule.elements.iter().map(|e| e.name.as_str());
                problems.push(Problem::at(child, unknown("element", &child.name, known)));
                continue;
            };
            if place < last {
                let after = &rule.elements[last].name;
                problems.push(Problem::at(child, format!("must stand before <{after}>")));
            }
            last = last.max(place);
            self.walk(child, &self.complex[&rule.elements[place].complex], problems);
        }
        for element in &rule.elements {
            let found = node.children(&element.name).count();
            if found < element.least {
                problems.push(Problem::at(node, format!("element <{}> is missing", element.name)));
            }
            if let Some(extra) = node.children(&element.name).nth(element.most) {
                problems.push(Problem::at(extra, "stands there more than once"));
            }
        }
    }
}

fn unknown<'k>(what: &str, name: &str, known: impl Iterator<Item = &'k str>) -> String {
    let known: Vec<&str> = known.collect();
    match known.is_empty() {
        true => format!("unknown {what} '{name}': there is none here"),
        false => format!("unknown {what} '{name}': there are {}", known.join(", ")),
    }
}

impl Simple {
    /// Why a value is not of this type.
    fn refuses(&self, value: &str) -> Option<String> {
        if !self.values.is_empty() && !self.values.iter().any(|v| v == value) {
            return Some(format!("one of {} is wanted", self.values.join(", ")));
        }
        if let Some((pattern, _)) = self.patterns.iter().find(|(_, regex)| !regex.is_match(value)) {
            return Some(format!("it must match {pattern}"));
        }
        let number = match self.base {
            Base::Text => return None,
            Base::Decimal => decimal(value),
            Base::Unsigned { most } => value.parse::<u64>().ok().filter(|n| *n <= most).map(|n| n as f64),
        };
        let Some(number) = number else { return Some("it is no such number".to_owned()) };
        match (self.least, self.most) {
            (Some(least), _) if number < least => Some(format!("at least {least} is wanted")),
            (_, Some(most)) if number > most => Some(format!("at most {most} is wanted")),
            _ => None,
        }
    }
}

/// An `xs:decimal`: no exponent, no infinity, no NaN.
fn decimal(value: &str) -> Option<f64> {
    let plain = value.bytes().all(|b| b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'+'));
    value.parse::<f64>().ok().filter(|_| plain)
}

fn named(node: &Node) -> Result<String, Problem> {
    node.attribute("name").map(str::to_owned).ok_or_else(|| Problem::at(node, "has no name"))
}

fn simple(node: &Node) -> Result<Simple, Problem> {
    let restriction = node.children("xs:restriction").next();
    let restriction = restriction.ok_or_else(|| Problem::at(node, "is no restriction"))?;
    let base = match restriction.attribute("base") {
        Some("xs:string") => Base::Text,
        Some("xs:decimal") => Base::Decimal,
        Some("xs:unsignedInt") => Base::Unsigned { most: u64::from(u32::MAX) },
        Some("xs:unsignedLong") => Base::Unsigned { most: u64::MAX },
        _ => return Err(Problem::at(restriction, "has a base that is not known to this reader")),
    };
    let mut simple = Simple { base, patterns: Vec::new(), values: Vec::new(), least: None, most: None };
    for facet in &restriction.children {
        let value = facet.attribute("value").ok_or_else(|| Problem::at(facet, "has no value"))?;
        let number = || decimal(value).ok_or_else(|| Problem::at(facet, "is no number"));
        match facet.name.as_str() {
            "xs:enumeration" => simple.values.push(value.to_owned()),
            "xs:minInclusive" => simple.least = Some(number()?),
            "xs:maxInclusive" => simple.most = Some(number()?),
            "xs:pattern" => {
                // A pattern of a schema is meant for the whole value.
                let regex = Regex::new(&format!("^(?:{value})$"));
                let regex = regex.map_err(|e| Problem::at(facet, e.to_string()))?;
                simple.patterns.push((value.to_owned(), regex));
            }
            _ => return Err(Problem::at(facet, "is not known to this reader")),
        }
    }
    Ok(simple)
}

fn complex(node: &Node) -> Result<Complex, Problem> {
    let mut complex = Complex::default();
    for child in &node.children {
        match child.name.as_str() {
            "xs:sequence" => {
                for element in &child.children {
                    complex.elements.push(element_rule(element)?);
                }
            }
            "xs:attribute" => complex.attributes.push(AttributeRule {
                name: named(child)?,
                simple: typed(child)?,
                needed: child.attribute("use") == Some("required"),
            }),
            _ => return Err(Problem::at(child, "is not known to this reader")),
        }
    }
    Ok(complex)
}

fn element_rule(node: &Node) -> Result<ElementRule, Problem> {
    if node.name != "xs:element" {
        return Err(Problem::at(node, "is not known to this reader"));
    }
    let bound = |name: &str| match node.attribute(name) {
        None => Ok(1),
        Some("unbounded") => Ok(usize::MAX),
        Some(n) => n.parse().map_err(|_| Problem::attribute(node, name, "is no number")),
    };
    Ok(ElementRule {
        name: named(node)?,
        complex: typed(node)?,
        least: bound("minOccurs")?,
        most: bound("maxOccurs")?,
    })
}

fn typed(node: &Node) -> Result<String, Problem> {
    node.attribute("type").map(str::to_owned).ok_or_else(|| Problem::at(node, "has no type"))
}

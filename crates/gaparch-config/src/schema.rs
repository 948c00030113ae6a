//! Interprets the subset of XML Schema in which `schema/gaparch.xsd` is written.
//!
//! The subset consists of named simple types with patterns, enumerations and bounds, and of named or inline
//! complex types that are a sequence of elements with attributes. Anything else in a schema is an error: a
//! constraint that this reader does not support must not be ignored silently.

use crate::document::{self, Node, Problem};
use regex::Regex;
use std::collections::BTreeMap;
use std::sync::OnceLock;

/// The published schema.
pub const TEXT: &str = include_str!("../../../schema/gaparch.xsd");

/// A parsed schema that validates settings.
#[derive(Debug)]
pub struct Schema {
    simple_types: BTreeMap<String, SimpleType>,
    complex_types: BTreeMap<String, ComplexType>,
    root: (String, ComplexType),
}

#[derive(Debug)]
struct SimpleType {
    base: Base,
    patterns: Vec<(String, Regex)>,
    values: Vec<String>,
    min: Option<f64>,
    max: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Base {
    Text,
    Decimal,
    Unsigned { max: u64 },
}

#[derive(Debug, Default)]
struct ComplexType {
    elements: Vec<ElementRule>,
    attributes: Vec<AttributeRule>,
}

#[derive(Debug)]
struct ElementRule {
    name: String,
    complex_type: String,
    min: usize,
    max: usize,
}

#[derive(Debug)]
struct AttributeRule {
    name: String,
    simple_type: String,
    required: bool,
}

impl Base {
    /// States which numbers are of this type.
    fn number_message(self) -> String {
        match self {
            Base::Unsigned { max } => format!("must be a whole number of at most {max}"),
            Base::Text | Base::Decimal => "must be a decimal number".to_owned(),
        }
    }
}

impl Schema {
    /// Returns the published schema of the settings.
    pub fn published() -> &'static Schema {
        static SCHEMA: OnceLock<Schema> = OnceLock::new();
        SCHEMA.get_or_init(|| Schema::parse(TEXT).unwrap_or_else(|e| panic!("schema/gaparch.xsd: {e}")))
    }

    /// Parses a schema.
    ///
    /// # Errors
    /// Returns an error if the text is not XML, or uses a part of XML Schema that is not supported.
    pub fn parse(text: &str) -> Result<Schema, Problem> {
        let document = document::parse(text)?;
        let mut schema = Schema {
            simple_types: BTreeMap::new(),
            complex_types: BTreeMap::new(),
            root: (String::new(), ComplexType::default()),
        };
        for node in &document.children {
            match node.name.as_str() {
                "xs:simpleType" => drop(schema.simple_types.insert(required_name(node)?, simple_type(node)?)),
                "xs:complexType" => {
                    drop(schema.complex_types.insert(required_name(node)?, complex_type(node)?))
                }
                "xs:element" => {
                    let inline = node.children("xs:complexType").next();
                    let inline = inline.ok_or_else(|| Problem::at(node, "has no type"))?;
                    schema.root = (required_name(node)?, complex_type(inline)?);
                }
                _ => return Err(Problem::at(node, "is not supported by the schema reader")),
            }
        }
        schema.check_type_names(&document)?;
        Ok(schema)
    }

    /// Checks that each type that is referred to is defined.
    fn check_type_names(&self, document: &Node) -> Result<(), Problem> {
        for complex_type in self.complex_types.values().chain([&self.root.1]) {
            let element =
                complex_type.elements.iter().find(|e| !self.complex_types.contains_key(&e.complex_type));
            let attribute =
                complex_type.attributes.iter().find(|a| !self.simple_types.contains_key(&a.simple_type));
            let missing = element.map(|e| &e.complex_type).or(attribute.map(|a| &a.simple_type));
            if let Some(name) = missing {
                return Err(Problem::at(document, format!("type '{name}' is not defined")));
            }
        }
        Ok(())
    }

    /// Returns each element with the names of its attributes; a test compares them with the reader.
    pub fn attributes_by_element(&self) -> BTreeMap<String, Vec<String>> {
        let mut all = BTreeMap::new();
        let names = |c: &ComplexType| c.attributes.iter().map(|a| a.name.clone()).collect::<Vec<_>>();
        all.insert(self.root.0.clone(), names(&self.root.1));
        for complex_type in self.complex_types.values().chain([&self.root.1]) {
            for element in &complex_type.elements {
                all.insert(element.name.clone(), names(&self.complex_types[&element.complex_type]));
            }
        }
        all
    }

    /// Validates a text against this schema alone, and returns all errors.
    pub fn validate(&self, text: &str) -> Vec<Problem> {
        match document::parse(text) {
            Ok(root) => self.validate_root(&root),
            Err(problem) => vec![problem],
        }
    }

    pub(crate) fn validate_root(&self, root: &Node) -> Vec<Problem> {
        if root.name != self.root.0 {
            return vec![Problem::at(root, format!("the root element must be <{}>", self.root.0))];
        }
        let mut problems = Vec::new();
        self.validate_element(root, &self.root.1, &mut problems);
        problems.sort_by_key(|p| p.line);
        problems
    }

    fn validate_element(&self, node: &Node, expected: &ComplexType, problems: &mut Vec<Problem>) {
        for (name, value) in &node.attributes {
            match expected.attributes.iter().find(|a| a.name == *name) {
                Some(attribute) => {
                    if let Some(reason) = self.simple_types[&attribute.simple_type].violation(value) {
                        let message = format!("'{value}' is not a valid {}: {reason}", attribute.simple_type);
                        problems.push(Problem::attribute(node, name, message));
                    }
                }
                None => {
                    let known = expected.attributes.iter().map(|a| a.name.as_str());
                    problems.push(Problem::at(node, unknown_name_message("attribute", name, known)));
                }
            }
        }
        for attribute in expected.attributes.iter().filter(|a| a.required) {
            if node.attribute(&attribute.name).is_none() {
                problems.push(Problem::at(node, format!("attribute '{}' is missing", attribute.name)));
            }
        }
        if !node.text.is_empty() {
            problems.push(Problem::at(node, "contains text, which is not allowed here"));
        }
        self.validate_children(node, expected, problems);
    }

    fn validate_children(&self, node: &Node, expected: &ComplexType, problems: &mut Vec<Problem>) {
        let mut last_position = 0;
        for child in &node.children {
            let Some(position) = expected.elements.iter().position(|e| e.name == child.name) else {
                let known = expected.elements.iter().map(|e| e.name.as_str());
                problems.push(Problem::at(child, unknown_name_message("element", &child.name, known)));
                continue;
            };
            if position < last_position {
                let previous = &expected.elements[last_position].name;
                problems.push(Problem::at(child, format!("must come before <{previous}>")));
            }
            last_position = last_position.max(position);
            self.validate_element(
                child,
                &self.complex_types[&expected.elements[position].complex_type],
                problems,
            );
        }
        for element in &expected.elements {
            let found = node.children(&element.name).count();
            if found < element.min {
                problems.push(Problem::at(node, format!("element <{}> is missing", element.name)));
            }
            if let Some(extra) = node.children(&element.name).nth(element.max) {
                problems.push(Problem::at(extra, "occurs more often than the schema allows"));
            }
        }
    }
}

fn unknown_name_message<'k>(what: &str, name: &str, known: impl Iterator<Item = &'k str>) -> String {
    let known: Vec<&str> = known.collect();
    match known.is_empty() {
        true => format!("unknown {what} '{name}': none is allowed here"),
        false => format!("unknown {what} '{name}': expected one of {}", known.join(", ")),
    }
}

impl SimpleType {
    /// Returns why a value is not valid for this type; `None` if it is valid.
    fn violation(&self, value: &str) -> Option<String> {
        if !self.values.is_empty() && !self.values.iter().any(|v| v == value) {
            return Some(format!("must be one of {}", self.values.join(", ")));
        }
        if let Some((pattern, _)) = self.patterns.iter().find(|(_, regex)| !regex.is_match(value)) {
            return Some(format!("must match {pattern}"));
        }
        let number = match self.base {
            Base::Text => return None,
            Base::Decimal => parse_decimal(value),
            Base::Unsigned { max } => value.parse::<u64>().ok().filter(|n| *n <= max).map(|n| n as f64),
        };
        let Some(number) = number else { return Some(self.base.number_message()) };
        match (self.min, self.max) {
            (Some(min), _) if number < min => Some(format!("must be at least {min}")),
            (_, Some(max)) if number > max => Some(format!("must be at most {max}")),
            _ => None,
        }
    }
}

/// Parses an `xs:decimal`: unlike a Rust number, it has no exponent and is neither infinity nor NaN.
fn parse_decimal(value: &str) -> Option<f64> {
    let has_decimal_form = value.bytes().all(|b| b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'+'));
    value.parse::<f64>().ok().filter(|_| has_decimal_form)
}

fn required_name(node: &Node) -> Result<String, Problem> {
    node.attribute("name").map(str::to_owned).ok_or_else(|| Problem::at(node, "has no name"))
}

fn simple_type(node: &Node) -> Result<SimpleType, Problem> {
    let restriction = node.children("xs:restriction").next();
    let restriction = restriction.ok_or_else(|| Problem::at(node, "has no xs:restriction"))?;
    let base = match restriction.attribute("base") {
        Some("xs:string") => Base::Text,
        Some("xs:decimal") => Base::Decimal,
        Some("xs:unsignedInt") => Base::Unsigned { max: u64::from(u32::MAX) },
        Some("xs:unsignedLong") => Base::Unsigned { max: u64::MAX },
        _ => {
            return Err(Problem::at(
                restriction,
                "has a base type that is not supported by the schema reader",
            ))
        }
    };
    let mut simple_type = SimpleType { base, patterns: Vec::new(), values: Vec::new(), min: None, max: None };
    for facet in &restriction.children {
        let value = facet.attribute("value").ok_or_else(|| Problem::at(facet, "has no value"))?;
        let number = || parse_decimal(value).ok_or_else(|| Problem::at(facet, "is not a decimal number"));
        match facet.name.as_str() {
            "xs:enumeration" => simple_type.values.push(value.to_owned()),
            "xs:minInclusive" => simple_type.min = Some(number()?),
            "xs:maxInclusive" => simple_type.max = Some(number()?),
            "xs:pattern" => {
                // A pattern in a schema applies to the whole value.
                let regex = Regex::new(&format!("^(?:{value})$"));
                let regex = regex.map_err(|e| Problem::at(facet, e.to_string()))?;
                simple_type.patterns.push((value.to_owned(), regex));
            }
            _ => return Err(Problem::at(facet, "is not supported by the schema reader")),
        }
    }
    Ok(simple_type)
}

fn complex_type(node: &Node) -> Result<ComplexType, Problem> {
    let mut complex_type = ComplexType::default();
    for child in &node.children {
        match child.name.as_str() {
            "xs:sequence" => {
                for element in &child.children {
                    complex_type.elements.push(element_rule(element)?);
                }
            }
            "xs:attribute" => complex_type.attributes.push(AttributeRule {
                name: required_name(child)?,
                simple_type: required_type(child)?,
                required: child.attribute("use") == Some("required"),
            }),
            _ => return Err(Problem::at(child, "is not supported by the schema reader")),
        }
    }
    Ok(complex_type)
}

fn element_rule(node: &Node) -> Result<ElementRule, Problem> {
    if node.name != "xs:element" {
        return Err(Problem::at(node, "is not supported by the schema reader"));
    }
    let bound = |name: &str| match node.attribute(name) {
        None => Ok(1),
        Some("unbounded") => Ok(usize::MAX),
        Some(n) => n.parse().map_err(|_| Problem::attribute(node, name, "is not a whole number")),
    };
    Ok(ElementRule {
        name: required_name(node)?,
        complex_type: required_type(node)?,
        min: bound("minOccurs")?,
        max: bound("maxOccurs")?,
    })
}

fn required_type(node: &Node) -> Result<String, Problem> {
    node.attribute("type").map(str::to_owned).ok_or_else(|| Problem::at(node, "has no type"))
}

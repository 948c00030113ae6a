//! Reads a settings file and checks it.

use crate::check::Check;
use crate::config::Config;
use crate::document::{self, Problem};
use crate::raw;
use crate::schema::Schema;

impl Config {
    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// All errors of the file, in the order of its lines. The checks that a schema can't express run only if
    /// the file is valid against the schema.
    pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
        let document = document::parse(text).map_err(|problem| vec![problem])?;
        let problems = Schema::published().validate_root(&document);
        if !problems.is_empty() {
            return Err(problems);
        }
        let raw: raw::Gaparch = quick_xml::de::from_str(text).map_err(|e| {
            // The file is valid against the schema, so only a value that the schema can't describe is left.
            vec![Problem { line: document.line, place: "settings".to_owned(), message: e.to_string() }]
        })?;
        let mut check = Check::new(&document);
        let config = check.run(raw);
        match (config, check.into_problems()) {
            (Some(config), problems) if problems.is_empty() => Ok(config),
            (_, problems) => Err(problems),
        }
    }
}

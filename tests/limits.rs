//! The decision modules are read aloud after outages: their number of lines, their lines' length and where they stand
//! are limited.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const MOST_LINES: usize = 200;
const MOST_CHARACTERS: usize = 110;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The files of the decision modules, by their names in the repository.
fn modules() -> BTreeSet<String> {
    let folder = std::fs::read_dir(root().join("src/policy")).expect("the decision modules");
    let names = folder.map(|entry| entry.expect("a file").file_name().into_string().expect("text"));
    names.map(|name| format!("src/policy/{name}")).collect()
}

/// All Rust files of the product below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path()) {
        if entry.is_dir() && !entry.ends_with("tests") && !entry.ends_with("target") {
            sources(&entry, found);
        } else if entry.extension().is_some_and(|extension| extension == "rs") {
            found.push(entry);
        }
    }
}

#[test]
fn no_decision_module_has_more_lines_than_can_be_read_at_once() {
    for module in modules() {
        let lines = text(&root().join(&module)).lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MOST_LINES, "{module}: {lines} lines, at most {MOST_LINES}");
    }
}

#[test]
fn no_line_of_a_decision_module_is_longer_than_110_characters() {
    for module in modules() {
        let text = text(&root().join(&module));
        let long: Vec<&str> = text.lines().filter(|line| line.chars().count() > MOST_CHARACTERS).collect();
        assert!(long.is_empty(), "{module}: {long:?}");
    }
}

#[test]
fn each_decision_module_says_what_it_is_for_and_the_first_names_the_interface_file() {
    for module in modules() {
        assert!(text(&root().join(&module)).starts_with("//! "), "{module} has no module doc");
    }
    let first = text(&root().join("src/policy/mod.rs"));
    assert!(first.lines().take(3).any(|line| line.contains("src/api/")));
}

#[test]
fn the_deploy_file_lists_exactly_the_decision_modules() {
    let deploy = text(&root().join("deploy/balancer.toml"));
    let policy = deploy.split_once("policy = [").expect("a policy entry").1;
    let policy = policy.split_once(']').expect("its end").0;
    let listed: BTreeSet<String> = policy
        .split(',')
        .map(|entry| entry.trim().trim_matches('"').to_owned())
        .filter(|entry| !entry.is_empty())
        .collect();
    assert_eq!(listed, modules());
}

/// What shows the module's state may stand beside it; what changes it may not.
#[test]
fn decisions_stand_nowhere_else() {
    let mut found = Vec::new();
    sources(&root().join("src"), &mut found);
    sources(&root().join("crates"), &mut found);
    assert!(found.len() > 100, "{} files", found.len());
    for file in found {
        let name = file.strip_prefix(root()).expect("below the root").to_string_lossy().into_owned();
        if name.starts_with("src/policy/") || name == "src/view.rs" {
            continue;
        }
        assert!(!text(&file).contains("impl Policy"), "{name} adds to the decision modules");
    }
    assert!(!text(&root().join("src/view.rs")).contains("&mut self"), "the view changes something");
}

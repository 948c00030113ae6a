//! Limits on the decision modules: their number of lines, the length of their lines and where they are. After
//! an outage they are read aloud, so each has to be short enough to be read at once.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Empty lines do not count.
const MAX_LINES: usize = 200;
const MAX_LINE_CHARACTERS: usize = 110;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read_text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The files of the decision modules, as paths in the repository.
fn decision_modules() -> BTreeSet<String> {
    let folder = std::fs::read_dir(root().join("src/policy")).expect("the decision modules");
    let names = folder.map(|entry| entry.expect("a file").file_name().into_string().expect("a UTF-8 name"));
    names.map(|name| format!("src/policy/{name}")).collect()
}

/// Collects all Rust files below a folder, without tests and build output.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path()) {
        if entry.is_dir() && !entry.ends_with("tests") && !entry.ends_with("target") {
            collect_sources(&entry, found);
        } else if entry.extension().is_some_and(|extension| extension == "rs") {
            found.push(entry);
        }
    }
}

#[test]
fn no_decision_module_has_more_than_200_non_empty_lines() {
    for module in decision_modules() {
        let lines = read_text(&root().join(&module)).lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{module}: {lines} lines, at most {MAX_LINES}");
    }
}

#[test]
fn no_line_of_a_decision_module_is_longer_than_110_characters() {
    for module in decision_modules() {
        let text = read_text(&root().join(&module));
        let too_long: Vec<&str> =
            text.lines().filter(|line| line.chars().count() > MAX_LINE_CHARACTERS).collect();
        assert!(too_long.is_empty(), "{module}: {too_long:?}");
    }
}

#[test]
fn each_decision_module_has_a_doc_comment_and_the_first_names_the_interface() {
    for module in decision_modules() {
        assert!(read_text(&root().join(&module)).starts_with("//! "), "{module} has no module doc");
    }
    let first = read_text(&root().join("src/policy/mod.rs"));
    assert!(first.lines().take(3).any(|line| line.contains("src/api/")));
}

#[test]
fn the_deploy_file_lists_exactly_the_decision_modules() {
    let deploy = read_text(&root().join("deploy/balancer.toml"));
    let policy = deploy.split_once("policy = [").expect("a policy entry").1;
    let policy = policy.split_once(']').expect("the end of the policy entry").0;
    let listed: BTreeSet<String> = policy
        .split(',')
        .map(|entry| entry.trim().trim_matches('"').to_owned())
        .filter(|entry| !entry.is_empty())
        .collect();
    assert_eq!(listed, decision_modules());
}

/// Only the view, which shows the state and does not change it, may implement `Policy` outside the decision
/// modules.
#[test]
fn no_other_module_adds_to_the_policy() {
    let mut found = Vec::new();
    collect_sources(&root().join("src"), &mut found);
    collect_sources(&root().join("crates"), &mut found);
    assert!(found.len() > 100, "{} files", found.len());
    for file in found {
        let name = file.strip_prefix(root()).expect("below the root").to_string_lossy().into_owned();
        if name.starts_with("src/policy/") || name == "src/view.rs" {
            continue;
        }
        assert!(
            !read_text(&file).contains("impl Policy"),
            "{name} implements Policy outside the decision modules"
        );
    }
    assert!(!read_text(&root().join("src/view.rs")).contains("&mut self"), "the view takes &mut self");
}

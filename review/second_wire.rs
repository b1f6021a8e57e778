//! Names of the platform standard, from a file: the project's check allows them in its adapter and stand-ins only.

const NAMES: &str = include_str!("second-wire.txt");

/// Returns the name of a header or field.
pub fn name(key: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once('='));
    lines.find(|line| line.0 == key).expect("known name").1
}

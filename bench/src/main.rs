//! Load and experiment tool.

fn main() {}

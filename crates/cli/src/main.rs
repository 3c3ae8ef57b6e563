//! The command line of operators and of the declaration's CI.

fn main() {}

//! The controller: makes engines run what is declared.

fn main() {}

//! Lists the commands and dispatches to them.

fn main() {}

//! wharfquay: the toolbox of operators.

fn main() {}

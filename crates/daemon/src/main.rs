//! wharfquayd: one daemon beside each back end, and the same program as an edge.

fn main() {}

//! Which endpoints are leaving, merged from every source.

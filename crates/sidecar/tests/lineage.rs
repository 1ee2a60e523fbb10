//! Position of a request in the call tree, derived from its id.

use wharfquay_sidecar::dialect::RequestLineage;

#[test]
fn root_and_parent_are_derived_from_the_id() {
    let cases = [
        ("9437", "9437", None),
        ("9437.1eae", "9437", Some("9437")),
        ("9437.1eae.77", "9437", Some("9437.1eae")),
        ("", "", None),
    ];
    for (id, root, parent) in cases {
        let lineage = RequestLineage::of(id);
        assert_eq!((lineage.root(), lineage.parent()), (root, parent), "{id}");
    }
}

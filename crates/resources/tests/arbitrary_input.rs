//! Tests that no input makes parsing panic and that accepted specs survive a round trip.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Map, Value};
use wharfquay_resources::fields::fields_of;
use wharfquay_resources::kinds::ResourceKind;
use wharfquay_resources::parse::{SourceFile, parse};
use wharfquay_resources::spec::{read_spec, to_spec};
use wharfquay_resources::validate::validate_resource;

const EXAMPLES: [&str; 2] = [
    include_str!("../../../scenarios/lagos.resources.toml"),
    include_str!("../../../scenarios/gujarat.resources.toml"),
];

fn parse_text(text: String) -> usize {
    let line_count = text.lines().count().max(1);
    let parsed = parse(&[SourceFile {
        name: "f".to_owned(),
        text,
    }]);
    for problem in &parsed.problems {
        assert!(
            problem.line >= 1 && problem.line <= line_count + 1,
            "{problem}"
        );
        assert!(!problem.to_string().contains('\n'), "{problem}");
    }
    parsed.problems.len()
}

/// Generates values of every type, small and extreme.
fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0_i64..20).prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (-1.0_f64..2.0).prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        prop::sample::select(vec!["a", "GET", "/x", "zone", "default"]).prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 16, 4, |inner| {
        let key = prop::sample::select(vec!["zone", "service", "backend", "x"]);
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key.prop_map(str::to_owned), inner, 0..3)
                .prop_map(|table| Value::Object(table.into_iter().collect())),
        ]
    })
}

/// Generates specs with the fields of the kind and sometimes an unknown field.
fn any_spec() -> impl Strategy<Value = (ResourceKind, Value)> {
    let kind = prop::sample::select(ResourceKind::ALL.to_vec());
    kind.prop_flat_map(|kind| {
        let names: Vec<&str> = fields_of(kind).iter().map(|field| field.name).collect();
        let count = names.len();
        let values = prop::collection::vec(prop::option::weighted(0.8, any_value()), count);
        let extra = prop::option::weighted(0.1, (".{0,6}", any_value()));
        (values, extra).prop_map(move |(values, extra)| {
            let fields = names.iter().zip(values);
            let mut spec: Map<String, Value> = fields
                .filter_map(|(name, value)| Some(((*name).to_owned(), value?)))
                .collect();
            spec.extend(extra);
            (kind, Value::Object(spec))
        })
    })
}

const SEED: u64 = 11;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_without_panic(text in "\\PC{0,200}") {
        parse_text(text);
    }

    #[test]
    fn a_damaged_example_is_parsed_without_panic(
        example in 0_usize..2,
        start in any::<prop::sample::Index>(),
        length in 0_usize..40,
        inserted in "[\\[\\]={}\",.0-9a-z\\n ]{0,12}",
    ) {
        let mut characters: Vec<char> = EXAMPLES[example].chars().collect();
        let start = start.index(characters.len());
        let end = (start + length).min(characters.len());
        characters.splice(start..end, inserted.chars());
        parse_text(characters.into_iter().collect());
    }

    #[test]
    fn an_accepted_spec_survives_a_round_trip((kind, spec) in any_spec()) {
        match read_spec(kind, &spec) {
            Ok(resource) => {
                prop_assert_eq!(validate_resource(&resource), vec![]);
                prop_assert_eq!(read_spec(kind, &to_spec(&resource)), Ok(resource));
            }
            Err(findings) => prop_assert!(!findings.is_empty()),
        }
    }
}

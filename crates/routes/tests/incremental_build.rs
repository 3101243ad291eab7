//! A table that is built from a previous table and a table that is built from scratch are the same.

use doortrack_expr::Limits;
use doortrack_routes::{GroupName, Names, Rule, Table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Edit {
    Insert(usize, Rule),
    Remove(usize),
    Replace(usize, Rule),
    Swap(usize, usize),
    Condition(usize, &'static str),
    IdempotencyKey(usize, Option<&'static str>),
    Pool(usize, Option<&'static str>),
    /// Replaces the names that rules may refer to.
    Names(Names),
    /// Replaces the cost limit of expressions.
    MaxCost(u64),
}

const CONDITIONS: [&str; 9] = [
    "path == \"/a\"",
    "path.starts_with(\"/a\")",
    "path.starts_with(\"/a/b\")",
    "method == \"GET\" && path == \"/a\"",
    "(segment(0) ?? \"\") in [\"a\", \"b\"]",
    "matches(path, \"^/x[0-9]+$\")",
    "body_length > 3",
    "true",
    "pth == \"a fault\"",
];

fn when() -> impl Strategy<Value = &'static str> {
    // Invalid conditions are rare, so that most tables build without errors.
    prop_oneof![
        30 => prop::sample::select(CONDITIONS[..8].to_vec()),
        1 => Just(CONDITIONS[8]),
    ]
}

fn pool() -> impl Strategy<Value = Option<&'static str>> {
    prop::sample::select(vec![None, None, Some("main"), Some("slow")])
}

fn rule() -> impl Strategy<Value = Rule> {
    let group = prop::sample::select(vec!["look", "pay"]);
    (when(), group, any::<bool>(), pool()).prop_map(|(when, group, has_key, pool_name)| Rule {
        when: when.into(),
        group: group.into(),
        idempotency_key: (has_key && group == "pay").then(|| "header(\"x-order\")".into()),
        pool: pool_name.map(String::from),
        ..Rule::default()
    })
}

fn names() -> impl Strategy<Value = Names> {
    let groups = prop::sample::select(vec![
        vec![GroupName::new("look", false), GroupName::new("pay", true)],
        vec![GroupName::new("pay", true), GroupName::new("look", false)],
        vec![GroupName::new("look", true), GroupName::new("pay", true)],
    ]);
    let tenants = prop::sample::select(vec![vec![], vec!["north"], vec!["south", "north"]]);
    let pools = prop::sample::select(vec![
        vec!["main", "slow"],
        vec!["slow", "main"],
        vec!["main"],
    ]);
    (groups, tenants, pools).prop_map(|(groups, tenants, pools)| Names {
        groups,
        tenants: tenants.into_iter().map(String::from).collect(),
        pools: pools.into_iter().map(String::from).collect(),
    })
}

fn edit() -> impl Strategy<Value = Edit> {
    let index = 0..40usize;
    prop_oneof![
        3 => (index.clone(), rule()).prop_map(|(index, rule)| Edit::Insert(index, rule)),
        2 => index.clone().prop_map(Edit::Remove),
        3 => (index.clone(), rule()).prop_map(|(index, rule)| Edit::Replace(index, rule)),
        2 => (index.clone(), index.clone()).prop_map(|(one, other)| Edit::Swap(one, other)),
        2 => (index.clone(), when()).prop_map(|(index, when)| Edit::Condition(index, when)),
        1 => (index.clone(), prop::sample::select(vec![None, Some("path"), Some("query")]))
            .prop_map(|(index, key)| Edit::IdempotencyKey(index, key)),
        1 => (index, pool()).prop_map(|(index, pool)| Edit::Pool(index, pool)),
        1 => names().prop_map(Edit::Names),
        1 => prop::sample::select(vec![20_000, 400, 3]).prop_map(Edit::MaxCost),
    ]
}

/// The arguments of a table build.
#[derive(Clone, Debug)]
struct Sources {
    rules: Vec<Rule>,
    names: Names,
    limits: Limits,
}

impl Sources {
    fn edit(&mut self, edit: Edit) {
        let rules = &mut self.rules;
        let len = rules.len();
        match edit {
            Edit::Insert(index, rule) => rules.insert(index % (len + 1), rule),
            Edit::Names(names) => self.names = names,
            Edit::MaxCost(max_cost) => self.limits.max_cost = max_cost,
            _ if len == 0 => {}
            Edit::Remove(index) => _ = rules.remove(index % len),
            Edit::Replace(index, rule) => rules[index % len] = rule,
            Edit::Swap(one, other) => rules.swap(one % len, other % len),
            Edit::Condition(index, when) => rules[index % len].when = when.into(),
            Edit::IdempotencyKey(index, key) => {
                rules[index % len].idempotency_key = key.map(String::from)
            }
            Edit::Pool(index, pool) => rules[index % len].pool = pool.map(String::from),
        }
    }
}

/// Formats everything that a table contains.
fn debug_text(table: &Table) -> String {
    format!("{table:?}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_3701),
        ..ProptestConfig::default()
    })]

    #[test]
    fn incremental_and_full_builds_give_the_same_table(
        rules in prop::collection::vec(rule(), 0..30),
        names in names(),
        edits in prop::collection::vec(edit(), 1..12),
    ) {
        let mut sources = Sources { rules, names, limits: Limits::default() };
        let mut previous: Option<Table> = None;
        for edit in edits {
            sources.edit(edit);
            let Sources { rules, names, limits } = &sources;
            let incremental = Table::build_from(previous.as_ref(), rules, names, *limits);
            let full = Table::build(rules, names, *limits);
            match (incremental, full) {
                (Ok(built), Ok((table, shadowed))) => {
                    prop_assert_eq!(debug_text(&built.table), debug_text(&table));
                    prop_assert_eq!(built.shadowed, shadowed);
                    previous = Some(built.table);
                }
                (Err(errors), Err(expected)) => prop_assert_eq!(errors, expected),
                (incremental, full) => {
                    prop_assert!(false, "incremental ok: {:?}, full ok: {:?}", incremental.is_ok(), full.is_ok());
                }
            }
        }
    }
}

fn sources_with_rules(count: usize) -> Sources {
    let rule = |nth: usize| Rule {
        when: format!("path.starts_with(\"/yard-{nth}/\")"),
        group: "look".into(),
        ..Rule::default()
    };
    let names = Names {
        groups: vec![GroupName::new("look", false)],
        tenants: (0..100).map(|nth| format!("customer-{nth}")).collect(),
        pools: Vec::new(),
    };
    Sources {
        rules: (0..count).map(rule).collect(),
        names,
        limits: Limits::default(),
    }
}

#[test]
fn unchanged_rules_are_reused() {
    let mut sources = sources_with_rules(500);
    let build = |previous: Option<&Table>, sources: &Sources| {
        Table::build_from(previous, &sources.rules, &sources.names, sources.limits).unwrap()
    };
    let first = build(None, &sources);
    assert_eq!(first.reused, 0);
    sources.rules[77].when = "path == \"/other\"".into();
    let second = build(Some(&first.table), &sources);
    assert_eq!(second.reused, 499);
    // Neither moved nor removed rules affect the others.
    sources.rules.swap(3, 400);
    sources.rules.remove(10);
    assert_eq!(build(Some(&second.table), &sources).reused, 499);
    // Rules are checked against whether there are tenants, not which: those are looked up for each request.
    sources.names.tenants.push("another".into());
    assert_eq!(build(Some(&second.table), &sources).reused, 499);
    sources.names.tenants.clear();
    assert_eq!(build(Some(&second.table), &sources).reused, 0);
}

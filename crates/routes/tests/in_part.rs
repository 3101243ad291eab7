//! A table built in part, over rules of which some stood in the table before, is the table built whole.

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
    When(usize, &'static str),
    Key(usize, Option<&'static str>),
    Servers(usize, Option<&'static str>),
    /// Names and limits that rules are read with.
    Names(Names),
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
    // A fault now and then: most tables are to be good.
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
    (when(), group, any::<bool>(), pool()).prop_map(|(when, group, has_key, servers)| Rule {
        when: when.into(),
        group: group.into(),
        idempotency_key: (has_key && group == "pay").then(|| "header(\"x-order\")".into()),
        pool: servers.map(String::from),
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
    let place = 0..40usize;
    prop_oneof![
        3 => (place.clone(), rule()).prop_map(|(place, rule)| Edit::Insert(place, rule)),
        2 => place.clone().prop_map(Edit::Remove),
        3 => (place.clone(), rule()).prop_map(|(place, rule)| Edit::Replace(place, rule)),
        2 => (place.clone(), place.clone()).prop_map(|(one, other)| Edit::Swap(one, other)),
        2 => (place.clone(), when()).prop_map(|(place, when)| Edit::When(place, when)),
        1 => (place.clone(), prop::sample::select(vec![None, Some("path"), Some("query")]))
            .prop_map(|(place, key)| Edit::Key(place, key)),
        1 => (place, pool()).prop_map(|(place, pool)| Edit::Servers(place, pool)),
        1 => names().prop_map(Edit::Names),
        1 => prop::sample::select(vec![20_000, 400, 3]).prop_map(Edit::MaxCost),
    ]
}

/// What rules are read from.
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
            Edit::Insert(place, rule) => rules.insert(place % (len + 1), rule),
            Edit::Names(names) => self.names = names,
            Edit::MaxCost(max_cost) => self.limits.max_cost = max_cost,
            _ if len == 0 => {}
            Edit::Remove(place) => _ = rules.remove(place % len),
            Edit::Replace(place, rule) => rules[place % len] = rule,
            Edit::Swap(one, other) => rules.swap(one % len, other % len),
            Edit::When(place, when) => rules[place % len].when = when.into(),
            Edit::Key(place, key) => rules[place % len].idempotency_key = key.map(String::from),
            Edit::Servers(place, pool) => rules[place % len].pool = pool.map(String::from),
        }
    }
}

/// All that there is in a table, as text.
fn whole(table: &Table) -> String {
    format!("{table:?}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_3701),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_table_built_in_part_is_the_table_built_whole(
        rules in prop::collection::vec(rule(), 0..30),
        names in names(),
        edits in prop::collection::vec(edit(), 1..12),
    ) {
        let mut sources = Sources { rules, names, limits: Limits::default() };
        let mut previous: Option<Table> = None;
        for edit in edits {
            sources.edit(edit);
            let Sources { rules, names, limits } = &sources;
            let in_part = Table::build_from(previous.as_ref(), rules, names, *limits);
            let at_once = Table::build(rules, names, *limits);
            match (in_part, at_once) {
                (Ok(built), Ok((table, notes))) => {
                    prop_assert_eq!(whole(&built.table), whole(&table));
                    prop_assert_eq!(built.shadowed, notes);
                    previous = Some(built.table);
                }
                (Err(faults), Err(wanted)) => prop_assert_eq!(faults, wanted),
                (in_part, at_once) => {
                    prop_assert!(false, "{:?} and {:?}", in_part.is_ok(), at_once.is_ok());
                }
            }
        }
    }
}

fn many(count: usize) -> Sources {
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
fn only_the_rule_that_changed_is_built_again() {
    let mut sources = many(500);
    let build = |previous: Option<&Table>, sources: &Sources| {
        Table::build_from(previous, &sources.rules, &sources.names, sources.limits).unwrap()
    };
    let first = build(None, &sources);
    assert_eq!(first.reused, 0);
    sources.rules[77].when = "path == \"/other\"".into();
    let second = build(Some(&first.table), &sources);
    assert_eq!(second.reused, 499);
    // Places do not matter, nor do rules that went.
    sources.rules.swap(3, 400);
    sources.rules.remove(10);
    assert_eq!(build(Some(&second.table), &sources).reused, 499);
    // Other tenants are looked up for each request; whether there are any is part of what is checked.
    sources.names.tenants.push("another".into());
    assert_eq!(build(Some(&second.table), &sources).reused, 499);
    sources.names.tenants.clear();
    assert_eq!(build(Some(&second.table), &sources).reused, 0);
}

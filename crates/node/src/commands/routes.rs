//! `doortrack routes`: tries the rules of an installation file on requests that are written down, before they
//! classify live ones. It blocks on reading the files.

use std::fmt::{self, Display, Write};
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use doortrack_config::rules::RuleConfig;
use doortrack_config::{ConfigErrors, Installation, deserialize, installation, node_config};
use doortrack_expr::{Kind, Limits, LiteralRequest, Scratch, Span, infer, parse};
use doortrack_routes::{Classification, Rejection, Table};
use doortrack_time::MILLISECOND;
use serde::Deserialize;

use super::input::{self, RequestFile};

/// The files with the rules.
#[derive(Args)]
pub struct Files {
    /// The operators' own file, with the rules
    #[arg(long, value_name = "FILE")]
    installation: PathBuf,
    /// The platform's configuration, whose endpoint groups and tenants are meant; absent: those that the
    /// rules name
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// What is to be tried.
#[derive(Subcommand)]
pub enum RoutesCommand {
    /// Tries cases that are kept beside the rules, and prints where they came to something else
    Test {
        /// The files with the rules
        #[command(flatten)]
        files: Files,
        /// A list of cases: {"name", "request", "rule", "group"}; rule null means that none takes it
        #[arg(long, value_name = "FILE")]
        cases: PathBuf,
    },
    /// Tells which rule takes a request, and why those before it do not
    Explain {
        /// The files with the rules
        #[command(flatten)]
        files: Files,
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        #[arg(long, value_name = "FILE")]
        request: PathBuf,
    },
}

/// What a request is expected to come to. What is absent is not checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    #[serde(default)]
    request: RequestFile,
    /// Index of the rule; null where none matches.
    #[serde(default, deserialize_with = "present")]
    rule: Option<Option<u32>>,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    refused: bool,
}

/// Tells a null from an absent key.
fn present<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<Option<u32>>, D::Error> {
    Deserialize::deserialize(from).map(Some)
}

/// Why rules were not found to do as wanted.
#[derive(Debug)]
pub enum RoutesError {
    /// A file is invalid.
    Config(ConfigErrors),
    /// Cases came to something else; the report.
    CasesDiffer(String),
}

impl From<ConfigErrors> for RoutesError {
    fn from(errors: ConfigErrors) -> RoutesError {
        RoutesError::Config(errors)
    }
}

/// Errors of files are in one line each.
impl Display for RoutesError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RoutesError::Config(errors) => {
                let lines: Vec<String> = errors.0.iter().map(ToString::to_string).collect();
                f.write_str(lines.join("\n").trim_end())
            }
            RoutesError::CasesDiffer(report) => f.write_str(report),
        }
    }
}

impl std::error::Error for RoutesError {}

/// Executes a command and returns what is to be printed.
///
/// # Errors
/// A file is invalid, or a case came to something else.
pub fn run(command: &RoutesCommand) -> Result<String, RoutesError> {
    match command {
        RoutesCommand::Test { files, cases } => test(&files.read()?, cases),
        RoutesCommand::Explain { files, request } => {
            let request = input::read(request)?;
            Ok(files.read()?.explain(&request))
        }
    }
}

/// The rules of an installation.
struct Rules {
    installation: Installation,
    table: Table,
    /// Names of the endpoint groups, by their index in the table.
    group_names: Vec<String>,
}

impl Files {
    fn read(&self) -> Result<Rules, ConfigErrors> {
        let installation = installation::read(&self.installation)?;
        let (table, group_names) = match &self.config {
            Some(path) => {
                let settings = node_config::read_file(path)?.settings;
                (installation.table(&settings)?, settings.group_names)
            }
            None => (
                installation.table_without_deployment()?,
                installation.groups_in_rules(),
            ),
        };
        let built =
            table.ok_or_else(|| ConfigErrors::one("installation.rules", "there are none"))?;
        Ok(Rules {
            installation,
            table: built.table,
            group_names,
        })
    }
}

impl Rules {
    /// What a request came to, in words.
    fn describe(&self, classification: &Classification) -> String {
        match classification {
            Classification::Matched(class) => {
                let group = &self.group_names[usize::from(class.group)];
                format!("rules[{}], group {group}", class.rule)
            }
            Classification::Rejected { rule, why } => {
                let reason = match why {
                    Rejection::Tenant => "no known customer",
                    Rejection::IdempotencyKey => "no idempotency key",
                };
                format!("rules[{rule}], refused: {reason}")
            }
            Classification::NoRule => match &self.installation.fallback_group {
                Some(group) => format!("no rule, group {group}"),
                None => "no rule, 404".into(),
            },
        }
    }

    /// The name of the group that a request came to, if it came to any.
    fn group_name(&self, classification: &Classification) -> Option<&String> {
        match classification {
            Classification::Matched(class) => Some(&self.group_names[usize::from(class.group)]),
            Classification::Rejected { .. } => None,
            Classification::NoRule => self.installation.fallback_group.as_ref(),
        }
    }

    /// What a request came to, the values that its rule gave it, and why no rule before that one matched.
    fn explain(&self, request: &LiteralRequest) -> String {
        let classification = self.table.classify(request, &mut Scratch::default());
        let mut lines = vec![self.describe(&classification)];
        lines.extend(class_values(&classification));
        let rules = &self.installation.rules;
        let matched = matched_rule(&classification).map_or(rules.len(), |rule| rule as usize);
        let limits = self.installation.expressions.limits();
        for (index, rule) in rules[..matched].iter().enumerate() {
            let mismatch = mismatch(rule, request, limits);
            lines.push(format!("rules[{index}] does not: {mismatch}"));
        }
        lines.join("\n").trim_end().to_string()
    }
}

/// Index of the rule that matched, if any did.
fn matched_rule(classification: &Classification) -> Option<u32> {
    match classification {
        Classification::Matched(class) => Some(class.rule),
        Classification::Rejected { rule, .. } => Some(*rule),
        Classification::NoRule => None,
    }
}

/// A line for each value that a rule gave the request.
fn class_values(classification: &Classification) -> Vec<String> {
    let Classification::Matched(class) = classification else {
        return Vec::new();
    };
    let session_key = class.session_key.map(|key| format!("subject: {key:016x}"));
    let rank = class.rank.map(|rank| format!("rank: {rank}"));
    let timeout = class.timeout;
    let timeout = timeout.map(|timeout| format!("due: {} ms", timeout / MILLISECOND));
    let idempotency_key = class.idempotency_key.map(|key| {
        let [first, second, ..] = key;
        format!("idempotency_key: digest {first:02x}{second:02x}...")
    });
    [session_key, rank, timeout, idempotency_key]
        .into_iter()
        .flatten()
        .map(|value| format!("  {value}"))
        .collect()
}

/// Tries all cases; the report names those that came to something else.
fn test(rules: &Rules, cases: &Path) -> Result<String, RoutesError> {
    let cases: Vec<Case> = deserialize::all_errors(&input::json(cases, "cases")?, "cases")?;
    let mut report = String::new();
    let mut failed = 0;
    let mut scratch = Scratch::default();
    for (index, case) in cases.iter().enumerate() {
        let path = format!("cases[{index}].request");
        let request = case.request.request(&path)?;
        let classification = rules.table.classify(&request, &mut scratch);
        let differences = case.differences(rules, &classification);
        if !differences.is_empty() {
            failed += 1;
            let (name, differences) = (&case.name, differences.join("\n"));
            // Writing to a string can't fail.
            _ = writeln!(report, "{name}: differs (- wanted, + found)\n{differences}");
        }
    }
    let passed = cases.len() - failed;
    _ = write!(report, "{passed} of {} cases as wanted", cases.len());
    if failed == 0 {
        Ok(report)
    } else {
        Err(RoutesError::CasesDiffer(report))
    }
}

impl Case {
    /// What differs from what is wanted: two lines each.
    fn differences(&self, rules: &Rules, found: &Classification) -> Vec<String> {
        let mut differences = Vec::new();
        let rule = matched_rule(found);
        if let Some(wanted) = self.rule.filter(|wanted| *wanted != rule) {
            differences.push(format!(
                "  - {}\n  + {}",
                rule_name(wanted),
                rule_name(rule)
            ));
        }
        let group = rules.group_name(found);
        if let Some(wanted) = self.group.as_ref().filter(|wanted| Some(*wanted) != group) {
            differences.push(format!("  - group {wanted}\n  + {}", rules.describe(found)));
        }
        let is_refused = matches!(found, Classification::Rejected { .. });
        if is_refused != self.refused {
            let wanted = if self.refused { "refused" } else { "taken" };
            differences.push(format!("  - {wanted}\n  + {}", rules.describe(found)));
        }
        differences
    }
}

fn rule_name(rule: Option<u32>) -> String {
    rule.map_or("no rule".into(), |rule| format!("rules[{rule}]"))
}

/// The first part of a rule's condition that does not hold, as it is written.
fn mismatch(rule: &RuleConfig, request: &LiteralRequest, limits: Limits) -> String {
    let Ok(condition) = parse(&rule.when) else {
        return String::new();
    };
    let source_at = |span: Span| rule.when.get(span.from..span.to).unwrap_or_default();
    let parts = if let Kind::All(parts) = &condition.kind {
        &parts[..]
    } else {
        std::slice::from_ref(&condition)
    };
    let is_false = |source: &&str| {
        infer(source, limits)
            .is_ok_and(|program| !program.is_true(request, &mut Scratch::default()))
    };
    let failing = parts.iter().map(|part| source_at(part.span)).find(is_false);
    format!("{} is false", failing.unwrap_or(&rule.when))
}

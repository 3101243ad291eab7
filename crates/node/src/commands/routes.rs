//! `doortrack routes`: tests the rules of an installation file on sample requests, before the rules classify live
//! ones. It blocks on reading the files.

use std::fmt::{self, Display, Write};
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use doortrack_config::rules::RuleConfig;
use doortrack_config::{ConfigErrors, Installation, deserialize, installation, node_config};
use doortrack_expr::{Kind, Limits, LiteralRequest, Scratch, Span, infer, parse};
use doortrack_routes::{Classification, IdempotencyKey, Rejection, Table};
use doortrack_time::MILLISECOND;
use serde::Deserialize;

use super::request_file::{self, RequestFile};

/// The files with the rules.
#[derive(Args)]
pub struct RuleFiles {
    /// The operators' installation file, with the rules
    #[arg(long, value_name = "FILE")]
    installation: PathBuf,
    /// The platform's configuration, with the endpoint groups and tenants; default: those that the rules
    /// name
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// Commands that test rules.
#[derive(Subcommand)]
pub enum RoutesCommand {
    /// Runs test cases for the rules, and prints those with unexpected results
    Test {
        /// The files with the rules
        #[command(flatten)]
        files: RuleFiles,
        /// A list of cases: {"name", "request", "rule", "group"}; rule null means that no rule matches
        #[arg(long, value_name = "FILE")]
        cases: PathBuf,
    },
    /// Prints which rule matches a request, and why those before it do not
    Explain {
        /// The files with the rules
        #[command(flatten)]
        files: RuleFiles,
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        #[arg(long, value_name = "FILE")]
        request: PathBuf,
    },
}

/// A request with its expected classification. Absent expectations are not checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    #[serde(default)]
    request: RequestFile,
    /// Index of the expected rule; null if no rule should match.
    #[serde(default, deserialize_with = "deserialize_present")]
    rule: Option<Option<u32>>,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    refused: bool,
}

/// Distinguishes null from an absent key.
fn deserialize_present<'de, D: serde::Deserializer<'de>>(
    from: D,
) -> Result<Option<Option<u32>>, D::Error> {
    Deserialize::deserialize(from).map(Some)
}

/// Why a test of rules failed.
#[derive(Debug)]
pub enum RoutesError {
    /// A file is invalid.
    Config(ConfigErrors),
    /// Cases had unexpected results. The text is the report.
    CasesDiffer(String),
}

impl From<ConfigErrors> for RoutesError {
    fn from(errors: ConfigErrors) -> RoutesError {
        RoutesError::Config(errors)
    }
}

/// Prints each error of a file on its own line.
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

/// Executes a command and returns the text to print.
///
/// # Errors
/// A file is invalid, or a case had an unexpected result.
pub fn run(command: &RoutesCommand) -> Result<String, RoutesError> {
    match command {
        RoutesCommand::Test { files, cases } => run_cases(&files.read()?, cases),
        RoutesCommand::Explain { files, request } => {
            let request = request_file::read_request(request)?;
            Ok(files.read()?.explain(&request))
        }
    }
}

/// The rules of an installation.
struct Rules {
    installation: Installation,
    table: Table,
    /// Names of the endpoint groups, by index in the table.
    group_names: Vec<String>,
}

impl RuleFiles {
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
    /// Describes a classification in words.
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

    /// The name of the classified group, if any.
    fn group_name(&self, classification: &Classification) -> Option<&String> {
        match classification {
            Classification::Matched(class) => Some(&self.group_names[usize::from(class.group)]),
            Classification::Rejected { .. } => None,
            Classification::NoRule => self.installation.fallback_group.as_ref(),
        }
    }

    /// Describes the classification of a request, the values that its rule assigned, and why no earlier rule matched.
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

/// Returns a line for each value that the rule assigned to the request.
fn class_values(classification: &Classification) -> Vec<String> {
    let Classification::Matched(class) = classification else {
        return Vec::new();
    };
    let session_key = class.session_key.map(|key| format!("subject: {key:016x}"));
    let rank = class.rank.map(|rank| format!("rank: {rank}"));
    let timeout = class.timeout;
    let timeout = timeout.map(|timeout| format!("due: {} ms", timeout / MILLISECOND));
    let idempotency_key = class.idempotency_key.map(|key| match key {
        IdempotencyKey::Platform([first, second, ..]) => {
            format!("idempotency_key: of the platform, {first:02x}{second:02x}...")
        }
        IdempotencyKey::Derived([first, second, ..]) => {
            format!("idempotency_key: digest {first:02x}{second:02x}...")
        }
    });
    [session_key, rank, timeout, idempotency_key]
        .into_iter()
        .flatten()
        .map(|value| format!("  {value}"))
        .collect()
}

/// Runs all cases. The report names those with unexpected results.
fn run_cases(rules: &Rules, cases: &Path) -> Result<String, RoutesError> {
    let cases: Vec<Case> =
        deserialize::all_errors(&request_file::read_json(cases, "cases")?, "cases")?;
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
    /// The differences from the expected result, as two lines each.
    fn differences(&self, rules: &Rules, actual: &Classification) -> Vec<String> {
        let mut differences = Vec::new();
        let rule = matched_rule(actual);
        if let Some(expected) = self.rule.filter(|expected| *expected != rule) {
            differences.push(format!(
                "  - {}\n  + {}",
                rule_name(expected),
                rule_name(rule)
            ));
        }
        let group = rules.group_name(actual);
        if let Some(expected) = self
            .group
            .as_ref()
            .filter(|expected| Some(*expected) != group)
        {
            differences.push(format!(
                "  - group {expected}\n  + {}",
                rules.describe(actual)
            ));
        }
        let is_refused = matches!(actual, Classification::Rejected { .. });
        if is_refused != self.refused {
            let expected = if self.refused { "refused" } else { "taken" };
            differences.push(format!("  - {expected}\n  + {}", rules.describe(actual)));
        }
        differences
    }
}

fn rule_name(rule: Option<u32>) -> String {
    rule.map_or("no rule".into(), |rule| format!("rules[{rule}]"))
}

/// Names the first part of a rule's condition that is false, as written in the file.
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

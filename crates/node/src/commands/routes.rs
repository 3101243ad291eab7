//! `doortrack routes`: rules tried on requests that were written down, before they class live ones.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use doortrack_config::rules::RuleConfig;
use doortrack_config::{ConfigErrors, Installation, deserialize, installation, node_config};
use doortrack_expr::{Kind, Limits, LiteralRequest, Scratch, Span, infer, parse};
use doortrack_routes::{Classification, Rejection, Table};
use serde::Deserialize;

use super::input::{self, RequestFile};

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

#[derive(Subcommand)]
pub enum RoutesCommand {
    /// Tries cases that are kept beside the rules, and prints where they came to something else
    Test {
        #[command(flatten)]
        files: Files,
        /// A list of cases: {"name", "request", "rule", "group"}; rule null means that none takes it
        #[arg(long, value_name = "FILE")]
        cases: PathBuf,
    },
    /// Tells which rule takes a request, and why those before it do not
    Explain {
        #[command(flatten)]
        files: Files,
        #[arg(long, value_name = "FILE")]
        request: PathBuf,
    },
}

/// What a request is to come to. What is not said is not looked at.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    #[serde(default)]
    request: RequestFile,
    /// The place of the rule, from 0; null where none takes it.
    #[serde(default, deserialize_with = "said")]
    rule: Option<Option<u32>>,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    refused: bool,
}

/// Tells a null that is there from nothing.
fn said<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<Option<u32>>, D::Error> {
    Deserialize::deserialize(from).map(Some)
}

pub fn run(command: &RoutesCommand) -> Result<String, String> {
    let all = |faults: ConfigErrors| {
        faults
            .0
            .iter()
            .map(|fault| format!("{fault}\n"))
            .collect::<String>()
            .trim_end()
            .to_string()
    };
    match command {
        RoutesCommand::Test { files, cases } => {
            test(&files.read().map_err(all)?, cases).map_err(all)?
        }
        RoutesCommand::Explain { files, request } => {
            let request = input::read(request).map_err(all)?;
            Ok(explain(&files.read().map_err(all)?, &request))
        }
    }
}

/// Rules with the names of the groups in the order of the table's places.
struct Read {
    installation: Installation,
    table: Table,
    groups: Vec<String>,
}

impl Files {
    fn read(&self) -> Result<Read, ConfigErrors> {
        let installation = installation::read(&self.installation)?;
        let (table, groups) = match &self.config {
            Some(path) => {
                let handed = node_config::read_file(path)?.settings;
                (installation.table(&handed)?, handed.group_names)
            }
            None => (
                installation.table_without_deployment()?,
                installation.groups_in_rules(),
            ),
        };
        let built =
            table.ok_or_else(|| ConfigErrors::one("installation.rules", "there are none"))?;
        Ok(Read {
            installation,
            table: built.table,
            groups,
        })
    }
}

/// What a request came to, in words.
fn words(read: &Read, classed: &Classification) -> String {
    match classed {
        Classification::As(class) => {
            format!(
                "rules[{}], group {}",
                class.rule,
                read.groups[usize::from(class.group)]
            )
        }
        Classification::Rejected {
            rule,
            why: Rejection::Tenant,
        } => {
            format!("rules[{rule}], refused: no known customer")
        }
        Classification::Rejected {
            rule,
            why: Rejection::IdempotencyKey,
        } => {
            format!("rules[{rule}], refused: no idempotency key")
        }
        Classification::NoRule => match &read.installation.fallback_group {
            Some(group) => format!("no rule, group {group}"),
            None => "no rule, 404".into(),
        },
    }
}

type Tested = Result<String, String>;

fn test(read: &Read, cases: &Path) -> Result<Tested, ConfigErrors> {
    let cases: Vec<Case> = deserialize::all_errors(&input::json(cases, "cases")?, "cases")?;
    let (mut out, mut failed, mut scratch) = (String::new(), 0, Scratch::default());
    for (nth, case) in cases.iter().enumerate() {
        let request = case.request.request(&format!("cases[{nth}].request"))?;
        let classed = read.table.classify(&request, &mut scratch);
        let (rule, group) = match &classed {
            Classification::As(class) => (
                Some(class.rule),
                Some(read.groups[usize::from(class.group)].clone()),
            ),
            Classification::Rejected { rule, .. } => (Some(*rule), None),
            Classification::NoRule => (None, read.installation.fallback_group.clone()),
        };
        let mut differs = Vec::new();
        if let Some(wanted) = case.rule.filter(|wanted| *wanted != rule) {
            let place =
                |rule: Option<u32>| rule.map_or("no rule".into(), |rule| format!("rules[{rule}]"));
            differs.push(format!("  - {}\n  + {}", place(wanted), place(rule)));
        }
        if let Some(wanted) = case
            .group
            .as_ref()
            .filter(|wanted| Some(*wanted) != group.as_ref())
        {
            differs.push(format!("  - group {wanted}\n  + {}", words(read, &classed)));
        }
        let refused = matches!(classed, Classification::Rejected { .. });
        if refused != case.refused {
            differs.push(format!(
                "  - {}\n  + {}",
                if case.refused { "refused" } else { "taken" },
                words(read, &classed)
            ));
        }
        if !differs.is_empty() {
            failed += 1;
            // Writing to memory can't fail.
            _ = writeln!(
                out,
                "{}: differs (- wanted, + found)\n{}",
                case.name,
                differs.join("\n")
            );
        }
    }
    _ = write!(
        out,
        "{} of {} cases as wanted",
        cases.len() - failed,
        cases.len()
    );
    Ok(if failed == 0 { Ok(out) } else { Err(out) })
}

fn explain(read: &Read, request: &LiteralRequest) -> String {
    let mut scratch = Scratch::default();
    let classed = read.table.classify(request, &mut scratch);
    let taken = match classed {
        Classification::As(class) => Some(class.rule as usize),
        Classification::Rejected { rule, .. } => Some(rule as usize),
        Classification::NoRule => None,
    };
    let mut out = format!("{}\n", words(read, &classed));
    if let Classification::As(class) = &classed {
        let of = |name: &str, value: String| format!("  {name}: {value}\n");
        out += &class.session_key.map_or_else(String::new, |subject| {
            of("subject", format!("{subject:016x}"))
        });
        out += &class
            .rank
            .map_or_else(String::new, |rank| of("rank", rank.to_string()));
        out += &class
            .timeout
            .map_or_else(String::new, |due| of("due", format!("{} ms", due / 10)));
        out += &class.idempotency_key.map_or_else(String::new, |key| {
            of(
                "idempotency_key",
                format!("digest {:02x}{:02x}...", key[0], key[1]),
            )
        });
    }
    let before = &read.installation.rules[..taken.unwrap_or(read.installation.rules.len())];
    for (nth, rule) in before.iter().enumerate() {
        _ = writeln!(
            out,
            "rules[{nth}] does not: {}",
            why_not(rule, request, read.installation.expressions.limits())
        );
    }
    out.trim_end().to_string()
}

/// The first part of a condition that does not hold, as it stands there.
fn why_not(rule: &RuleConfig, request: &LiteralRequest, limits: Limits) -> String {
    let Ok(when) = parse(&rule.when) else {
        return String::new();
    };
    let part = |span: Span| rule.when.get(span.from..span.to).unwrap_or_default();
    let parts = if let Kind::All(parts) = &when.kind {
        &parts[..]
    } else {
        std::slice::from_ref(&when)
    };
    let fails = parts
        .iter()
        .map(|part_of| part(part_of.span))
        .find(|source| {
            infer(source, limits)
                .is_ok_and(|program| !program.is_true(request, &mut Scratch::default()))
        });
    format!("{} is false", fails.unwrap_or(&rule.when))
}

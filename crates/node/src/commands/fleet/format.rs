//! Formats a node's view of its fleet, as JSON for programs or as text for people.

use std::fmt::Write;

use doortrack_budgets::Units;
use doortrack_membership::{MemberReport, Name};
use serde_json::{Value, json};

use super::query::{BudgetsView, FleetView};
use crate::peers::peer_message::{BudgetStatus, Status};

/// Rates are thousandths of a request per second in messages, and requests per second in output.
const RATE_SCALE: f64 = 1_000.0;

/// Formats the members and budgets as one JSON object.
pub(super) fn json(view: &FleetView, budgets: &BudgetsView) -> Value {
    let Status {
        fleet,
        name,
        incarnation,
        ..
    } = &view.status;
    let status = &view.status;
    let members: Vec<Value> = view.members.iter().map(member_json).collect();
    let leader = budgets.leader.as_ref();
    let budgets: Vec<Value> = budgets
        .budgets
        .iter()
        .map(|budget| budget_json(budget, leader))
        .collect();
    json!({"fleet": fleet, "name": &**name, "incarnation": incarnation.to_string(),
        "view": status.view, "digest": format!("{:016x}", status.digest), "in_view": status.in_view,
        "isolated": status.isolated, "superseded": status.superseded,
        "members": members, "budgets": budgets})
}

fn member_json(report: &MemberReport) -> Value {
    json!({"name": &*report.name, "incarnation": report.incarnation.to_string(),
        "address": report.address.to_string(), "state": report.state, "weight": report.weight,
        "slow": report.slow, "since_ms": report.for_ms})
}

fn budget_json(budget: &BudgetStatus, leader: Option<&Name>) -> Value {
    let units = |units: Units| {
        if budget.rate {
            json!(units as f64 / RATE_SCALE)
        } else {
            json!(units)
        }
    };
    let kind = if budget.rate { "rate" } else { "concurrency" };
    json!({"name": budget.name, "kind": kind, "limit": budget.limit,
        "allocation": units(budget.allocation), "used": budget.used, "rejected": budget.rejected,
        "need": units(budget.need), "in_use": units(budget.in_use), "until_ms": budget.until_ms,
        "granted": budget.granted.map(units), "leader": leader.map(|name| &**name)})
}

/// Formats the members and budgets as text: a line for the node, then one for each member and each budget.
pub(super) fn text(view: &FleetView, budgets: &BudgetsView) -> String {
    let mut lines = vec![status_line(&view.status)];
    lines.extend(view.members.iter().map(member_line));
    lines.extend(budgets.budgets.iter().map(budget_line));
    lines.join("\n")
}

fn status_line(status: &Status) -> String {
    let mut line = format!(
        "{} of {}: view {} with {} members",
        status.name, status.fleet, status.view, status.in_view
    );
    if status.isolated {
        line += ", isolated";
    }
    if status.superseded {
        line += ", superseded by a process of the same name";
    }
    line
}

fn member_line(report: &MemberReport) -> String {
    format!(
        "{:<16} {:<10} {:<22} weight {:<4} incarnation {}  for {} ms",
        report.name,
        state(report),
        report.address,
        report.weight,
        report.incarnation,
        report.for_ms
    )
}

fn budget_line(budget: &BudgetStatus) -> String {
    let scale = if budget.rate { RATE_SCALE } else { 1.0 };
    let (allocation, need) = (budget.allocation as f64 / scale, budget.need as f64 / scale);
    let mut line = format!(
        "budget {:<16} {allocation:.1} of {}, needs {need:.1}, {} used, {} rejected",
        budget.name, budget.limit, budget.used, budget.rejected
    );
    if let Some(ms) = budget.until_ms {
        // Writing to a string can't fail.
        _ = write!(line, "  for {ms} ms");
    }
    line
}

/// A member's state in one word, followed by `slow` if it is slow.
pub(super) fn state(report: &MemberReport) -> String {
    let state = serde_json::to_value(report.state).unwrap_or_default();
    let state = state.as_str().unwrap_or_default();
    if report.slow {
        format!("{state}, slow")
    } else {
        state.to_string()
    }
}

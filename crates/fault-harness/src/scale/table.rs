//! Formats series and their fitted lines as tables.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use serde::Serialize;

use super::fit::{Fit, FittedSeries, Projection};
use super::series::Dimension;

/// Returns the serialized name of a role, quantity or dimension.
fn serialized_name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).ok();
    value
        .as_ref()
        .and_then(|value| value.as_str())
        .unwrap_or_default()
        .to_string()
}

/// Formats a number with four significant digits.
pub fn format_number(value: f64) -> String {
    if !value.is_finite() {
        return "-".into();
    }
    let whole_digits = if value == 0.0 {
        1
    } else {
        value.abs().log10().floor() as i32 + 1
    };
    let decimals = (4 - whole_digits).clamp(0, 6) as usize;
    format!("{value:.decimals$}")
}

/// Formats one table for each dimension and set of fixed values, with a column for each size.
pub fn text(all: &[FittedSeries]) -> String {
    let mut groups: Vec<(Dimension, &str)> = Vec::new();
    for fitted in all {
        let group = (fitted.series.dimension, fitted.series.held.as_str());
        if !groups.contains(&group) {
            groups.push(group);
        }
    }
    let tables = groups.into_iter().map(|(dimension, held)| {
        let of_group = |fitted: &&FittedSeries| {
            fitted.series.dimension == dimension && fitted.series.held == held
        };
        let members: Vec<&FittedSeries> = all.iter().filter(of_group).collect();
        format!(
            "by {}, with {held}:\n{}\n",
            serialized_name(&dimension),
            table(&members)
        )
    });
    tables.collect::<Vec<_>>().join("\n")
}

fn table(members: &[&FittedSeries]) -> Table {
    let mut sizes: Vec<f64> = members
        .iter()
        .flat_map(|fitted| fitted.series.points.iter().map(|point| point.size))
        .collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    let mut header = vec!["role".to_string(), "quantity".to_string()];
    header.extend(sizes.iter().map(|size| format_number(*size)));
    header.extend(["at 0", "for each", "+-", "R2", "line says"].map(String::from));
    table.set_header(header);
    for fitted in members {
        table.add_row(row(fitted, &sizes));
    }
    for column in table.column_iter_mut().skip(2) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn row(fitted: &FittedSeries, sizes: &[f64]) -> Vec<String> {
    let mut row = vec![
        serialized_name(&fitted.series.role),
        serialized_name(&fitted.series.quantity),
    ];
    for size in sizes {
        let values = fitted
            .series
            .points
            .iter()
            .filter(|point| point.size == *size);
        let values: Vec<String> = values.map(|point| format_number(point.value)).collect();
        row.push(if values.is_empty() {
            "-".into()
        } else {
            values.join(", ")
        });
    }
    row.extend(fit_cells(fitted.fit.as_ref()));
    row.push(
        fitted
            .projection
            .as_ref()
            .map_or("-".into(), projection_cell),
    );
    row
}

fn fit_cells(fit: Option<&Fit>) -> [String; 4] {
    let Some(fit) = fit else {
        return std::array::from_fn(|_| "-".into());
    };
    let r_squared = format!("{:.3}", fit.r_squared);
    [
        format_number(fit.intercept),
        format_number(fit.slope),
        format_number(fit.slope_standard_error),
        r_squared,
    ]
}

fn projection_cell(projection: &Projection) -> String {
    let how = if projection.extrapolated {
        "extrapolated"
    } else {
        "within"
    };
    format!(
        "{} at {} ({how})",
        format_number(projection.value),
        format_number(projection.size)
    )
}

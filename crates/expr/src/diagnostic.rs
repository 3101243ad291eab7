//! Errors in a source, with their position and a hint for correcting them.

use miette::{GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource};

use crate::ast::Span;

/// An error in a source, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Diagnostic {
    /// The error message.
    pub message: String,
    /// Position in the source.
    pub span: Span,
    /// A short label for the span.
    pub label: String,
    /// A hint for correcting the error.
    pub help: Option<String>,
}

impl Diagnostic {
    pub(crate) fn new(
        span: Span,
        message: impl Into<String>,
        label: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            message: message.into(),
            span,
            label: label.into(),
            help: None,
        }
    }

    pub(crate) fn help(mut self, help: impl Into<String>) -> Diagnostic {
        self.help = Some(help.into());
        self
    }

    /// Line and column of the error, counted from 1.
    pub fn place(&self, source: &str) -> (usize, usize) {
        let before = &source[..source.floor_char_boundary(self.span.from.min(source.len()))];
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .unwrap_or_default()
            .chars()
            .count()
            + 1;
        (line, column)
    }

    /// Formats the error as one line, for a log.
    pub fn line(&self, source: &str) -> String {
        let (line, column) = self.place(source);
        let help = self
            .help
            .as_ref()
            .map_or_else(String::new, |help| format!("; {help}"));
        format!("{line}:{column}: {}{help}", self.message)
    }
}

impl miette::Diagnostic for Diagnostic {
    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        self.help
            .as_ref()
            .map(|help| Box::new(help) as Box<dyn std::fmt::Display>)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let length = (self.span.to - self.span.from).max(1);
        let label = LabeledSpan::new(Some(self.label.clone()), self.span.from, length);
        Some(Box::new(std::iter::once(label)))
    }
}

/// Renders all errors with the source lines they refer to.
pub fn render(name: &str, source: &str, errors: &[Diagnostic]) -> String {
    let handler =
        GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor()).with_width(100);
    let mut out = String::new();
    for error in errors {
        let report = miette::Report::new(error.clone())
            .with_source_code(NamedSource::new(name, source.to_string()));
        // Writing to memory can't fail.
        _ = handler.render_report(&mut out, report.as_ref());
    }
    out
}

/// Returns the known name closest to `name`, if one is close enough to suggest.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = known.map(|other| (strsim::damerau_levenshtein(name, other), other));
    let (distance, other) = near.min()?;
    (distance <= name.len().max(3) / 3).then_some(other)
}

//! Figures in the log lines of a node, in the text format.

/// Messages of the line that sums up a server pool; earlier builds write the second.
const POOL_SUMMARY: [&str; 2] = ["servers summary", "so far of servers"];

/// Whether a line sums up a server pool.
pub fn is_pool_summary(line: &str) -> bool {
    POOL_SUMMARY.iter().any(|message| line.contains(message))
}

/// The value of a key, if the line has it.
pub fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {key}="))?;
    rest.split_whitespace().next()
}

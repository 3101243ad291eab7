//! Parsing of the log lines that a node writes in the text format.

/// Messages of the summary line of a server pool; earlier builds write the second.
const POOL_SUMMARY: [&str; 2] = ["servers summary", "so far of servers"];

/// Returns true if the line is the summary of a server pool.
pub fn is_pool_summary(line: &str) -> bool {
    POOL_SUMMARY.iter().any(|message| line.contains(message))
}

/// Returns the value of a key, if the line has that key.
pub fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {key}="))?;
    rest.split_whitespace().next()
}

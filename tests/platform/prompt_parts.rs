//! The parts of prompts in requests to stand-in replicas, and those that crash them.

use crate::wire::Message;

/// Ids of parts that crash each replica which begins to write an answer on them.
pub const DEADLY_PARTS: [&str; 2] = ["dead0a01", "dead0a02"];

/// A part that all requests of a test may share.
pub const SHARED_PART: &str = "5c1e07a2";

/// Formats the header that lists a prompt's parts, each of 100 tokens, ended by CRLF.
pub fn prefix_line(ids: &[&str]) -> String {
    let parts: Vec<String> = ids.iter().map(|id| format!("{id}:100")).collect();
    format!("X-Model-Name: m\r\nX-Prompt-Prefix: {}\r\n", parts.join(","))
}

/// Whether one of the parts of a request's prompt, other than the last, crashes replicas.
pub fn has_deadly_part(request: &Message) -> bool {
    let parts = request.header("X-Prompt-Prefix").unwrap_or_default();
    let ids: Vec<&str> = parts
        .split(',')
        .filter_map(|part| part.split(':').next())
        .collect();
    let shared = ids.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().any(|id| DEADLY_PARTS.contains(id))
}

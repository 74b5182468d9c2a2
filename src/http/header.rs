//! Header fields, stored as ranges of one byte buffer.

use std::ops::Range;

/// Hop-by-hop headers, which concern one connection only (RFC 9110, section 7.6.1, and older names still in
/// use).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header is always hop-by-hop; a message's `Connection` header may name others.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop))
}

/// The ranges of a header line's name and value in the buffer.
#[derive(Clone, Debug)]
struct HeaderSpan {
    name: Range<usize>,
    value: Range<usize>,
}

/// The headers of one message, in their original order and spelling.
#[derive(Clone, Default)]
pub struct HeaderList {
    bytes: Vec<u8>,
    spans: Vec<HeaderSpan>,
}

/// Shows the names only, since values may be API keys and other credentials.
impl std::fmt::Debug for HeaderList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_list()
            .entries(self.iter().map(|(name, _)| name))
            .finish()
    }
}

impl HeaderList {
    /// Creates an empty list with capacity for `lines` headers and `bytes` bytes of names and values.
    pub fn with_capacity(lines: usize, bytes: usize) -> Self {
        Self {
            bytes: Vec::with_capacity(bytes),
            spans: Vec::with_capacity(lines),
        }
    }

    /// Appends a header line.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        let name_start = self.bytes.len();
        self.bytes.extend_from_slice(name.as_bytes());
        let value_start = self.bytes.len();
        self.bytes.extend_from_slice(value);
        self.spans.push(HeaderSpan {
            name: name_start..value_start,
            value: value_start..self.bytes.len(),
        });
    }

    /// All header lines in order, as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|span| {
            let name = std::str::from_utf8(&self.bytes[span.name.clone()]).unwrap_or_default();
            (name, &self.bytes[span.value.clone()])
        })
    }

    /// The values of all lines with a name, ignoring case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(line_name, _)| line_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first line with a name, ignoring case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut lines = self.iter();
        let line = lines.find(|(line_name, _)| line_name.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value)
    }

    /// The value of the first line with a name; `None` if it is not valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The value of the first line with a name; `None` if it is not an unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.trim().parse().ok()
    }

    /// Whether there is a line with a name, ignoring case.
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }

    /// The number of header lines, counting repeated names.
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Whether the message has no headers.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }
}

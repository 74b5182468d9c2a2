//! Parsing of log lines.

/// A parsed log line, with the VM that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Name of the VM, from the line's prefix or the name of its log file.
    pub vm: String,
    /// Seconds since the Unix epoch.
    pub time: f64,
    /// Name of the event; never empty.
    pub event: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. A prefix before its time, as collectors of several VMs' logs add it, ends with the VM's
    /// name; without one, the line belongs to `default_vm`. `None` if the text is no line of this log.
    pub fn parse(text: &str, default_vm: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let prefix = text[..start].split_whitespace().next_back();
        let mut line = Self {
            vm: prefix.unwrap_or(default_vm).to_owned(),
            time: 0.0,
            event: String::new(),
            fields: Vec::new(),
        };
        for (name, value) in split_fields(&text[start..]) {
            match name {
                "time" => line.time = value.parse().ok()?,
                "event" => line.event = value.to_owned(),
                "level" => {}
                _ => line.fields.push((name.to_owned(), value.to_owned())),
            }
        }
        (!line.event.is_empty()).then_some(line)
    }

    /// The value of a field; empty if the line lacks it.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        let found = fields.find(|(field, _)| field == name);
        found.map_or("", |(_, value)| value)
    }

    /// The value of a field as an integer; zero if the line lacks it or it is not one.
    pub fn number(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }

    /// Whether any field has this value.
    pub fn has_value(&self, value: &str) -> bool {
        self.fields.iter().any(|(_, field_value)| field_value == value)
    }
}

impl std::fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.3} {} {}", self.time, self.vm, self.event)?;
        for (name, value) in &self.fields {
            write!(formatter, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Splits a line into its fields; a quoted value may contain spaces.
fn split_fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = text;
    std::iter::from_fn(move || {
        loop {
            rest = rest.trim_start();
            if rest.is_empty() {
                return None;
            }
            let end = rest.find([' ', '=']).unwrap_or(rest.len());
            let name = &rest[..end];
            if !rest[end..].starts_with('=') {
                rest = &rest[end..];
                continue;
            }
            let value_start = &rest[end + 1..];
            let (value, used) = match value_start.strip_prefix('"') {
                Some(quoted) => {
                    let length = quoted.find('"').unwrap_or(quoted.len());
                    (&quoted[..length], (length + 2).min(value_start.len()))
                }
                None => {
                    let length = value_start.find(' ').unwrap_or(value_start.len());
                    (&value_start[..length], length)
                }
            };
            rest = &value_start[used..];
            return Some((name, value));
        }
    })
}

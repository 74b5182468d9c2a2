//! Reads settings one by one, noting where each came from and every fault.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::SharedKey;
use crate::controllers::slots::PlacementPolicy;
use crate::prelude::*;

/// Where a setting's value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingSource {
    /// A flag on the command line.
    Flag,
    /// An environment variable.
    Environment,
    /// The default, or another setting that it follows.
    Default,
}

impl SettingSource {
    /// The word printed for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Flag => "flag",
            Self::Environment => "environment",
            Self::Default => "default",
        }
    }
}

/// A setting in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingRow {
    /// The flag's name without the dashes.
    pub name: &'static str,
    /// The value, hidden where it is secret.
    pub value: String,
    /// Where it came from.
    pub source: SettingSource,
}

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// The kind of fault.
    pub code: ResultCode,
    /// The flag's name without the dashes.
    pub name: &'static str,
    /// What is wrong and what to give instead.
    pub reason: String,
}

impl std::fmt::Display for SettingFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "--{} (or {}): {} [{} {}]",
            self.name,
            environment_name(self.name),
            self.reason,
            self.code.number(),
            self.code.entry().name
        )
    }
}

/// The environment variable that stands for a flag.
pub fn environment_name(flag: &str) -> String {
    format!("DOTTERELSPAN_{}", flag.replace('-', "_").to_uppercase())
}

/// Looks values up and collects rows and faults.
pub struct SettingReader<'a> {
    flags: &'a FastMap<&'static str, String>,
    environment: &'a dyn Fn(&str) -> Option<String>,
    /// The settings read so far.
    pub rows: Vec<SettingRow>,
    /// The faults found so far.
    pub faults: Vec<SettingFault>,
}

impl<'a> SettingReader<'a> {
    /// A reader over the given flags and environment.
    pub fn new(
        flags: &'a FastMap<&'static str, String>,
        environment: &'a dyn Fn(&str) -> Option<String>,
    ) -> Self {
        Self {
            flags,
            environment,
            rows: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn fault(&mut self, code: ResultCode, name: &'static str, reason: String) {
        self.faults.push(SettingFault { code, name, reason });
    }

    fn look_up(&mut self, name: &'static str, default: Option<&str>) -> Option<String> {
        let variable = environment_name(name);
        let found = if let Some(value) = self.flags.get(name) {
            Some((value.clone(), SettingSource::Flag))
        } else if let Some(value) = (self.environment)(&variable) {
            Some((value, SettingSource::Environment))
        } else {
            default.map(|value| (value.to_owned(), SettingSource::Default))
        };
        let Some((value, source)) = found else {
            let reason = "no value was given and there is no default".to_owned();
            self.fault(ResultCode::SettingMissing, name, reason);
            return None;
        };
        self.rows.push(SettingRow {
            name,
            value: value.clone(),
            source,
        });
        Some(value)
    }

    fn parse<T>(
        &mut self,
        name: &'static str,
        default: Option<&str>,
        wanted: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.look_up(name, default)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            self.fault(
                ResultCode::SettingInvalid,
                name,
                format!("`{value}` is not {wanted}"),
            );
        }
        parsed
    }

    /// A text that is not empty.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> Option<String> {
        let wanted = "a name of letters, digits, dots and dashes";
        let is_name_char =
            |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.' || byte == b'_';
        self.parse(name, default, wanted, |text| {
            (!text.is_empty() && text.bytes().all(is_name_char)).then(|| text.to_owned())
        })
    }

    /// An IP address with a port.
    pub fn address(&mut self, name: &'static str, default: Option<&str>) -> Option<SocketAddr> {
        let wanted = "an IP address with a port, such as 10.0.0.7:7100";
        self.parse(name, default, wanted, |text| text.parse().ok())
    }

    /// An address that follows another setting where it is not given.
    pub fn address_or(&mut self, name: &'static str, other: Option<SocketAddr>) -> Option<SocketAddr> {
        let default = other.map(|address| address.to_string());
        if default.is_none() && !self.flags.contains_key(name) {
            return None;
        }
        self.address(name, default.as_deref())
    }

    /// Addresses with commas between them, possibly none.
    pub fn addresses(&mut self, name: &'static str) -> Option<Vec<SocketAddr>> {
        let wanted = "IP addresses with ports and commas between them";
        self.parse(name, Some(""), wanted, |text| {
            text.split(',')
                .filter(|part| !part.is_empty())
                .map(|part| part.trim().parse().ok())
                .collect()
        })
    }

    /// A whole number within a range.
    pub fn number(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> Option<u64> {
        let wanted = format!("a whole number from {} to {}", range.start(), range.end());
        self.parse(name, Some(&default.to_string()), &wanted, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// The deployment's secret, which no report shows.
    pub fn shared_key(&mut self, name: &'static str) -> Option<SharedKey> {
        let text = self.look_up(name, None)?;
        if let Some(row) = self.rows.last_mut() {
            row.value = "(hidden)".to_owned();
        }
        let key = SharedKey::new(text.as_bytes());
        if key.is_none() {
            let reason = format!("must be at least {} bytes long", SharedKey::MIN_BYTES);
            self.fault(ResultCode::SettingInvalid, name, reason);
        }
        key
    }

    /// The way upstreams are chosen.
    pub fn policy(&mut self, name: &'static str, default: &str) -> Option<PlacementPolicy> {
        let names: Vec<&str> = PlacementPolicy::ALL
            .iter()
            .map(|policy| policy.as_str())
            .collect();
        let wanted = format!("one of {}", names.join(", "));
        self.parse(name, Some(default), &wanted, |text| {
            PlacementPolicy::ALL
                .into_iter()
                .find(|policy| policy.as_str() == text)
        })
    }
}

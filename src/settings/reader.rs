//! Reads settings one by one, recording every fault and the source of each value.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::SharedKey;
use crate::controllers::slots::PlacementPolicy;
use crate::prelude::*;

/// Source of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingSource {
    /// A flag on the command line.
    Flag,
    /// An environment variable.
    Environment,
    /// The default, which may be the value of another setting.
    Default,
}

impl SettingSource {
    /// The source's name in the output of the `settings` subcommand.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Flag => "flag",
            Self::Environment => "environment",
            Self::Default => "default",
        }
    }
}

/// A setting in force, as printed by the `settings` subcommand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingRow {
    /// Name of the flag, without the leading dashes.
    pub name: &'static str,
    /// The value as given, or "(hidden)" for a secret.
    pub value: String,
    /// Source of the value.
    pub source: SettingSource,
}

/// A fault of a setting that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// `SettingMissing` or `SettingInvalid`.
    pub code: ResultCode,
    /// Name of the flag, without the leading dashes.
    pub name: &'static str,
    /// What is wrong, and what is expected instead.
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

/// Name of the environment variable that sets the same value as a flag.
pub fn environment_name(flag: &str) -> String {
    format!("DOTTERELSPAN_{}", flag.replace('-', "_").to_uppercase())
}

/// Looks up settings, flags before environment variables before defaults, and collects the values and faults.
pub struct SettingReader<'a> {
    flags: &'a FastMap<&'static str, String>,
    environment: &'a dyn Fn(&str) -> Option<String>,
    /// The settings read so far, with their sources.
    pub rows: Vec<SettingRow>,
    /// The faults found so far.
    pub faults: Vec<SettingFault>,
}

impl<'a> SettingReader<'a> {
    /// Creates a reader of the given flags, by name, and of environment variables.
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

    fn record_fault(&mut self, code: ResultCode, name: &'static str, reason: String) {
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
            self.record_fault(ResultCode::SettingMissing, name, reason);
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
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.look_up(name, default)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            self.record_fault(
                ResultCode::SettingInvalid,
                name,
                format!("`{value}` is not {expected}"),
            );
        }
        parsed
    }

    /// Reads a name of letters, digits, dots, dashes and underscores that is not empty.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> Option<String> {
        let expected = "a name of letters, digits, dots and dashes";
        let is_name_char =
            |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.' || byte == b'_';
        self.parse(name, default, expected, |text| {
            (!text.is_empty() && text.bytes().all(is_name_char)).then(|| text.to_owned())
        })
    }

    /// Reads an IP address with a port.
    pub fn address(&mut self, name: &'static str, default: Option<&str>) -> Option<SocketAddr> {
        let expected = "an IP address with a port, such as 10.0.0.7:7100";
        self.parse(name, default, expected, |text| text.parse().ok())
    }

    /// Reads an address that defaults to the value of another setting.
    pub fn address_or(&mut self, name: &'static str, other: Option<SocketAddr>) -> Option<SocketAddr> {
        let default = other.map(|address| address.to_string());
        if default.is_none() && !self.flags.contains_key(name) {
            return None;
        }
        self.address(name, default.as_deref())
    }

    /// Reads a list of addresses separated by commas; it may be empty.
    pub fn addresses(&mut self, name: &'static str) -> Option<Vec<SocketAddr>> {
        let expected = "IP addresses with ports and commas between them";
        self.parse(name, Some(""), expected, |text| {
            text.split(',')
                .filter(|part| !part.is_empty())
                .map(|part| part.trim().parse().ok())
                .collect()
        })
    }

    /// Reads a whole number within a range.
    pub fn number(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.parse(name, Some(&default.to_string()), &expected, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Reads the deployment's secret and hides it in the collected rows.
    pub fn shared_key(&mut self, name: &'static str) -> Option<SharedKey> {
        let text = self.look_up(name, None)?;
        if let Some(row) = self.rows.last_mut() {
            row.value = "(hidden)".to_owned();
        }
        let key = SharedKey::new(text.as_bytes());
        if key.is_none() {
            let reason = format!("must be at least {} bytes long", SharedKey::MIN_BYTES);
            self.record_fault(ResultCode::SettingInvalid, name, reason);
        }
        key
    }

    /// Reads the policy that chooses engines.
    pub fn policy(&mut self, name: &'static str, default: &str) -> Option<PlacementPolicy> {
        let names: Vec<&str> = PlacementPolicy::ALL
            .iter()
            .map(|policy| policy.as_str())
            .collect();
        let expected = format!("one of {}", names.join(", "));
        self.parse(name, Some(default), &expected, |text| {
            PlacementPolicy::ALL
                .into_iter()
                .find(|policy| policy.as_str() == text)
        })
    }
}

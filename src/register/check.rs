//! Parses and checks a published register text; on failure reports all faults at once.

use toml::de::{DeTable, DeValue};

use super::fields::{EntryReader, FaultCollector, suggest};
use super::{
    ClassRule, EngineRole, OperationRule, REGISTER_LIMIT_BYTES, Register, RegisterFault, Upstream,
    UpstreamKind,
};
use crate::prelude::*;

/// Sections that a register may contain.
const SECTIONS: [&str; 5] = ["workspace", "zone", "class", "upstream", "operation"];

/// Fields of an `upstream` entry.
const UPSTREAM_FIELDS: [&str; 9] = [
    "name", "kind", "role", "model", "slots", "service", "zone", "address", "leaving",
];

/// Fields of an `operation` entry.
const OPERATION_FIELDS: [&str; 3] = ["service", "name", "repeat"];

/// Slots of an engine whose entry does not set them.
const DEFAULT_SLOTS: u32 = 20;

/// The faults of a refused register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultReport {
    /// The faults, in the order of the text.
    pub faults: Vec<RegisterFault>,
}

impl std::fmt::Display for FaultReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for fault in &self.faults {
            writeln!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultReport {}

/// Parses and checks a register text. The result depends on the text alone, so that all VMs agree on it.
pub fn parse_register(text: &str) -> Result<Register, FaultReport> {
    let mut collector = FaultCollector::new(text);
    if text.len() > REGISTER_LIMIT_BYTES {
        let reason = format!("{} bytes, the limit is {REGISTER_LIMIT_BYTES}", text.len());
        collector.record(ResultCode::RegisterTooLarge, 0..0, "register", reason);
        return Err(FaultReport {
            faults: collector.faults,
        });
    }
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(error) => {
            let span = error.span().unwrap_or(0..0);
            collector.record(
                ResultCode::RegisterSyntax,
                span,
                "register",
                error.message().to_owned(),
            );
            return Err(FaultReport {
                faults: collector.faults,
            });
        }
    };
    let register = read_sections(table.get_ref(), &mut collector);
    check_references(table.get_ref(), &register, &mut collector);
    if collector.faults.is_empty() {
        return Ok(register);
    }
    collector.faults.sort_by_key(|fault| fault.line);
    Err(FaultReport {
        faults: collector.faults,
    })
}

/// Calls `read` with a reader for each entry of one section; records entries that are not tables.
fn for_each_entry<'a>(
    root: &DeTable<'_>,
    section: &str,
    known: &[&str],
    collector: &mut FaultCollector<'a>,
    mut read: impl FnMut(&mut EntryReader<'_, 'a, '_>),
) {
    let Some(value) = root.get(section) else {
        return;
    };
    let DeValue::Array(entries) = value.get_ref() else {
        let reason = format!("write each entry under a heading of its own, [[{section}]]");
        collector.record(ResultCode::RegisterBadValue, value.span(), section, reason);
        return;
    };
    for (index, entry) in entries.iter().enumerate() {
        let place = format!("{section}[{index}]");
        let DeValue::Table(table) = entry.get_ref() else {
            let reason = format!("must be a table, under [[{section}]]");
            collector.record(ResultCode::RegisterBadValue, entry.span(), &place, reason);
            continue;
        };
        read(&mut EntryReader::new(
            table,
            entry.span(),
            place,
            known,
            collector,
        ));
    }
}

fn read_sections(root: &DeTable<'_>, collector: &mut FaultCollector<'_>) -> Register {
    for key in root.keys() {
        let name = key.get_ref().as_ref();
        if !SECTIONS.contains(&name) {
            let reason = format!("unknown section `{name}`{}", suggest(name, SECTIONS.into_iter()));
            collector.record(ResultCode::RegisterUnknownField, key.span(), name, reason);
        }
    }
    let mut register = Register::default();
    let mut names = FastSet::default();
    for_each_entry(root, "workspace", &["name"], collector, |entry| {
        if let Some(name) = read_unique_name(entry, "workspace", "", &mut names) {
            register.workspaces.push(name);
        }
    });
    for_each_entry(root, "zone", &["name"], collector, |entry| {
        if let Some(name) = read_unique_name(entry, "zone", "", &mut names) {
            register.zones.push(name);
        }
    });
    for_each_entry(root, "class", &["name", "may_wait"], collector, |entry| {
        let may_wait = entry.flag("may_wait");
        if let Some(name) = read_unique_name(entry, "class", "", &mut names) {
            register.classes.push(ClassRule { name, may_wait });
        }
    });
    for_each_entry(root, "operation", &OPERATION_FIELDS, collector, |entry| {
        if let Some(operation) = read_operation(entry, &mut names) {
            register.operations.push(operation);
        }
    });
    for_each_entry(root, "upstream", &UPSTREAM_FIELDS, collector, |entry| {
        if let Some(upstream) = read_upstream(entry, &mut names) {
            register.add_upstream(upstream);
        }
    });
    register
}

/// Reads the field `name`. A name that an earlier entry of the same section and scope has is recorded as a
/// duplicate.
fn read_unique_name(
    entry: &mut EntryReader<'_, '_, '_>,
    section: &str,
    scope: &str,
    names: &mut FastSet<String>,
) -> Option<String> {
    let name = entry.text("name")?;
    if !names.insert(format!("{section}\n{scope}\n{name}")) {
        let reason = format!("`{name}` is the name of an earlier {section}");
        entry.record(ResultCode::RegisterDuplicate, "name", reason);
        return None;
    }
    Some(name)
}

fn read_operation(entry: &mut EntryReader<'_, '_, '_>, names: &mut FastSet<String>) -> Option<OperationRule> {
    let service = entry.text("service");
    let repeat = entry.choice(
        "repeat",
        &[
            ("safe", RepeatRule::Safe),
            ("never", RepeatRule::Never),
            ("by_key", RepeatRule::ByKey),
        ],
    );
    let scope = service.clone().unwrap_or_default();
    let name = read_unique_name(entry, "operation", &scope, names)?;
    Some(OperationRule {
        service: service?,
        name,
        repeat: repeat?,
    })
}

fn read_upstream(entry: &mut EntryReader<'_, '_, '_>, names: &mut FastSet<String>) -> Option<Upstream> {
    #[derive(Clone, Copy, PartialEq)]
    enum Kind {
        Engine,
        Service,
    }
    let kind = entry.choice("kind", &[("engine", Kind::Engine), ("service", Kind::Service)]);
    let zone = entry.text("zone");
    let address = entry.address("address");
    let leaving = entry.flag("leaving");
    let served = match kind {
        Some(Kind::Engine) => read_engine(entry),
        Some(Kind::Service) => entry
            .text("service")
            .map(|service| UpstreamKind::Service { service }),
        None => None,
    };
    let name = read_unique_name(entry, "upstream", "", names)?;
    Some(Upstream {
        name,
        address: address?,
        zone: zone?,
        leaving,
        kind: served?,
    })
}

fn read_engine(entry: &mut EntryReader<'_, '_, '_>) -> Option<UpstreamKind> {
    let role = entry.choice(
        "role",
        &[("prefill", EngineRole::Prefill), ("decode", EngineRole::Decode)],
    );
    let model = entry.text("model");
    let slots = entry.number("slots", 1..=4096, DEFAULT_SLOTS);
    Some(UpstreamKind::Engine {
        model: model?,
        role: role?,
        slots,
    })
}

/// Records references to undefined names, and addresses that two upstreams share.
fn check_references(root: &DeTable<'_>, register: &Register, collector: &mut FaultCollector<'_>) {
    let mut addresses: FastMap<String, String> = FastMap::default();
    // `read_sections` has recorded the faults of single fields already.
    let mut discarded = FaultCollector::new("");
    for_each_entry(root, "upstream", &UPSTREAM_FIELDS, &mut discarded, |entry| {
        let zone = entry.text("zone").unwrap_or_default();
        if !zone.is_empty() && !register.zones.contains(&zone) {
            let hint = suggest(&zone, register.zones.iter().map(String::as_str));
            let span = entry.span_of("zone");
            collector.record(
                ResultCode::RegisterUnknownName,
                span,
                "upstream.zone",
                format!("no zone is named `{zone}`{hint}"),
            );
        }
        let name = entry.text("name").unwrap_or_default();
        let address = entry.text("address").unwrap_or_default();
        if address.is_empty() {
            return;
        }
        if let Some(other) = addresses.insert(address.clone(), name.clone()) {
            collector.record(
                ResultCode::RegisterDuplicate,
                entry.span_of("address"),
                "upstream.address",
                format!("`{name}` and `{other}` share the address {address}"),
            );
        }
    });
    let mut discarded = FaultCollector::new("");
    for_each_entry(root, "operation", &OPERATION_FIELDS, &mut discarded, |entry| {
        let service = entry.text("service").unwrap_or_default();
        if !service.is_empty() && register.replicas(&service).next().is_none() {
            let hint = suggest(&service, register.upstreams.iter().filter_map(Upstream::service));
            collector.record(
                ResultCode::RegisterUnknownName,
                entry.span_of("service"),
                "operation.service",
                format!("no upstream serves `{service}`{hint}"),
            );
        }
    });
}

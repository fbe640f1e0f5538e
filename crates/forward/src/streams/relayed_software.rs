//! The software versions of relayed registry entries, which travel beside the entries: their rows have no field that
//! earlier builds could read.

use std::collections::BTreeMap;

use paddlemount_core::forwarding::backends::BackendId;
use paddlemount_protocol::{fleet::SoftwareGroup, identity::SoftwareVersion};

use crate::ports::Fact;

/// The versions of the back ends among `facts`.
pub(crate) fn software_groups(facts: &[Fact]) -> Vec<SoftwareGroup> {
    let mut groups: BTreeMap<&SoftwareVersion, Vec<BackendId>> = BTreeMap::new();
    for fact in facts {
        if let Fact::Backend(entry) = fact
            && let Some(software) = &entry.software
        {
            groups.entry(software).or_default().push(entry.id.clone());
        }
    }
    let group = |(software, backends): (&SoftwareVersion, Vec<BackendId>)| SoftwareGroup {
        software: software.clone(),
        backends,
    };
    groups.into_iter().map(group).collect()
}

/// Adds the versions to the entries among `facts`.
pub(crate) fn add_software(facts: &mut [Fact], groups: &[SoftwareGroup]) {
    let of_group = |group: &SoftwareGroup| {
        let software = group.software.clone();
        group.backends.clone().into_iter().map(move |backend| (backend, software.clone()))
    };
    let software: BTreeMap<BackendId, SoftwareVersion> = groups.iter().flat_map(of_group).collect();
    for fact in facts {
        if let Fact::Backend(entry) = fact {
            entry.software = software.get(&entry.id).cloned();
        }
    }
}

//! Settings files of the roles.

use std::{collections::BTreeMap, fmt::Write as _, net::SocketAddr};

use crate::Vm;

/// Link addresses by VM name.
pub(crate) type Peers = BTreeMap<&'static str, SocketAddr>;

/// Returns the settings of a role on `vm`; `more` is appended.
pub(crate) fn role(vm: &Vm, keepers: &Peers, gates: &Peers, more: &str) -> String {
    let mut text = format!(
        "[vm]\nname = {}\navailability_zone = {}\n[listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n",
        vm.name, vm.az
    );
    for (section, peers) in [("keepers", keepers), ("gates", gates)] {
        let _ = writeln!(text, "[{section}]");
        for (name, address) in peers {
            let _ = writeln!(text, "{name} = {address}");
        }
    }
    text + more
}

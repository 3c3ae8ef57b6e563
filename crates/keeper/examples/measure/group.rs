//! A group of three keepers that run as tasks of this process.

use std::{fmt::Write, fs, net::SocketAddr, path::Path, time::Duration};

use declaration::Document;
use host::{role::Running, settings::Reader, shutdown};
use keeper::Config;
use link::{
    Identity, LinkConfig, Peer, Role,
    keeper::{ChangeReply, KeeperReply, KeeperRequest},
    keepers::Keepers,
};
use tokio::net::TcpListener;
use uuid::Uuid;

const KEEPERS: usize = 3;

/// Running keepers; they stop when dropped.
pub struct Group {
    folder: tempfile::TempDir,
    _stop: Vec<shutdown::StopHandle>,
    keepers: Vec<Running>,
}

impl Group {
    /// Starts the keepers on folders in the working directory, so that syncs reach a disk.
    pub async fn start(group_commit: bool) -> Self {
        let folder = tempfile::tempdir_in(".").unwrap();
        let addresses = free_addresses().await;
        let (mut stops, mut keepers) = (Vec::new(), Vec::new());
        for i in 0..KEEPERS {
            let cfg = settings(folder.path(), &addresses, i, group_commit);
            let (stop, stopped) = shutdown::channel();
            keepers.push(keeper::start(cfg, stopped).await.unwrap());
            stops.push(stop);
        }
        Self {
            folder,
            _stop: stops,
            keepers,
        }
    }

    /// Returns the folder with the keepers' data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the keepers' link addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.keepers.iter().filter_map(|k| k.link).collect()
    }

    /// Returns links to all keepers, the one in availability zone `az` first.
    pub fn peers(&self, az: usize) -> Vec<Peer> {
        let mut addresses = self.addresses();
        addresses.rotate_left(az % KEEPERS);
        addresses.into_iter().map(|a| peer(a, Role::Gate)).collect()
    }

    /// Submits all sections of `document` as a change on `base` and returns its revision.
    pub async fn change(&self, keepers: &Keepers, base: u64, document: &Document) -> u64 {
        let sections = document
            .sections
            .iter()
            .map(|(id, text)| declaration::SectionChange {
                id: id.clone(),
                after: Some(text.clone()),
            });
        let change = declaration::Change {
            change: Uuid::now_v7(),
            base_revision: base,
            author: "measure".to_owned(),
            reason: "measure".to_owned(),
            sections: sections.collect(),
        };
        let limit = Duration::from_secs(30);
        let reply = keepers.request(&KeeperRequest::Change(change), limit).await;
        match reply {
            Ok(KeeperReply::Change(ChangeReply::Accepted { revision, .. })) => revision,
            other => panic!("{other:?}"),
        }
    }
}

pub fn peer(address: SocketAddr, role: Role) -> Peer {
    let identity = Identity {
        vm: "measure".to_owned(),
        az: "az-0".to_owned(),
        role,
        incarnation: Uuid::new_v4(),
    };
    Peer::start("keeper", address, &LinkConfig::new(identity))
}

/// Returns addresses with ephemeral ports that were free a moment ago.
async fn free_addresses() -> Vec<SocketAddr> {
    let mut listeners = Vec::new();
    for _ in 0..KEEPERS {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    listeners.iter().map(|l| l.local_addr().unwrap()).collect()
}

fn settings(folder: &Path, addresses: &[SocketAddr], i: usize, group_commit: bool) -> Config {
    let lines = addresses.iter().enumerate();
    let lines: Vec<String> = lines.map(|(n, a)| format!("k{n} = {a}\n")).collect();
    let peers = lines.concat();
    let group_commit_text = match group_commit {
        true => "yes",
        false => "no",
    };
    let data = folder.join(format!("k{i}"));
    fs::create_dir_all(&data).unwrap();
    let text = format!(
        "[vm]\nname = k{i}\navailability_zone = az-{i}\n[listen]\nlink = {}\n[keepers]\n{peers}\
         [data]\nfolder = {}\ngroup_commit = {group_commit_text}\n",
        addresses[i],
        data.file_name().unwrap().display()
    );
    let mut reader = Reader::from_bytes("measure.ini", folder, text.as_bytes()).unwrap();
    let cfg = Config::read(&mut reader);
    reader.finish().unwrap();
    cfg
}

/// Returns a document with `n` workspaces.
pub fn document(n: usize) -> Document {
    let mut text =
        "[availability-zone sousse-a]\nregion = tn-sahel\n[service photo-vault]\nkind = \
                    plain\nrepeatable = yes\n[pipeline photos]\nstages = photo-vault\n"
            .to_owned();
    for i in 0..n {
        let priority = i % 10;
        let _ = write!(
            text,
            "[workspace dealer-{i:05}]\npriority = {priority}\npipelines = photos\n\
             availability_zones = sousse-a\nmax_in_flight = 200\n"
        );
    }
    Document::read("measure", text.as_bytes()).unwrap()
}

/// Returns the CPU time of this process, in seconds.
pub fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let after_name = stat.rsplit(')').next().unwrap();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    (fields[11] + fields[12]) / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

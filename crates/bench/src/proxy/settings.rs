//! Proxies from a settings file, for `jujube-bench proxy --config FILE`.

use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc};

use eyre::eyre;
use host::{settings::Reader, shutdown};
use inifile::Section;

use super::{Protocol, Proxy, Rules, control};

/// One proxy as the settings describe it.
#[derive(Debug)]
struct ProxySettings {
    name: String,
    protocol: Protocol,
    listen: SocketAddr,
    upstream: Option<SocketAddr>,
    seed: u64,
    rules: Rules,
}

/// Runs the proxies that the file at `path` describes until SIGTERM.
pub async fn run_file(path: &Path) -> eyre::Result<()> {
    let mut reader = Reader::from_file(path).map_err(|faults| eyre!("{faults}"))?;
    let bytes = std::fs::read(path)?;
    let file = path.display().to_string();
    let sections = inifile::parse(&file, &bytes).map_err(|faults| eyre!("{faults}"))?;
    let listen = reader.listen("http");
    let settings = read(&mut reader, &sections);
    reader.finish().map_err(|faults| eyre!("{faults}"))?;
    let (stop, mut stopped) = shutdown::channel();
    shutdown::stop_on_signals(stop)?;
    let mut proxies = BTreeMap::new();
    for one in settings {
        let proxy = Proxy::bind(one.protocol, one.listen, one.seed).await?;
        if let Some(upstream) = one.upstream {
            proxy.set_upstream(upstream);
        }
        proxy.set_rules(one.rules);
        proxies.insert(one.name, proxy);
    }
    let (address, _control) = control::start(listen, Arc::new(proxies)).await?;
    println!("{}", serde_json::json!({ "control": address.to_string() }));
    stopped.wait().await;
    Ok(())
}

fn read(reader: &mut Reader, sections: &[Section]) -> Vec<ProxySettings> {
    let names = sections.iter().map(|s| s.name.as_str());
    let proxies = names.filter(|name| name.starts_with("proxy "));
    proxies.map(|section| proxy(reader, section)).collect()
}

fn proxy(reader: &mut Reader, section: &str) -> ProxySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ProxySettings {
        name: section["proxy ".len()..].to_owned(),
        protocol: protocol(reader, section),
        listen: reader.address(section, "listen").unwrap_or(any),
        upstream: reader.address(section, "upstream"),
        seed: reader.number(section, "seed", 1, 0, u64::MAX),
        rules: Rules {
            delay_us: reader.number(section, "delay_us", 0, 0, 60_000_000),
            jitter_us: reader.number(section, "jitter_us", 0, 0, 60_000_000),
            loss: permille(reader, section, "loss_permille"),
            rate: reader.number(section, "bytes_per_second", 0, 0, u64::MAX),
            duplicate: permille(reader, section, "duplicate_permille"),
            reorder: permille(reader, section, "reorder_permille"),
            ..Rules::default()
        },
    }
}

fn protocol(reader: &mut Reader, section: &str) -> Protocol {
    match reader.text(section, "protocol").as_deref() {
        None | Some("tcp") => Protocol::Tcp,
        Some("udp") => Protocol::Udp,
        Some(other) => {
            let what = format!("`{other}` is no protocol; use tcp or udp");
            reader.fault(section, "protocol", what);
            Protocol::Tcp
        }
    }
}

fn permille(reader: &mut Reader, section: &str, key: &str) -> f64 {
    reader.number(section, key, 0, 0, 1_000) as f64 / 1_000.0
}

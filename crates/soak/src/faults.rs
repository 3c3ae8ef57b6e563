//! Faults, and when a seed has them come.

use std::time::Duration;

use bench::{
    processes::Signal,
    proxy::{Cut, Rules},
    stand_in::Fault as Misbehaviour,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::fleet::{Fleet, GATE_ZONES, ZONES};

/// Pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..500;
/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..2_500;
/// Longest time for a process to end after the order to stop.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Endpoints of the fleet: three services in each zone.
const ENDPOINTS: usize = 9;

/// A process by its number among its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Who {
    Keeper(usize),
    Gate(usize),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum What {
    /// Links to the process pass nothing in some direction, without a FIN or RST.
    LinkCut(Who, Cut),
    /// Links to it are slow.
    LinkSlow(Who),
    /// Links to it are reset.
    LinkReset(Who),
    /// Links to it go silent for good; new ones work.
    LinkSilent(Who),
    /// The process is frozen.
    Freeze(Who),
    /// The process is killed and starts again.
    Kill(Who),
    /// A gate is told to stop and starts again.
    Stop(usize),
    /// A keeper is killed, the end of its log gets half a record, and it starts again.
    Tear(usize),
    /// An endpoint can't be reached in some direction.
    EndpointCut(usize, Cut),
    /// Its connections are reset.
    EndpointReset(usize),
    /// It misbehaves.
    Misbehaves(usize, Misbehaviour),
    /// It dies and another incarnation comes up at its address.
    EndpointDies(usize),
}

/// A fault with its times since the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) at: Duration,
    pub(crate) until: Duration,
    pub(crate) what: What,
}

/// The faults of `seed` within `length`, in the order of their beginnings.
pub(crate) fn schedule(seed: u64, length: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(PAUSE_MS));
    while at < length {
        let until = at + Duration::from_millis(rng.random_range(LASTS_MS));
        let what = draw(&mut rng);
        // A process has one fault of its own at a time, and one keeper of three.
        let is_clear = |f: &&Fault| f.until > at && conflicts(f.what, what);
        if faults.iter().find(is_clear).is_none() {
            faults.push(Fault { at, until, what });
        }
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    faults
}

fn conflicts(one: What, other: What) -> bool {
    match (place(one), place(other)) {
        (Place::Process(Who::Keeper(_)), Place::Process(Who::Keeper(_))) => true,
        (one, other) => one == other,
    }
}

/// Where a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Process(Who),
    Endpoint(usize),
}

fn place(what: What) -> Place {
    match what {
        What::LinkCut(who, _)
        | What::LinkSlow(who)
        | What::LinkReset(who)
        | What::LinkSilent(who)
        | What::Freeze(who)
        | What::Kill(who) => Place::Process(who),
        What::Stop(gate) => Place::Process(Who::Gate(gate)),
        What::Tear(keeper) => Place::Process(Who::Keeper(keeper)),
        What::EndpointCut(n, _)
        | What::EndpointReset(n)
        | What::Misbehaves(n, _)
        | What::EndpointDies(n) => Place::Endpoint(n),
    }
}

fn draw(rng: &mut SmallRng) -> What {
    let who = match rng.random_bool(0.4) {
        true => Who::Keeper(rng.random_range(0..ZONES.len())),
        false => Who::Gate(rng.random_range(0..GATE_ZONES.len())),
    };
    let endpoint = rng.random_range(0..ENDPOINTS);
    let cuts = [Cut::Both, Cut::ToUpstream, Cut::FromUpstream];
    let cut = *cuts.choose(rng).unwrap_or(&Cut::Both);
    let all = [
        What::LinkCut(who, cut),
        What::LinkSlow(who),
        What::LinkReset(who),
        What::LinkSilent(who),
        What::Freeze(who),
        What::Kill(who),
        What::Stop(rng.random_range(0..GATE_ZONES.len())),
        What::Tear(rng.random_range(0..ZONES.len())),
        What::EndpointCut(endpoint, cut),
        What::EndpointReset(endpoint),
        What::Misbehaves(endpoint, Misbehaviour::CloseEarly),
        What::Misbehaves(endpoint, Misbehaviour::Refuse),
        What::Misbehaves(endpoint, Misbehaviour::WrongCall),
        What::Misbehaves(endpoint, Misbehaviour::Stall),
        What::Misbehaves(endpoint, Misbehaviour::Slow(20.0)),
        What::EndpointDies(endpoint),
    ];
    *all.choose(rng).unwrap_or(&all[0])
}

impl Fleet {
    /// Begins `what`.
    pub(crate) async fn begin(&mut self, what: What) -> eyre::Result<()> {
        match what {
            What::LinkCut(who, cut) => self.process(who).link.set_rules(Rules::cut(cut)),
            What::LinkSlow(who) => {
                let slow = Rules {
                    jitter_us: 150_000,
                    ..Rules::delayed(Duration::from_millis(120))
                };
                self.process(who).link.set_rules(slow);
            }
            What::LinkReset(who) => self.process(who).link.reset_connections(),
            What::LinkSilent(who) => self.process(who).link.silence_connections(),
            What::Freeze(who) => self.signal(who, Signal::STOP)?,
            What::Kill(who) => self.kill(who).await?,
            What::Stop(gate) => self.signal(Who::Gate(gate), Signal::TERM)?,
            What::Tear(keeper) => {
                self.kill(Who::Keeper(keeper)).await?;
                tear(&self.folders.work.join(format!("data-{keeper}")))?;
            }
            What::EndpointCut(n, cut) => self.endpoints[n].proxy.set_rules(Rules::cut(cut)),
            What::EndpointReset(n) => self.endpoints[n].proxy.reset_connections(),
            What::Misbehaves(n, fault) => self.endpoint_does(n, fault),
            What::EndpointDies(n) => self.kill_endpoint(n),
        }
        Ok(())
    }

    /// Ends `what`.
    pub(crate) async fn end(&mut self, what: What) -> eyre::Result<()> {
        match what {
            What::LinkCut(who, _) | What::LinkSlow(who) => {
                self.process(who).link.set_rules(Rules::default());
            }
            What::LinkReset(_) | What::LinkSilent(_) | What::EndpointReset(_) => {}
            What::Freeze(who) => self.signal(who, Signal::CONT)?,
            What::Kill(Who::Keeper(n)) | What::Tear(n) => self.start_keeper(n).await?,
            What::Kill(Who::Gate(n)) => self.start_gate(n).await?,
            What::Stop(gate) => {
                if let Some(role) = &mut self.gates[gate].role {
                    role.wait_for_exit(STOP_LIMIT).await?;
                }
                self.start_gate(gate).await?;
            }
            What::EndpointCut(n, _) => self.endpoints[n].proxy.set_rules(Rules::default()),
            What::Misbehaves(n, _) => self.endpoint_does(n, Misbehaviour::None),
            What::EndpointDies(n) => self.start_endpoint(n).await?,
        }
        Ok(())
    }

    fn process(&self, who: Who) -> &crate::fleet::Process {
        match who {
            Who::Keeper(n) => &self.keepers[n],
            Who::Gate(n) => &self.gates[n],
        }
    }

    fn signal(&self, who: Who, signal: Signal) -> eyre::Result<()> {
        match &self.process(who).role {
            Some(role) => role.signal(signal),
            None => Ok(()),
        }
    }

    async fn kill(&mut self, who: Who) -> eyre::Result<()> {
        let process = match who {
            Who::Keeper(n) => &mut self.keepers[n],
            Who::Gate(n) => &mut self.gates[n],
        };
        match &mut process.role {
            Some(role) => role.kill().await,
            None => Ok(()),
        }
    }

    fn endpoint_does(&self, number: usize, fault: Misbehaviour) {
        if let Some(stand_in) = &self.endpoints[number].stand_in {
            stand_in.set_fault(fault);
        }
    }
}

/// Appends half a record to the newest file of a keeper's log, as a write that power cut off.
fn tear(folder: &std::path::Path) -> eyre::Result<()> {
    use std::io::Write;

    let files = std::fs::read_dir(folder)?.filter_map(Result::ok);
    let is_log = |path: &std::path::PathBuf| path.extension().is_some_and(|e| e == "log");
    let logs = files.map(|file| file.path()).filter(is_log);
    let Some(newest) = logs.max() else {
        return Ok(());
    };
    let mut file = std::fs::File::options().append(true).open(newest)?;
    file.write_all(&[0, 0, 1, 7, 42, 9])?;
    Ok(())
}

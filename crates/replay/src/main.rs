//! The `mimosaledge-replay` program.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, IsTerminal, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, eyre};
use mimosaledge_core::endpoints::EndpointId;
use mimosaledge_net::{Vm, VmKind, incarnation::generate_incarnation, runtime};
use mimosaledge_replay::{
    caller::Caller,
    driver::Driver,
    latency,
    measures::{Measures, RouterCost, Skew},
    outcomes::Outcomes,
    plot::draw_loads,
    sampler::{Sampler, read_routers, read_runs},
    trace::Trace,
    workload::{Deployment, Volume, generate},
};
use tokio::time;

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::{Deployment, PathBuf, SocketAddr};

    xflags::xflags! {
        /// Replays traces through a running fleet.
        cmd mimosaledge-replay {
            /// Generate a trace.
            cmd generate {
                /// Deployment: lagyviz or senderos.
                required deployment: Deployment
                /// File to write.
                required --out out: PathBuf
                /// Requests.
                optional --requests requests: usize
                /// Mean rate outside the surge, in requests per second.
                optional --rate rate: f64
                /// Seed.
                optional --seed seed: u64
                /// Let one workspace surge tenfold in the middle third.
                optional --surge
            }
            /// Replay a trace and print the measures.
            cmd run {
                /// Trace to replay.
                required trace: PathBuf
                /// Callers' ports of routers, separated by commas.
                required --routers routers: String
                /// Operators' ports of routers, separated by commas.
                required --ops ops: String
                /// File with the list of VMs.
                required --vms vms: PathBuf
                /// Pace relative to the trace's own.
                optional --speed speed: f64
                /// File with the outcomes to reach.
                optional --outcomes outcomes: PathBuf
                /// File for the measures as JSON.
                optional --json json: PathBuf
                /// File for the load curves as SVG.
                optional --plot plot: PathBuf
                /// Interval between samples of engine loads, in milliseconds.
                optional --sample-ms sample_ms: u64
            }
            /// Measure what the path adds to a direct call.
            cmd latency {
                /// Callers' port of a router.
                required --router router: SocketAddr
                /// File with the list of VMs.
                required --vms vms: PathBuf
                /// Model.
                required --model model: String
                /// Workspace.
                required --workspace workspace: String
                /// Request class.
                required --class class: String
                /// Requests.
                optional --requests requests: u32
            }
        }
    }
}

const SAMPLE_MS: u64 = 50;
const PROGRESS: Duration = Duration::from_millis(500);
/// Exit status when an outcome is missed.
const MISSED: u8 = 6;

fn main() -> Result<ExitCode> {
    use flags::MimosaledgeReplayCmd as Cmd;
    let flags = flags::MimosaledgeReplay::from_env_or_exit();
    runtime::block_on(async {
        match flags.subcommand {
            Cmd::Generate(flags) => write_trace(&flags),
            Cmd::Run(flags) => run(&flags).await,
            Cmd::Latency(flags) => measure_latency(&flags).await,
        }
    })?
}

fn write_trace(flags: &flags::Generate) -> Result<ExitCode> {
    let volume = Volume {
        requests: flags.requests.unwrap_or(2_000),
        rate: flags.rate.unwrap_or(150.0),
        surge: flags.surge,
    };
    let trace = generate(flags.deployment, volume, flags.seed.unwrap_or(1));
    fs::write(&flags.out, trace.to_text())?;
    Ok(ExitCode::SUCCESS)
}

fn parse_list(text: &str) -> Result<Vec<SocketAddr>> {
    text.split(',').map(|it| it.parse().wrap_err_with(|| format!("bad address {it}"))).collect()
}

fn read_vms(path: &Path) -> Result<Vec<Vm>> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
}

async fn run(flags: &flags::Run) -> Result<ExitCode> {
    let trace =
        Trace::from_file(&flags.trace).wrap_err_with(|| flags.trace.display().to_string())?;
    let outcomes = match &flags.outcomes {
        Some(path) => Outcomes::from_file(path)?,
        None => Outcomes::default(),
    };
    let vms = read_vms(&flags.vms)?;
    let ops = parse_list(&flags.ops)?;
    let caller = Caller::new(parse_list(&flags.routers)?);
    let total = trace.events.len();
    let run_id = generate_incarnation();
    let driver = Driver::new(caller, trace, flags.speed.unwrap_or(1.0), run_id);

    let before = read_routers(&ops).await;
    let start = Instant::now();
    let period = Duration::from_millis(flags.sample_ms.unwrap_or(SAMPLE_MS));
    let sampler = Sampler::start(&vms, period);
    let progress = tokio::task::spawn_local(show_progress(Rc::clone(&driver), total));
    let tally = driver.replay().await;
    progress.abort();
    let samples = sampler.stop();
    let after = read_routers(&ops).await;

    let mut measures = Measures::from_tally(&tally, &read_runs(&vms).await);
    measures.by_engine = name_engines(&measures.by_engine, &vms);
    measures.skew = Skew::from_samples(&samples, outcomes.load_bound());
    measures.routers = RouterCost::from_totals(&before, &after, start.elapsed());
    if let Some(path) = &flags.plot {
        draw_loads(&samples, path)?;
    }
    if let Some(path) = &flags.json {
        fs::write(path, serde_json::to_string_pretty(&measures)?)?;
    }
    write!(io::stdout(), "{}", measures.to_table())?;
    let missed = outcomes.missed(&measures);
    for line in &missed {
        writeln!(io::stdout(), "missed: {line}")?;
    }
    Ok(if missed.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(MISSED) })
}

/// Replaces the identifiers of place hints by the engines' names.
fn name_engines(counts: &BTreeMap<String, u64>, vms: &[Vm]) -> BTreeMap<String, u64> {
    let id = |vm: &Vm| format!("{:08x}", EndpointId::from_name(&vm.name).0);
    let names: HashMap<String, &Vm> = vms.iter().map(|vm| (id(vm), vm)).collect();
    let name = |id: &String| names.get(id).map_or_else(|| id.clone(), |vm| vm.name.to_string());
    counts.iter().map(|(id, count)| (name(id), *count)).collect()
}

async fn show_progress(driver: Rc<Driver>, total: usize) {
    if !io::stderr().is_terminal() {
        return;
    }
    loop {
        time::sleep(PROGRESS).await;
        let _ = write!(io::stderr(), "\r{} of {total} requests", driver.done());
    }
}

async fn measure_latency(flags: &flags::Latency) -> Result<ExitCode> {
    let vms = read_vms(&flags.vms)?;
    let engine = vms.iter().find(|it| it.kind == VmKind::Engine);
    let engine = engine.ok_or_else(|| eyre!("the list names no engine"))?;
    let caller = Caller::new(vec![flags.router]);
    let cost = latency::measure(
        &caller,
        flags.router,
        engine.addr,
        &flags.model,
        &flags.workspace,
        &flags.class,
        flags.requests.unwrap_or(1_000),
    )
    .await?;
    writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&cost)?)?;
    Ok(ExitCode::SUCCESS)
}

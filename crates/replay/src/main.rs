//! Command line of `mimosaledge-replay`: generates and replays traces.

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
    client::Client,
    driver::Driver,
    latency,
    measures::{Measures, RouterCost, Skew},
    plot::draw_loads,
    sampler::{Sampler, fetch_router_totals, fetch_run_counts},
    targets::Targets,
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
                /// Number of requests (default: 2000).
                optional --requests requests: usize
                /// Mean rate outside the surge, in requests per second (default: 150).
                optional --rate rate: f64
                /// Seed of the random number generator (default: 1).
                optional --seed seed: u64
                /// Raise the rate of one workspace tenfold in the middle third.
                optional --surge
            }
            /// Replay a trace and print the measures.
            cmd run {
                /// Trace to replay.
                required trace: PathBuf
                /// HTTP addresses of the routers, separated by commas.
                required --routers routers: String
                /// Operator addresses of the routers, separated by commas.
                required --ops ops: String
                /// JSON file with the list of VMs.
                required --vms vms: PathBuf
                /// Speed relative to the recorded rate (default: 1).
                optional --speed speed: f64
                /// YAML file with the targets that the measures must meet.
                optional --outcomes outcomes: PathBuf
                /// File to write the measures to, as JSON.
                optional --json json: PathBuf
                /// File to write a plot of the engine loads to, as SVG.
                optional --plot plot: PathBuf
                /// Interval between samples of engine loads, in milliseconds (default: 50).
                optional --sample-ms sample_ms: u64
            }
            /// Measure the latency that a router adds to a direct call.
            cmd latency {
                /// HTTP address of a router.
                required --router router: SocketAddr
                /// JSON file with the list of VMs.
                required --vms vms: PathBuf
                /// Model to request.
                required --model model: String
                /// Workspace to send requests for.
                required --workspace workspace: String
                /// Request class.
                required --class class: String
                /// Number of requests of each kind (default: 1000).
                optional --requests requests: u32
            }
        }
    }
}

const DEFAULT_SAMPLE_MS: u64 = 50;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Exit status if the measures miss a target.
const EXIT_TARGET_MISSED: u8 = 6;

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

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>> {
    text.split(',').map(|it| it.parse().wrap_err_with(|| format!("invalid address {it}"))).collect()
}

fn read_vms(path: &Path) -> Result<Vec<Vm>> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
}

async fn run(flags: &flags::Run) -> Result<ExitCode> {
    let trace =
        Trace::from_file(&flags.trace).wrap_err_with(|| flags.trace.display().to_string())?;
    let targets = match &flags.outcomes {
        Some(path) => Targets::from_file(path)?,
        None => Targets::default(),
    };
    let vms = read_vms(&flags.vms)?;
    let ops = parse_addresses(&flags.ops)?;
    let client = Client::new(parse_addresses(&flags.routers)?);
    let total = trace.events.len();
    let run_id = generate_incarnation();
    let driver = Driver::new(client, trace, flags.speed.unwrap_or(1.0), run_id);

    let before = fetch_router_totals(&ops).await;
    let start = Instant::now();
    let interval = Duration::from_millis(flags.sample_ms.unwrap_or(DEFAULT_SAMPLE_MS));
    let sampler = Sampler::start(&vms, interval);
    let progress = tokio::task::spawn_local(show_progress(Rc::clone(&driver), total));
    let tally = driver.replay().await;
    progress.abort();
    let samples = sampler.stop();
    let after = fetch_router_totals(&ops).await;

    let mut measures = Measures::from_tally(&tally, &fetch_run_counts(&vms).await);
    measures.by_engine = resolve_engine_names(&measures.by_engine, &vms);
    measures.skew = Skew::from_samples(&samples, targets.load_bound());
    measures.routers = RouterCost::from_totals(&before, &after, start.elapsed());
    if let Some(path) = &flags.plot {
        draw_loads(&samples, path)?;
    }
    if let Some(path) = &flags.json {
        fs::write(path, serde_json::to_string_pretty(&measures)?)?;
    }
    write!(io::stdout(), "{}", measures.to_table())?;
    let missed = targets.missed(&measures);
    for line in &missed {
        writeln!(io::stdout(), "missed: {line}")?;
    }
    Ok(if missed.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_TARGET_MISSED) })
}

/// Replaces engine IDs, which placement hints contain, with engine names.
fn resolve_engine_names(counts: &BTreeMap<String, u64>, vms: &[Vm]) -> BTreeMap<String, u64> {
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
        time::sleep(PROGRESS_INTERVAL).await;
        let _ = write!(io::stderr(), "\r{} of {total} requests", driver.finished());
    }
}

async fn measure_latency(flags: &flags::Latency) -> Result<ExitCode> {
    let vms = read_vms(&flags.vms)?;
    let engine = vms.iter().find(|it| it.kind == VmKind::Engine);
    let engine = engine.ok_or_else(|| eyre!("VM list contains no engine"))?;
    let client = Client::new(vec![flags.router]);
    let overhead = latency::measure(
        &client,
        flags.router,
        engine.addr,
        &flags.model,
        &flags.workspace,
        &flags.class,
        flags.requests.unwrap_or(1_000),
    )
    .await?;
    writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&overhead)?)?;
    Ok(ExitCode::SUCCESS)
}

//! Generates traces that resemble the traffic of the two deployments.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::trace::{Event, Header, Trace, VERSION};

/// Factor by which a surge increases the rate of one workspace.
const SURGE_FACTOR: f64 = 10.0;
/// Maximum number of active chats of a workspace per unit of its weight.
const CHATS_PER_WEIGHT: u32 = 12;
/// Probability that a request starts a new chat.
const NEW_CHAT_PROBABILITY: f64 = 0.08;

/// A deployment whose traffic is generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Water-softener companies: many short chats, bookings and fault-code lookups.
    Lagyviz,
    /// Park rangers: long patrol logs, summaries and tagging.
    Senderos,
}

/// A request class and its weight in the traffic of a deployment.
struct ClassProfile {
    name: &'static str,
    weight: f64,
    /// Range of the number of tokens that a request adds to its chat; `(0, 0)` for a
    /// service call.
    new_tokens: (u32, u32),
    /// Range of the number of tokens to generate; `(0, 0)` for a service call.
    output_tokens: (u32, u32),
    keyed: bool,
}

/// Traffic profile of a deployment.
struct Profile {
    name: &'static str,
    model: &'static str,
    data_centres: [&'static str; 3],
    /// Names of the workspaces and their weights in the traffic.
    workspaces: [(&'static str, f64); 10],
    classes: [ClassProfile; 6],
}

/// How much traffic to generate.
#[derive(Debug, Clone, Copy)]
pub struct Volume {
    /// Number of requests.
    pub requests: usize,
    /// Mean rate outside the surge, in requests per second.
    pub rate: f64,
    /// Whether the rate of the third workspace surges in the middle third of the trace.
    pub surge: bool,
}

const LAGYVIZ: Profile = Profile {
    name: "lagyviz",
    model: "resin-7b",
    data_centres: ["gyor-hall", "tata-hall", "papa-hall"],
    workspaces: [
        ("balaton-lagy", 4.0),
        ("tata-viz", 4.0),
        ("papa-szerviz", 3.0),
        ("kisalfold", 2.0),
        ("bakony-so", 1.0),
        ("duna-resin", 1.0),
        ("raba-lagyito", 1.0),
        ("vertes-aqua", 1.0),
        ("marcal-soft", 1.0),
        ("szigetkoz", 1.0),
    ],
    classes: [
        ClassProfile {
            name: "chat",
            weight: 0.5,
            new_tokens: (40, 160),
            output_tokens: (40, 120),
            keyed: false,
        },
        ClassProfile {
            name: "lookup",
            weight: 0.2,
            new_tokens: (20, 60),
            output_tokens: (10, 40),
            keyed: false,
        },
        ClassProfile {
            name: "briefing",
            weight: 0.1,
            new_tokens: (200, 800),
            output_tokens: (80, 200),
            keyed: false,
        },
        ClassProfile {
            name: "history",
            weight: 0.05,
            new_tokens: (0, 0),
            output_tokens: (0, 0),
            keyed: false,
        },
        ClassProfile {
            name: "booking",
            weight: 0.1,
            new_tokens: (0, 0),
            output_tokens: (0, 0),
            keyed: true,
        },
        ClassProfile {
            name: "dispatch",
            weight: 0.05,
            new_tokens: (0, 0),
            output_tokens: (0, 0),
            keyed: true,
        },
    ],
};

const SENDEROS: Profile = Profile {
    name: "senderos",
    model: "trail-13b",
    data_centres: ["sala-heredia", "sala-cartago", "sala-turrialba"],
    workspaces: [
        ("parque-braulio", 4.0),
        ("parque-irazu", 4.0),
        ("parque-turrialba", 3.0),
        ("parque-tapanti", 2.0),
        ("reserva-grecia", 1.0),
        ("reserva-prusia", 1.0),
        ("sendero-barva", 1.0),
        ("sendero-orosi", 1.0),
        ("sendero-guayabo", 1.0),
        ("centro-visitantes", 1.0),
    ],
    classes: [
        ClassProfile {
            name: "summary",
            weight: 0.15,
            new_tokens: (800, 3000),
            output_tokens: (80, 200),
            keyed: false,
        },
        ClassProfile {
            name: "question",
            weight: 0.3,
            new_tokens: (20, 80),
            output_tokens: (20, 80),
            keyed: false,
        },
        ClassProfile {
            name: "tagging",
            weight: 0.3,
            new_tokens: (100, 400),
            output_tokens: (5, 20),
            keyed: false,
        },
        ClassProfile {
            name: "bulletin",
            weight: 0.1,
            new_tokens: (0, 0),
            output_tokens: (0, 0),
            keyed: false,
        },
        ClassProfile {
            name: "report",
            weight: 0.1,
            new_tokens: (0, 0),
            output_tokens: (0, 0),
            keyed: true,
        },
        ClassProfile {
            name: "hazard",
            weight: 0.05,
            new_tokens: (0, 0),
            output_tokens: (0, 0),
            keyed: true,
        },
    ],
};

impl Deployment {
    fn profile(self) -> &'static Profile {
        match self {
            Deployment::Lagyviz => &LAGYVIZ,
            Deployment::Senderos => &SENDEROS,
        }
    }
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Deployment, String> {
        match text {
            "lagyviz" => Ok(Deployment::Lagyviz),
            "senderos" => Ok(Deployment::Senderos),
            _ => Err(format!("unknown deployment {text}")),
        }
    }
}

/// Generates a trace; the result depends only on the arguments.
pub fn generate(deployment: Deployment, volume: Volume, seed: u64) -> Trace {
    let profile = deployment.profile();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // Number of chats started so far in each workspace.
    let mut chat_counts = [0u32; 10];
    let mut at_ms = 0.0;
    let mut events = Vec::with_capacity(volume.requests);
    for n in 0..volume.requests {
        let surging = volume.surge && (volume.requests / 3..volume.requests * 2 / 3).contains(&n);
        let weights = workspace_weights(profile, surging);
        let total: f64 = weights.iter().sum();
        let base_total: f64 = profile.workspaces.iter().map(|it| it.1).sum();
        let rate = volume.rate * total / base_total;
        // Exponential inter-arrival times make the requests a Poisson process.
        at_ms += -rng.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / rate;
        let workspace = pick_weighted(&mut rng, &weights);
        events.push(generate_event(profile, &mut rng, &mut chat_counts, workspace, at_ms as u64));
    }
    let header = Header {
        version: VERSION,
        deployment: profile.name.to_owned(),
        model: profile.model.to_owned(),
    };
    Trace { header, events }
}

fn workspace_weights(profile: &Profile, surging: bool) -> Vec<f64> {
    let factor = |index: usize| if surging && index == 2 { SURGE_FACTOR } else { 1.0 };
    profile.workspaces.iter().enumerate().map(|(index, it)| it.1 * factor(index)).collect()
}

fn pick_weighted(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let mut remaining = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn generate_event(
    profile: &Profile,
    rng: &mut Pcg64Mcg,
    chat_counts: &mut [u32; 10],
    workspace: usize,
    at_ms: u64,
) -> Event {
    let (name, weight) = profile.workspaces[workspace];
    let class =
        &profile.classes[pick_weighted(rng, &profile.classes.each_ref().map(|it| it.weight))];
    if chat_counts[workspace] == 0 || rng.random_bool(NEW_CHAT_PROBABILITY) {
        chat_counts[workspace] += 1;
    }
    let newest = chat_counts[workspace];
    let active = (CHATS_PER_WEIGHT * weight as u32).min(newest);
    let chat = newest - rng.random_range(0..active);
    let mut draw_tokens =
        |(low, high): (u32, u32)| if high == 0 { 0 } else { rng.random_range(low..high) };
    Event {
        at_ms,
        workspace: name.to_owned(),
        chat: format!("c{chat}"),
        class: class.name.to_owned(),
        // All requests of a chat come from the same data centre.
        data_centre: profile.data_centres[(chat as usize + workspace) % 3].to_owned(),
        new_tokens: draw_tokens(class.new_tokens),
        output_tokens: draw_tokens(class.output_tokens),
        keyed: class.keyed,
    }
}

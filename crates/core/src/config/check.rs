//! YAML representation of a configuration and its validation.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;
use serde_saphyr::{Location, Spanned};

use super::{
    Category, Class, Config, ConfigError, DocumentKind, EngineAssignment, ModelSpec, Preset,
    PresetName, Result, Target, Workspace,
};
use crate::name::Name;

const MAX_PRIORITY: u8 = 9;
const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_BODY_BYTES: usize = 64 << 20;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigSource {
    #[expect(dead_code, reason = "validated by deserialization")]
    kind: DocumentKind,
    deployment: Name,
    workspaces: Vec<WorkspaceSource>,
    classes: Vec<ClassSource>,
    models: Vec<ModelSource>,
    #[serde(default)]
    engines: Vec<EngineSource>,
    presets: Spanned<Vec<PresetSource>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceSource {
    name: Spanned<String>,
    share: Spanned<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassSource {
    name: Spanned<String>,
    target: Spanned<Target>,
    priority: Spanned<u8>,
    deadline_ms: Spanned<u64>,
    queue_ms: Spanned<u64>,
    idempotent: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelSource {
    name: Spanned<String>,
    version: u32,
    weight_mib: Spanned<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineSource {
    name: Spanned<String>,
    model: Spanned<String>,
    #[serde(default)]
    fenced: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PresetSource {
    name: Spanned<PresetName>,
    load_bound: Spanned<f64>,
    engine_slots: Spanned<u32>,
    queue_limit: u32,
    progress_ms: Spanned<u64>,
    retry_percent: Spanned<u32>,
    body_limit: Spanned<usize>,
}

/// Validates `source` and converts it to a [`Config`].
pub(super) fn validate(source: ConfigSource) -> Result<Config> {
    let workspaces = build_workspaces(source.workspaces)?;
    let classes = build_classes(source.classes)?;
    let models = build_models(source.models)?;
    let engines = build_engines(source.engines, &models)?;
    let presets = build_presets(source.presets)?;
    Ok(Config { deployment: source.deployment, workspaces, classes, models, engines, presets })
}

fn build_workspaces(sources: Vec<WorkspaceSource>) -> Result<BTreeMap<Name, Workspace>> {
    let mut workspaces = BTreeMap::new();
    for source in sources {
        let share = source.share.value;
        check_range(share.is_finite() && share > 0.0, &source.share, "share must be above 0")?;
        insert_named(&mut workspaces, "workspace", source.name, Workspace { share })?;
    }
    Ok(workspaces)
}

fn build_classes(sources: Vec<ClassSource>) -> Result<BTreeMap<Name, Class>> {
    let mut classes = BTreeMap::new();
    for source in sources {
        let deadline_ms = source.deadline_ms.value;
        check_range(
            source.priority.value <= MAX_PRIORITY,
            &source.priority,
            "priority must be 0 to 9",
        )?;
        check_range(
            (1..=MAX_DEADLINE_MS).contains(&deadline_ms),
            &source.deadline_ms,
            "deadline_ms must be 1 to 3600000",
        )?;
        check_range(
            source.queue_ms.value <= deadline_ms,
            &source.queue_ms,
            "queue_ms must not exceed deadline_ms",
        )?;
        // At-most-once execution is implemented only for requests to services.
        check_range(
            source.idempotent || source.target.value == Target::Service,
            &source.target,
            "class with target engine must be idempotent",
        )?;
        let class = Class {
            target: source.target.value,
            priority: source.priority.value,
            deadline_ms,
            queue_ms: source.queue_ms.value,
            idempotent: source.idempotent,
        };
        insert_named(&mut classes, "class", source.name, class)?;
    }
    Ok(classes)
}

fn build_models(sources: Vec<ModelSource>) -> Result<BTreeMap<Name, ModelSpec>> {
    let mut models = BTreeMap::new();
    for source in sources {
        check_range(source.weight_mib.value > 0, &source.weight_mib, "weight_mib must be above 0")?;
        let model = ModelSpec { version: source.version, weight_mib: source.weight_mib.value };
        insert_named(&mut models, "model", source.name, model)?;
    }
    Ok(models)
}

fn build_engines(
    sources: Vec<EngineSource>,
    models: &BTreeMap<Name, ModelSpec>,
) -> Result<BTreeMap<Name, EngineAssignment>> {
    let mut engines = BTreeMap::new();
    for source in sources {
        let Some((model, _)) = models.get_key_value(source.model.value.as_str()) else {
            let message = format!("engine refers to unknown model {}", source.model.value);
            return Err(ConfigError::new(Category::Reference, message, source.model.referenced));
        };
        let assignment = EngineAssignment { model: Arc::clone(model), fenced: source.fenced };
        insert_named(&mut engines, "engine", source.name, assignment)?;
    }
    Ok(engines)
}

fn build_presets(sources: Spanned<Vec<PresetSource>>) -> Result<BTreeMap<PresetName, Preset>> {
    let location = sources.referenced;
    let mut presets = BTreeMap::new();
    for source in sources.value {
        let name = source.name.value;
        let at = source.name.referenced;
        if presets.insert(name, build_preset(source)?).is_some() {
            let message = format!("duplicate preset {name}");
            return Err(ConfigError::new(Category::Duplicate, message, at));
        }
    }
    match PresetName::ALL.into_iter().find(|name| !presets.contains_key(name)) {
        Some(name) => {
            let message = format!("missing preset {name}");
            Err(ConfigError::new(Category::MissingPreset, message, location))
        }
        None => Ok(presets),
    }
}

fn build_preset(source: PresetSource) -> Result<Preset> {
    let bound = source.load_bound.value;
    check_range(
        bound.is_finite() && bound >= 1.0,
        &source.load_bound,
        "load_bound below 1.0 cannot be reached",
    )?;
    check_range(
        source.engine_slots.value > 0,
        &source.engine_slots,
        "engine_slots must be above 0",
    )?;
    check_range(source.progress_ms.value > 0, &source.progress_ms, "progress_ms must be above 0")?;
    check_range(
        source.retry_percent.value <= 100,
        &source.retry_percent,
        "retry_percent must be 0 to 100",
    )?;
    check_range(
        (1..=MAX_BODY_BYTES).contains(&source.body_limit.value),
        &source.body_limit,
        "body_limit must be 1 to 67108864",
    )?;
    Ok(Preset {
        load_bound: bound,
        engine_slots: source.engine_slots.value,
        queue_limit: source.queue_limit,
        progress_ms: source.progress_ms.value,
        retry_percent: source.retry_percent.value,
        body_limit: source.body_limit.value,
    })
}

fn insert_named<T>(
    map: &mut BTreeMap<Name, T>,
    entry_kind: &str,
    name: Spanned<String>,
    value: T,
) -> Result<()> {
    check_name(entry_kind, &name)?;
    if map.insert(name.value.as_str().into(), value).is_some() {
        let message = format!("duplicate {entry_kind} {}", name.value);
        return Err(ConfigError::new(Category::Duplicate, message, name.referenced));
    }
    Ok(())
}

fn check_name(entry_kind: &str, name: &Spanned<String>) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.value.is_empty() && name.value.chars().all(allowed) {
        return Ok(());
    }
    let message = format!("{entry_kind} name must be ASCII letters, digits, '-', '_' or '.'");
    Err(ConfigError::new(Category::Range, message, name.referenced))
}

fn check_range<T>(is_valid: bool, at: &Spanned<T>, message: &str) -> Result<()> {
    if is_valid { Ok(()) } else { Err(range_error(message, at.referenced)) }
}

#[cold]
fn range_error(message: &str, at: Location) -> ConfigError {
    ConfigError::new(Category::Range, message.to_owned(), at)
}

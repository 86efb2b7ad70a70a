//! Ways of choosing a target, under the same load in one run.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use serde::Serialize;
use shalelane::entry::{RoutePolicy, TargetPick};

use crate::demo::{DemoSpec, demo_fleet, run_fleet};
use crate::engine_model::EngineModel;
use crate::fleet::{Fleet, FleetSpec};
use crate::report::{LoadReport, SHORT, short_firsts, to_times};

/// How old reported loads are.
const LOAD_LAG: Duration = Duration::from_millis(400);

/// Figures of one way.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyFigures {
    /// Its name.
    pub name: &'static str,
    /// Median time to the first token of short prompts, in milliseconds.
    pub short_p50: f64,
    /// 95th percentile of it.
    pub short_p95: f64,
    /// Slowdown of short prompts while long ones run.
    pub short_slowdown: f64,
    /// Longest time to the first token, of the longest prompts.
    pub longest: f64,
    /// Requests refused or failed.
    pub not_finished: u64,
    /// Promises broken: lost, doubled, mixed, leaked.
    pub broken: u64,
}

type EngineModels = Arc<Mutex<Vec<(String, Arc<Mutex<EngineModel>>)>>>;

/// Runs the same load under each way.
#[must_use]
pub fn compare(spec: &DemoSpec) -> Vec<PolicyFigures> {
    let names = ["direct", "asking", "least-reported", "round-robin", "random"];
    names
        .into_iter()
        .map(|name| run_policy(name, spec))
        .inspect(|one| eprintln!("{one:?}"))
        .collect()
}

fn run_policy(name: &'static str, spec: &DemoSpec) -> PolicyFigures {
    let models = EngineModels::default();
    let policy = to_policy(name, &models);
    let fleet = Fleet::start(&FleetSpec { policy, ..demo_fleet(spec) });
    let named = fleet.agents.iter().zip(&fleet.engines);
    let named = named.map(|(agent, engine)| (agent.name.clone(), engine.model.clone()));
    if let Ok(mut models) = models.lock() {
        models.extend(named);
    }
    let (report, outcomes) = run_fleet(spec, fleet);
    let shorts = to_times(&short_firsts(&outcomes, SHORT));
    let longest = outcomes.iter().filter_map(|outcome| outcome.first).max().unwrap_or_default();
    PolicyFigures {
        name,
        short_p50: shorts.p50,
        short_p95: shorts.p95,
        short_slowdown: report.short_slowdown,
        longest: longest.as_secs_f64() * 1e3,
        not_finished: report.refused + report.failed,
        broken: broken(&report),
    }
}

fn broken(report: &LoadReport) -> u64 {
    report.lost + report.doubled + report.mixed + report.leaked_tokens
}

fn to_policy(name: &str, models: &EngineModels) -> RoutePolicy {
    let pick: Option<TargetPick> = match name {
        "least-reported" => Some(least_reported(models.clone())),
        "round-robin" => {
            let next = AtomicUsize::new(0);
            Some(TargetPick(Arc::new(move |names| {
                let count = next.fetch_add(1, Ordering::Relaxed);
                names.get(count % names.len().max(1)).cloned()
            })))
        }
        "random" => Some(TargetPick(Arc::new(|names| names.choose(&mut rand::rng()).cloned()))),
        _ => None,
    };
    RoutePolicy { allows_direct: name == "direct", pick }
}

/// The target whose engine held the least memory when last reported.
fn least_reported(models: EngineModels) -> TargetPick {
    let reported = Mutex::new((None::<Instant>, Vec::<(String, u64)>::new()));
    TargetPick(Arc::new(move |names| {
        let mut reported = reported.lock().ok()?;
        if reported.0.is_none_or(|at| at.elapsed() > LOAD_LAG) {
            let models = models.lock().ok()?;
            let used = |model: &Arc<Mutex<EngineModel>>| model.lock().map_or(0, |one| one.used());
            let loads = models.iter().map(|(name, model)| (name.clone(), used(model)));
            *reported = (Some(Instant::now()), loads.collect());
        }
        let load_of = |name: &str| {
            let found = reported.1.iter().find(|(other, _)| other == name);
            found.map_or(0, |(_, used)| *used)
        };
        names.iter().min_by_key(|name| load_of(name)).cloned()
    }))
}

/// Writes figures for a reader.
#[must_use]
pub fn to_table(figures: &[PolicyFigures]) -> String {
    use std::fmt::Write;
    let mut text = String::from(
        "way              short p50   short p95   slowdown   longest first   not finished  broken\n",
    );
    for one in figures {
        let _ = writeln!(
            text,
            "{:<15} {:>8.1} ms {:>8.1} ms {:>10.2} {:>12.0} ms {:>14} {:>7}",
            one.name,
            one.short_p50,
            one.short_p95,
            one.short_slowdown,
            one.longest,
            one.not_finished,
            one.broken
        );
    }
    text
}

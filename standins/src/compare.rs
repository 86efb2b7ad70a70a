//! Compares routing policies under the same load.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use serde::Serialize;
use shalelane::entry::{RoutePolicy, TargetPick};

use crate::demo::{DemoSpec, demo_fleet, run_fleet};
use crate::engine_model::EngineModel;
use crate::fleet::{Fleet, FleetSpec};
use crate::report::{LoadReport, MAX_SHORT_TOKENS, short_prompt_ttfts, to_latency_summary};

/// Interval at which the policy `least-reported` refreshes its loads.
const LOAD_REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Results of one routing policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name of the policy.
    pub name: &'static str,
    /// Median time to first token of short prompts, in milliseconds.
    pub short_p50: f64,
    /// 95th percentile of the time to first token of short prompts, in milliseconds.
    pub short_p95: f64,
    /// Ratio of short prompts' p95 time to first token with long prompts to that without.
    pub short_slowdown: f64,
    /// Longest time to first token of any prompt, in milliseconds.
    pub longest: f64,
    /// Requests that were refused or failed.
    pub not_finished: u64,
    /// Violations of guarantees: lost and wrong answers, double executions and leaked tokens.
    pub broken: u64,
}

type EngineModels = Arc<Mutex<Vec<(String, Arc<Mutex<EngineModel>>)>>>;

/// Runs the same load under each policy.
#[must_use]
pub fn compare(spec: &DemoSpec) -> Vec<PolicyResult> {
    let names = ["direct", "asking", "least-reported", "round-robin", "random"];
    names
        .into_iter()
        .map(|name| run_policy(name, spec))
        .inspect(|result| eprintln!("{result:?}"))
        .collect()
}

fn run_policy(name: &'static str, spec: &DemoSpec) -> PolicyResult {
    let models = EngineModels::default();
    let policy = to_policy(name, &models);
    let fleet = Fleet::start(&FleetSpec { policy, ..demo_fleet(spec) });
    let models_by_target = fleet.agents.iter().zip(&fleet.engines);
    let models_by_target =
        models_by_target.map(|(agent, engine)| (agent.name.clone(), engine.model.clone()));
    if let Ok(mut models) = models.lock() {
        models.extend(models_by_target);
    }
    let (report, outcomes) = run_fleet(spec, fleet);
    let shorts = to_latency_summary(&short_prompt_ttfts(&outcomes, MAX_SHORT_TOKENS));
    let longest =
        outcomes.iter().filter_map(|outcome| outcome.time_to_first_chunk).max().unwrap_or_default();
    PolicyResult {
        name,
        short_p50: shorts.p50,
        short_p95: shorts.p95,
        short_slowdown: report.short_slowdown,
        longest: longest.as_secs_f64() * 1e3,
        not_finished: report.refused + report.failed,
        broken: count_violations(&report),
    }
}

fn count_violations(report: &LoadReport) -> u64 {
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

/// Returns a policy that picks the target whose engine used the least memory at the last refresh.
fn least_reported(models: EngineModels) -> TargetPick {
    let reported = Mutex::new((None::<Instant>, Vec::<(String, u64)>::new()));
    TargetPick(Arc::new(move |names| {
        let mut reported = reported.lock().ok()?;
        if reported.0.is_none_or(|refreshed_at| refreshed_at.elapsed() > LOAD_REFRESH_INTERVAL) {
            let models = models.lock().ok()?;
            let used =
                |model: &Arc<Mutex<EngineModel>>| model.lock().map_or(0, |model| model.used());
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

/// Formats the results as a text table.
#[must_use]
pub fn to_table(results: &[PolicyResult]) -> String {
    use std::fmt::Write;
    let mut text = String::from(
        "policy           short p50   short p95   slowdown   longest first   not finished  broken\n",
    );
    for result in results {
        let _ = writeln!(
            text,
            "{:<15} {:>8.1} ms {:>8.1} ms {:>10.2} {:>12.0} ms {:>14} {:>7}",
            result.name,
            result.short_p50,
            result.short_p95,
            result.short_slowdown,
            result.longest,
            result.not_finished,
            result.broken
        );
    }
    text
}

//! Command line program that runs fleets of stand-ins, simulations and measurements.

use std::alloc::System;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use shalelane::mutant::Mutant;
use shalelane::relay::decide::policy::RelayPolicy;
use standins::chaos::{ChaosOutcome, ChaosPlan, SeedsOutcome, run_seeds};
use standins::demo::{self, DemoSpec, apply_config, demo_fleet, wait_ready};
use standins::fleet::{ADMIN_KEY, Fleet};
use standins::replay::experiment;
use standins::slopes;
use standins::{compare, control, lanes, overload};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a fleet under a bounded mixed load and print the figures")]
    Demo(DemoArguments),
    #[options(help = "run a fleet until it is interrupted")]
    Up(DemoArguments),
    #[options(help = "run randomised simulations with faults in virtual time")]
    Chaos(ChaosArguments),
    #[options(help = "measure how costs grow with requests, targets, accounts and changes")]
    Slopes(SlopesArguments),
    #[options(help = "compare routing policies under the same load")]
    Routing(DemoArguments),
    #[options(help = "measure goodput at loads below and above the engines' capacity")]
    Overload(DemoArguments),
    #[options(help = "measure long prompts beside short ones for several prefill piece sizes")]
    Lanes(DemoArguments),
    #[options(help = "compare two relay policies under simulated loads in virtual time")]
    Replay(ReplayArguments),
    #[options(help = "count calls to the platform's store for several fleet sizes")]
    Control(ControlArguments),
}

#[derive(Debug, Options)]
struct ReplayArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file of the baseline policy [default policy]", meta = "FILE")]
    base: Option<PathBuf>,
    #[options(help = "TOML file of the policy to compare [default policy]", meta = "FILE")]
    other: Option<PathBuf>,
    #[options(help = "range of seeds of the loads, end excluded [1..6]", no_short, meta = "A..B")]
    seeds: Option<String>,
}

#[derive(Debug, Options)]
struct ControlArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(help = "seed of the random numbers [1]", no_short, meta = "N")]
    seed: Option<u64>,
    #[options(help = "maximum number of entries [2400]", no_short, meta = "N")]
    most: Option<usize>,
}

#[derive(Debug, Options)]
struct SlopesArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

/// Allocator that counts heap bytes, for the memory figures of `slopes`.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn heap_bytes() -> usize {
    let stats = HEAP.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

#[derive(Debug, Options)]
struct ChaosArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "range of seeds of the runs, end excluded [0..1000]",
        no_short,
        meta = "A..B"
    )]
    seeds: Option<String>,
    #[options(
        help = "inject each known fault into the cores and print the seed that detects it",
        no_short
    )]
    mutants: bool,
}

#[derive(Debug, Options)]
struct DemoArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print one JSON object", no_short)]
    json: bool,
    #[options(help = "seed of the load [1]", no_short, meta = "N")]
    seed: Option<u64>,
    #[options(help = "number of requests [300]", no_short, meta = "N")]
    requests: Option<u64>,
    #[options(help = "number of engines [8]", no_short, meta = "N")]
    engines: Option<usize>,
    #[options(help = "divisor of the engines' times [4]", no_short, meta = "X")]
    time_scale: Option<f64>,
    #[options(help = "time from one request to the next, in ms [80]", no_short, meta = "N")]
    step_ms: Option<u64>,
}

impl DemoArguments {
    fn to_spec(&self) -> DemoSpec {
        let default = DemoSpec::default();
        DemoSpec {
            seed: self.seed.unwrap_or(default.seed),
            requests: self.requests.unwrap_or(default.requests),
            time_scale: self.time_scale.unwrap_or(default.time_scale),
            engines: self.engines.unwrap_or(default.engines),
            hides_progress: self.json,
            interval: self.step_ms.map_or(default.interval, Duration::from_millis),
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Demo(arguments)) => run_demo(&arguments),
        Some(Command::Up(arguments)) => run_up(&arguments),
        Some(Command::Chaos(arguments)) => run_chaos(&arguments),
        Some(Command::Slopes(arguments)) => run_slopes(&arguments),
        Some(Command::Routing(arguments)) => run_routing(&arguments),
        Some(Command::Overload(arguments)) => {
            let figures = overload::measure(arguments.to_spec().seed);
            print_figures(arguments.json, &figures, &overload::to_table(&figures))
        }
        Some(Command::Lanes(arguments)) => {
            let figures = lanes::compare();
            print_figures(arguments.json, &figures, &lanes::to_table(&figures))
        }
        Some(Command::Replay(arguments)) => run_replay(&arguments),
        Some(Command::Control(arguments)) => {
            let max_entries = arguments.most.unwrap_or(2_400);
            let sizes = [30, 100, 201, 402, 804, 1_000, 2_400];
            let sizes: Vec<usize> = sizes.into_iter().filter(|size| *size <= max_entries).collect();
            let figures = control::measure(&sizes, arguments.seed.unwrap_or(1));
            print_figures(arguments.json, &figures, &control::to_table(&figures))
        }
        None => {
            println!("{}", Arguments::usage());
            println!("{}", Arguments::command_list().unwrap_or_default());
            ExitCode::from(2)
        }
    }
}

fn run_demo(arguments: &DemoArguments) -> ExitCode {
    let spec = arguments.to_spec();
    let report = demo::run(&spec);
    if arguments.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        println!("seed {}\n{}", spec.seed, report.to_table());
    }
    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_up(arguments: &DemoArguments) -> ExitCode {
    let spec = arguments.to_spec();
    let mut fleet = Fleet::start(&demo_fleet(&spec));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        apply_config(&fleet, include_str!("../../examples/valdivia.toml")).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        let entry = &fleet.entries[0];
        println!(
            "callers {}, operators {}, key {ADMIN_KEY}",
            entry.caller_address, entry.admin_address
        );
        println!(
            "curl -N http://{}/v1/completions -H 'Authorization: Bearer demo-quay-kiosks' \
             -d '{{\"model\": \"canal-8b\", \"prompt\": \"Which boats leave at noon?\", \
             \"max_tokens\": 8, \"stream\": true}}'",
            entry.caller_address
        );
        shalelane::program::wait_for_stop().await;
    });
    fleet.stop();
    ExitCode::SUCCESS
}

fn run_chaos(arguments: &ChaosArguments) -> ExitCode {
    let Some((first, end)) = parse_seeds(arguments.seeds.as_deref().unwrap_or("0..1000")) else {
        return ExitCode::from(2);
    };
    if arguments.mutants {
        return run_mutants(first, end);
    }
    match run_seeds(first, end, None) {
        SeedsOutcome { violating_run: Some((seed, outcome)), .. } => {
            print_violating_run(seed, &outcome);
            ExitCode::FAILURE
        }
        SeedsOutcome { finished, failed, .. } => {
            println!(
                "seeds {first}..{end}: no guarantee violated; {finished} finished, {failed} failed"
            );
            ExitCode::SUCCESS
        }
    }
}

/// Parses a range `A..B`. Prints an error and returns `None` if it is malformed.
fn parse_seeds(seeds: &str) -> Option<(u64, u64)> {
    let parsed = seeds.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    if parsed.is_none() {
        eprintln!("invalid --seeds: expected a range A..B");
    }
    parsed
}

fn run_replay(arguments: &ReplayArguments) -> ExitCode {
    let seeds = parse_seeds(arguments.seeds.as_deref().unwrap_or("1..6"));
    let policies = [&arguments.base, &arguments.other].map(|file| read_policy(file.as_deref()));
    let (Some((first, end)), [Some(base), Some(other)]) = (seeds, policies) else {
        return ExitCode::from(2);
    };
    let seeds: Vec<_> = (first..end).collect();
    println!("seeds {first}..{end}");
    print!("{}", experiment::to_details(other, first));
    print!("{}", experiment::to_table(&experiment::compare(base, other, &seeds)));
    ExitCode::SUCCESS
}

/// Reads a policy from a file, or returns the default policy without one.
///
/// Prints an error and returns `None` if the file cannot be read or the policy is invalid.
fn read_policy(file: Option<&Path>) -> Option<RelayPolicy> {
    let Some(file) = file else { return Some(RelayPolicy::DEFAULT) };
    let read = std::fs::read_to_string(file).map_err(|error| error.to_string());
    let parsed = read.and_then(|text| toml::from_str(&text).map_err(|error| error.to_string()));
    let checked = parsed.and_then(|policy: RelayPolicy| match policy.check() {
        Ok(()) => Ok(policy),
        Err(error) => Err(error.to_string()),
    });
    checked.inspect_err(|error| eprintln!("{}: {error}", file.display())).ok()
}

fn print_violating_run(seed: u64, outcome: &ChaosOutcome) {
    for line in &outcome.log {
        println!("{line}");
    }
    println!("{:#?}", ChaosPlan::from_seed(seed).faults);
    for line in &outcome.violations {
        println!("seed {seed}: {line}");
    }
}

fn run_mutants(first: u64, end: u64) -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let mut is_any_missed = false;
    for mutant in Mutant::ALL {
        let detected_by = run_seeds(first, end, Some(mutant)).violating_run;
        match &detected_by {
            Some((seed, outcome)) => {
                println!("{mutant:?}: detected by seed {seed}: {}", outcome.violations[0]);
            }
            None => println!("{mutant:?}: missed"),
        }
        is_any_missed |= detected_by.is_none();
    }
    if is_any_missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn run_slopes(arguments: &SlopesArguments) -> ExitCode {
    let slopes = slopes::measure(heap_bytes);
    if arguments.json {
        println!("{}", serde_json::to_string(&slopes).unwrap_or_default());
    } else {
        print!("{}", slopes::to_table(&slopes));
    }
    ExitCode::SUCCESS
}

fn run_routing(arguments: &DemoArguments) -> ExitCode {
    let spec = DemoSpec { hides_progress: true, ..arguments.to_spec() };
    let figures = compare::compare(&spec);
    print_figures(arguments.json, &figures, &compare::to_table(&figures))
}

fn print_figures<T: serde::Serialize>(json: bool, figures: &T, table: &str) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string(figures).unwrap_or_default());
    } else {
        print!("{table}");
    }
    ExitCode::SUCCESS
}

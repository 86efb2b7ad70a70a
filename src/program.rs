//! Entry point of the programs: settings, a single-threaded runtime, and signals.

use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::Result;
use crate::settings::{EnvLookup, Invocation, process_env};

/// Exit code of a program with invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Parses a program's settings from its arguments and environment, and runs it on a
/// single-threaded runtime.
pub fn run_program<T, W>(
    name: &str,
    parse: impl FnOnce(&[String], EnvLookup<'_>) -> Result<Invocation<T>>,
    run: impl FnOnce(T) -> W,
) -> ExitCode
where
    W: Future<Output = Result<()>>,
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    match parse(&args, &process_env) {
        Ok(Invocation::Run(settings)) => block_on(name, run(settings)),
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

fn block_on(name: &str, run: impl Future<Output = Result<()>>) -> ExitCode {
    let runtime = Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits until the process receives SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    let term = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut term), Ok(mut interrupt)) = (term, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Calls `reload` each time the process receives SIGHUP.
pub async fn on_reload_signal(mut reload: impl FnMut()) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    while hangup.recv().await.is_some() {
        reload();
    }
}

//! What the programs share: settings, one thread, one runtime, and signals.

use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::Result;
use crate::settings::{EnvLookup, Invocation, process_env};

/// Exit code where the settings are not right.
const BAD_SETTINGS: u8 = 2;

/// Reads a program's settings and does its work on one thread.
pub fn run_program<T, W>(
    name: &str,
    read: impl FnOnce(&[String], EnvLookup<'_>) -> Result<Invocation<T>>,
    work: impl FnOnce(T) -> W,
) -> ExitCode
where
    W: Future<Output = Result<()>>,
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    match read(&args, &process_env) {
        Ok(Invocation::Run(settings)) => run_work(name, work(settings)),
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

fn run_work(name: &str, work: impl Future<Output = Result<()>>) -> ExitCode {
    let runtime = Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(work),
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

/// Ends when the process is asked to stop by SIGTERM or SIGINT.
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

/// Calls `reload` each time the process is told that its settings changed.
pub async fn on_reload_signal(mut reload: impl FnMut()) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    while hangup.recv().await.is_some() {
        reload();
    }
}

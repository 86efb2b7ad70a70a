//! What the programs share: one thread, one runtime, and signals.

use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::Result;

/// Runs a program's work on one thread, and tells of a failure.
pub fn run_program(name: &str, work: impl Future<Output = Result<()>>) -> ExitCode {
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

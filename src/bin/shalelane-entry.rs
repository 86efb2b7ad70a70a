//! The entry's program.

use std::process::ExitCode;

use shalelane::Error;
use shalelane::entry::daemon::EntryDaemon;
use shalelane::program::{run_program, wait_for_stop};
use shalelane::settings::{EntrySettings, Invocation, process_env};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let settings = match EntrySettings::from_args(&args, &process_env) {
        Ok(Invocation::Run(settings)) => settings,
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("shalelane-entry: {error}");
            return ExitCode::from(2);
        }
    };
    run_program("shalelane-entry", serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<(), Error> {
    let daemon = EntryDaemon::bind(settings).await?;
    let (callers, admin) = daemon.addresses()?;
    println!("ready callers={callers} admin={admin}");
    daemon.run(wait_for_stop()).await.map(drop)
}

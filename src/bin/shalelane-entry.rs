//! Program of the entry.

use std::process::ExitCode;

use shalelane::Result;
use shalelane::entry::daemon::EntryDaemon;
use shalelane::program::{run_program, wait_for_stop};
use shalelane::settings::EntrySettings;

fn main() -> ExitCode {
    run_program("shalelane-entry", EntrySettings::from_args, serve)
}

async fn serve(settings: EntrySettings) -> Result<()> {
    let daemon = EntryDaemon::bind(settings)?;
    let (callers, admin) = daemon.addresses()?;
    println!("ready callers={callers} admin={admin}");
    daemon.run(wait_for_stop()).await.map(drop)
}

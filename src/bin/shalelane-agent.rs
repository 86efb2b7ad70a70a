//! Program of the agent.

use std::process::ExitCode;

use shalelane::Result;
use shalelane::agent::daemon::AgentDaemon;
use shalelane::program::{run_program, wait_for_stop};
use shalelane::settings::AgentSettings;

fn main() -> ExitCode {
    run_program("shalelane-agent", AgentSettings::from_args, serve)
}

async fn serve(settings: AgentSettings) -> Result<()> {
    let daemon = AgentDaemon::bind(settings)?;
    let (entries, metrics) = daemon.addresses()?;
    println!("ready entries={entries} metrics={metrics}");
    daemon.run(wait_for_stop()).await.map(drop)
}

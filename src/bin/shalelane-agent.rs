//! The agent's program.

use std::process::ExitCode;

use shalelane::Error;
use shalelane::agent::daemon::AgentDaemon;
use shalelane::program::{run_program, wait_for_stop};
use shalelane::settings::{AgentSettings, Invocation, process_env};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let settings = match AgentSettings::from_args(&args, &process_env) {
        Ok(Invocation::Run(settings)) => settings,
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("shalelane-agent: {error}");
            return ExitCode::from(2);
        }
    };
    run_program("shalelane-agent", serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<(), Error> {
    let daemon = AgentDaemon::bind(settings).await?;
    let address = daemon.address()?;
    println!("ready entries={address}");
    daemon.run(wait_for_stop()).await.map(drop)
}

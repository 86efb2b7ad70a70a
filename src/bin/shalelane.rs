//! Command line program of the operators.

use std::process::ExitCode;

use shalelane::Result;
use shalelane::cli::CliRequest;
use shalelane::program::run_program;

fn main() -> ExitCode {
    run_program("shalelane", CliRequest::from_args, run)
}

async fn run(request: CliRequest) -> Result<()> {
    print!("{}", request.run().await?);
    Ok(())
}

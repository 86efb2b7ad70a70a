//! The operators' program.

use std::process::ExitCode;

use shalelane::cli::CliRequest;
use shalelane::program::run_program;
use shalelane::settings::{Invocation, process_env};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match CliRequest::from_args(&args, &process_env) {
        Ok(Invocation::Run(request)) => run_program("shalelane", async move {
            print!("{}", request.run().await?);
            Ok(())
        }),
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("shalelane: {error}");
            ExitCode::from(2)
        }
    }
}

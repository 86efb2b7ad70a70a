//! Tests of the programs' settings, and of the command line without a server.

use std::process::Command;

use shalelane::settings::{AgentSettings, EntrySettings, Invocation};

fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

const ENTRY_FLAGS: &str = "--name e --failure-domain d --store 127.0.0.1:1 --hosts 127.0.0.1:2 \
                     --peer-key 0123456789abcdef";

#[test]
fn flag_takes_precedence_over_variable_and_variable_over_default() {
    let env = |name: &str| match name {
        "SHALELANE_MAX_BODY_BYTES" => Some("1000".to_owned()),
        "SHALELANE_MAX_CONNECTIONS" => Some("7".to_owned()),
        _ => None,
    };
    let command_line = format!("{ENTRY_FLAGS} --max-connections 9");
    let invocation =
        EntrySettings::from_args(&args(&command_line), &env).expect("the settings are valid");
    let Invocation::Run(settings) = invocation else { panic!("the settings do not lead to a run") };
    assert_eq!((settings.max_body_bytes, settings.max_connections), (1000, 9));
}

#[test]
fn error_names_the_flag_and_the_variable() {
    let cases = [
        (ENTRY_FLAGS.replace("--name e", ""), "--name (SHALELANE_NAME) is missing"),
        (ENTRY_FLAGS.replace("--name e", "--name a/b"), "--name (SHALELANE_NAME) must be"),
        (
            ENTRY_FLAGS.replace("127.0.0.1:1", "nowhere"),
            "--store (SHALELANE_STORE) has a bad value",
        ),
        (
            ENTRY_FLAGS.replace("0123456789abcdef", "short"),
            "--peer-key (SHALELANE_PEER_KEY) must have",
        ),
        (
            format!("{ENTRY_FLAGS} --log-format xml"),
            "--log-format (SHALELANE_LOG_FORMAT) has a bad",
        ),
    ];
    for (command_line, expected) in cases {
        let error = EntrySettings::from_args(&args(&command_line), &|_| None)
            .expect_err("the settings are invalid");
        assert!(error.is_settings());
        assert!(error.to_string().starts_with(expected), "{error}");
    }
    let command_line = "--name a --target 127.0.0.1:1 --peer-key 0123456789abcdef --piece-tokens 0";
    let error = AgentSettings::from_args(&args(command_line), &|_| None)
        .expect_err("the settings are invalid");
    assert_eq!(error.to_string(), "--piece-tokens (SHALELANE_PIECE_TOKENS) must be above 0");
}

#[test]
fn every_program_prints_help_and_version() {
    for program in [
        env!("CARGO_BIN_EXE_shalelane"),
        env!("CARGO_BIN_EXE_shalelane-entry"),
        env!("CARGO_BIN_EXE_shalelane-agent"),
    ] {
        for flag in ["--help", "--version"] {
            let output = Command::new(program).arg(flag).output().expect("the program runs");
            assert!(output.status.success() && !output.stdout.is_empty(), "{program} {flag}");
        }
        let output =
            Command::new(program).arg("--no-such-flag").output().expect("the program runs");
        assert_eq!(output.status.code(), Some(2), "{program}");
    }
}

#[test]
fn check_accepts_valid_and_rejects_invalid_files_without_a_server() {
    let run = |file: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shalelane"));
        command.args(["check", file]).output().expect("the program runs")
    };
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/valdivia.toml");
    assert!(run(example).status.success());
    let invalid = std::env::temp_dir().join(format!("shalelane-check-{}.toml", std::process::id()));
    std::fs::write(&invalid, "[[services]]\nname = \"a\"\nkind = \"engin\"\n")
        .expect("the file is written");
    let output = run(invalid.to_str().expect("the path is UTF-8"));
    std::fs::remove_file(&invalid).expect("the file is removed");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains(".toml:3:8: unknown variant `engin`"), "{text}");
}

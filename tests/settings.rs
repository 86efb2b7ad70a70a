//! Settings of the programs, and the command line without a server.

use std::process::Command;

use shalelane::settings::{AgentSettings, EntrySettings, Invocation};

fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

const ENTRY: &str = "--name e --failure-domain d --store 127.0.0.1:1 --hosts 127.0.0.1:2 \
                     --peer-key 0123456789abcdef";

#[test]
fn a_flag_wins_over_its_variable_and_a_variable_over_the_default() {
    let env = |name: &str| match name {
        "SHALELANE_MAX_BODY_BYTES" => Some("1000".to_owned()),
        "SHALELANE_MAX_CONNECTIONS" => Some("7".to_owned()),
        _ => None,
    };
    let line = format!("{ENTRY} --max-connections 9");
    let read = EntrySettings::from_args(&args(&line), &env).expect("good settings");
    let Invocation::Run(settings) = read else { panic!("not to be run") };
    assert_eq!((settings.max_body, settings.max_connections), (1000, 9));
}

#[test]
fn a_fault_names_the_flag_and_the_variable() {
    let cases = [
        (ENTRY.replace("--name e", ""), "--name (SHALELANE_NAME) is missing"),
        (ENTRY.replace("--name e", "--name a/b"), "--name (SHALELANE_NAME) must be"),
        (ENTRY.replace("127.0.0.1:1", "nowhere"), "--store (SHALELANE_STORE) has a bad value"),
        (ENTRY.replace("0123456789abcdef", "short"), "--peer-key (SHALELANE_PEER_KEY) must have"),
        (format!("{ENTRY} --log-format xml"), "--log-format (SHALELANE_LOG_FORMAT) has a bad"),
    ];
    for (line, expected) in cases {
        let error = EntrySettings::from_args(&args(&line), &|_| None).expect_err("a refusal");
        assert!(error.is_settings());
        assert!(error.to_string().starts_with(expected), "{error}");
    }
    let line = "--name a --target 127.0.0.1:1 --peer-key 0123456789abcdef --piece-tokens 0";
    let error = AgentSettings::from_args(&args(line), &|_| None).expect_err("a refusal");
    assert_eq!(error.to_string(), "--piece-tokens (SHALELANE_PIECE_TOKENS) must be above 0");
}

#[test]
fn every_program_has_help_and_a_version() {
    for program in [
        env!("CARGO_BIN_EXE_shalelane"),
        env!("CARGO_BIN_EXE_shalelane-entry"),
        env!("CARGO_BIN_EXE_shalelane-agent"),
    ] {
        for flag in ["--help", "--version"] {
            let output = Command::new(program).arg(flag).output().expect("a run");
            assert!(output.status.success() && !output.stdout.is_empty(), "{program} {flag}");
        }
        let output = Command::new(program).arg("--no-such-flag").output().expect("a run");
        assert_eq!(output.status.code(), Some(2), "{program}");
    }
}

#[test]
fn check_tells_good_from_bad_without_a_server() {
    let run = |file: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shalelane"));
        command.args(["check", file]).output().expect("a run")
    };
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/valdivia.toml");
    assert!(run(example).status.success());
    let bad = std::env::temp_dir().join(format!("shalelane-check-{}.toml", std::process::id()));
    std::fs::write(&bad, "[[services]]\nname = \"a\"\nkind = \"engin\"\n").expect("a file");
    let output = run(bad.to_str().expect("a path"));
    std::fs::remove_file(&bad).expect("removed");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains(".toml:3:8: unknown variant `engin`"), "{text}");
}

//! Tests of the declared configuration: accepted documents and the errors for invalid ones.

use shalelane::Config;

const VALDIVIA: &str = include_str!("../examples/valdivia.toml");
const GRANITE_HEARTH: &str = include_str!("../examples/granite-hearth.toml");

fn expect_rejected(text: &str) -> shalelane::Error {
    let error = Config::from_toml(text).expect_err("the configuration is invalid");
    assert!(error.is_config());
    error
}

#[test]
fn examples_are_accepted_and_survive_a_json_round_trip() {
    for text in [VALDIVIA, GRANITE_HEARTH] {
        let config = Config::from_toml(text).expect("the example is valid");
        assert_eq!(config.client_accounts.len(), 10);
        assert_eq!(Config::from_json(&config.to_json()).expect("the JSON is valid"), config);
    }
}

#[test]
fn unknown_field_error_has_line_and_nearest_field() {
    let text = VALDIVIA.replace("urgency = \"batch\"", "urgancy = \"batch\"");
    let error = expect_rejected(&text);
    let line =
        text.lines().position(|line| line.starts_with("urgancy")).expect("the changed line") + 1;
    assert_eq!(error.line(), Some(line));
    assert!(error.to_string().contains("nearest is `urgency`"), "{error}");
}

#[test]
fn unknown_reference_error_has_line_and_nearest_name() {
    let text = VALDIVIA.replacen("template = \"ordinance\"", "template = \"ordinence\"", 1);
    let error = expect_rejected(&text);
    let line =
        text.lines().position(|line| line.contains("ordinence")).expect("the changed line") + 1;
    assert_eq!(error.line(), Some(line));
    assert!(error.to_string().contains("nearest is `ordinance`"), "{error}");
}

#[test]
fn error_in_a_list_has_the_column_of_the_element() {
    let text = VALDIVIA.replacen("services = [\"booking-app\"]", "services = [\"boking-app\"]", 1);
    let error = expect_rejected(&text);
    assert_eq!(error.column(), Some("services = [".len() + 1));
}

#[test]
fn values_out_of_range_are_rejected() {
    let cases = [
        ("weight = 3", "weight = 0", "weight"),
        ("requests_per_second = 200.0", "requests_per_second = 0.0", "requests_per_second"),
        ("max_prompt_tokens = 1_100_000", "max_prompt_tokens = 0", "max_prompt_tokens"),
        ("set = { concurrent = 600 }", "set = { urgency = \"batch\" }", "no parameter `urgency`"),
        ("name = \"pier-app\"", "name = \"quay-kiosks\"", "twice"),
        ("\"/confirm\"", "\"confirm\"", "starts with `/`"),
        ("seconds = 20 }", "seconds = 0 }", "above 0 seconds"),
    ];
    for (valid, invalid, expected) in cases {
        let text = VALDIVIA.replacen(valid, invalid, 1);
        assert_ne!(text, VALDIVIA, "{valid} is not in the example");
        let error = expect_rejected(&text);
        assert!(error.to_string().contains(expected), "{error} lacks {expected}");
        assert!(error.line().is_some(), "{error}");
    }
}

#[test]
fn truncated_json_is_rejected() {
    let json = Config::from_toml(VALDIVIA).expect("the example is valid").to_json();
    let error =
        Config::from_json(&json[..json.len() / 2]).expect_err("the configuration is invalid");
    assert!(error.is_config());
}

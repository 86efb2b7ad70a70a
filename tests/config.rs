//! Declared configuration: what is accepted, and how a fault is told.

use shalelane::Config;

const VALDIVIA: &str = include_str!("../examples/valdivia.toml");
const GRANITE_HEARTH: &str = include_str!("../examples/granite-hearth.toml");

fn refuse(text: &str) -> shalelane::Error {
    let error = Config::from_toml(text).expect_err("a refusal");
    assert!(error.is_config());
    error
}

#[test]
fn takes_both_examples_and_keeps_them_through_json() {
    for text in [VALDIVIA, GRANITE_HEARTH] {
        let config = Config::from_toml(text).expect("a good example");
        assert_eq!(config.client_accounts.len(), 10);
        assert_eq!(Config::from_json(&config.to_json()).expect("json"), config);
    }
}

#[test]
fn names_place_and_nearest_field_of_an_unknown_field() {
    let text = VALDIVIA.replace("urgency = \"batch\"", "urgancy = \"batch\"");
    let error = refuse(&text);
    let line = text.lines().position(|line| line.starts_with("urgancy")).expect("line") + 1;
    assert_eq!(error.line(), Some(line));
    assert!(error.to_string().contains("nearest is `urgency`"), "{error}");
}

#[test]
fn names_place_and_nearest_name_of_a_bad_reference() {
    let text = VALDIVIA.replacen("template = \"ordinance\"", "template = \"ordinence\"", 1);
    let error = refuse(&text);
    let line = text.lines().position(|line| line.contains("ordinence")).expect("line") + 1;
    assert_eq!(error.line(), Some(line));
    assert!(error.to_string().contains("nearest is `ordinance`"), "{error}");
}

#[test]
fn places_a_fault_inside_a_list() {
    let text = VALDIVIA.replacen("services = [\"booking-app\"]", "services = [\"boking-app\"]", 1);
    let error = refuse(&text);
    assert_eq!(error.column(), Some("services = [".len() + 1));
}

#[test]
fn refuses_values_out_of_range() {
    let cases = [
        ("weight = 3", "weight = 0", "weight"),
        ("requests_per_second = 200.0", "requests_per_second = 0.0", "requests_per_second"),
        ("max_prompt_tokens = 1_100_000", "max_prompt_tokens = 0", "max_prompt_tokens"),
        ("set = { concurrent = 600 }", "set = { urgency = \"batch\" }", "no parameter `urgency`"),
        ("name = \"pier-app\"", "name = \"quay-kiosks\"", "twice"),
        ("\"/confirm\"", "\"confirm\"", "starts with `/`"),
        ("seconds = 20 }", "seconds = 0 }", "above 0 seconds"),
    ];
    for (good, bad, expected) in cases {
        let text = VALDIVIA.replacen(good, bad, 1);
        assert_ne!(text, VALDIVIA, "{good} is not in the example");
        let error = refuse(&text);
        assert!(error.to_string().contains(expected), "{error} lacks {expected}");
        assert!(error.line().is_some(), "{error}");
    }
}

#[test]
fn refuses_a_half_written_document() {
    let json = Config::from_toml(VALDIVIA).expect("config").to_json();
    let error = Config::from_json(&json[..json.len() / 2]).expect_err("a refusal");
    assert!(error.is_config());
}

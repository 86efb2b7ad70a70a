//! An attempt's name contained a slash and was not valid as a segment of a URL path, so that a
//! run that paused between two pieces of its prompt never resumed.

use shalelane::{AttemptKey, RequestId};

use crate::agent_fixture::id_of;

#[test]
fn attempt_names_are_valid_path_segments() {
    let name = id_of(AttemptKey(12, 3)).to_string();
    assert!(
        name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b".-".contains(&byte)),
        "{name}"
    );
}

#[test]
fn a_request_id_round_trips() {
    let text = "entry-2.1f.17";
    let id: RequestId = text.parse().expect("an id");
    assert_eq!((&*id.owner.name, id.owner.incarnation.0, id.number), ("entry-2", 0x1f, 17));
    assert_eq!(id.to_string(), text);
    for bad in ["", "entry", "entry.1f", "entry.xyz.1", "entry.1f.x"] {
        assert!(bad.parse::<RequestId>().is_err(), "{bad}");
    }
}

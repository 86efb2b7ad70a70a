//! The main job keeps its promises.

use standins::demo::{DemoSpec, run};

#[test]
fn keeps_every_promise_under_a_mixed_load() {
    let spec = DemoSpec {
        seed: 7,
        requests: 60,
        time_scale: 8.0,
        engines: 5,
        quiet: true,
        ..DemoSpec::default()
    };
    println!("seed {}", spec.seed);
    let report = run(&spec);
    assert_eq!(report.requests, 60);
    assert_eq!(report.lost, 0);
    assert_eq!(report.doubled, 0);
    assert_eq!(report.mixed, 0);
    assert_eq!(report.leaked_tokens, 0);
    assert_eq!(report.finished + report.refused + report.failed, 60);
    assert!(report.finished >= 55, "{report:?}");
}

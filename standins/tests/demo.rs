//! The demo's fleet under load, over real sockets.

use standins::demo::{DemoSpec, run};

#[test]
fn mixed_load_breaks_no_guarantee() {
    let spec = DemoSpec {
        seed: 7,
        requests: 60,
        time_scale: 8.0,
        engines: 5,
        hides_progress: true,
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

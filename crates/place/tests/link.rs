//! A slow link under one caller's long prompts.

use place::Link;

/// Requests of `bytes` at a rate for some time; returns how many were refused, and the longest wait.
fn press(link: &mut Link, from: u64, per_s: u64, bytes: usize, ms: u64) -> (u64, f64) {
    let (mut refused, mut longest) = (0, 0.0_f64);
    for i in 0..per_s * ms / 1000 {
        let now = from + i * 1000 / per_s;
        link.record_request_received(now, bytes);
        if link.is_saturated_for(now, bytes) {
            refused += 1;
        } else {
            link.record_request_sent(now, bytes);
            link.record_response(now, 2_500);
        }
        longest = longest.max(link.outbound_delay_ms(now));
    }
    (refused, longest)
}

#[test]
fn a_fast_link_never_refuses() {
    let mut link = Link::new(Some(1_000.0));
    let (refused, longest) = press(&mut link, 0, 500, 17_000, 10_000);
    assert_eq!(refused, 0);
    assert!(longest < 5.0 && !link.is_congested(10_000), "{longest}");
}

#[test]
fn an_unknown_link_never_refuses() {
    let mut link = Link::new(None);
    assert_eq!(press(&mut link, 0, 500, 17_000, 10_000).0, 0);
    assert!(!link.is_congested(10_000));
}

#[test]
fn a_slow_link_bears_its_part() {
    let mut link = Link::new(Some(10.0));
    // 40 requests of 7.7 kB and answers of 2.5 kB a second: 0.42 of 1.25 MB/s.
    let (refused, _) = press(&mut link, 0, 40, 7_700, 20_000);
    assert_eq!(refused, 0);
    assert!(!link.is_congested(20_000));
}

/// Symptom: an instance takes more than three seconds to learn that an upstream leaves, while its callers
/// wait for seconds. Sequence: a caller sends 130 long prompts a second over a link that carries 90.
/// Cause: all of them were taken, and the store's news waited behind them.
#[test]
fn a_full_link_sends_callers_elsewhere_and_refuses_the_rest() {
    let mut link = Link::new(Some(10.0));
    assert_eq!(press(&mut link, 0, 130, 7_700, 500).0, 0);
    assert!(link.is_congested(500), "told before anything is refused");
    assert_eq!(
        (
            link.take_congestion_change(500),
            link.take_congestion_change(501)
        ),
        (Some(true), None)
    );
    let (refused, longest) = press(&mut link, 500, 130, 7_700, 5_000);
    assert!((150..250).contains(&refused), "{refused} of 650");
    assert!(longest < 270.0, "{longest}");
    assert!(!link.is_saturated_for(5_500, 600), "short ones pass");
    assert!(link.is_congested(9_000), "they would come back at once");
    assert!(!link.is_congested(12_000));
    assert_eq!(link.take_congestion_change(12_000), Some(false));
}

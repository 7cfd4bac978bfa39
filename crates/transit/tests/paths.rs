//! When the paths to the upstreams of a service count as lost, and when they work again.

use transit::{Mode, Paths, Probe, ProbeResult};

const SERVICE: &str = "desk";
/// Number of upstreams of the service.
const LISTED: usize = 3;
/// Interval at which the paths are checked, in milliseconds.
const TICK_MS: u64 = 100;

/// Returns the probes that become due within a span, checked at the usual interval.
fn probes(paths: &mut Paths, from: u64, until: u64) -> Vec<(u64, Probe)> {
    let mut probes = Vec::new();
    for now in (from..until).step_by(TICK_MS as usize) {
        let due = paths.tick(now, 0).probes;
        probes.extend(due.into_iter().map(|(_, probe)| (now, probe)));
    }
    probes
}

/// Returns paths on which connections to two upstreams have failed.
fn unconnected() -> Paths {
    let mut paths = Paths::default();
    paths.record_unconnected(1_000, SERVICE, 1, LISTED, true);
    paths.record_unconnected(1_250, SERVICE, 2, LISTED, true);
    paths
}

/// Guards against detours because of a single upstream that has crashed.
#[test]
fn one_failed_upstream_is_not_a_lost_path() {
    let mut paths = Paths::default();
    for now in [1_000, 1_250, 1_500] {
        assert!(!paths.record_unconnected(now, SERVICE, 1, LISTED, true));
    }
    paths.record_connected(SERVICE);
    assert!(!paths.record_unconnected(1_700, SERVICE, 2, LISTED, true));
    assert_eq!(paths.mode(SERVICE), Mode::Direct);
    assert!(probes(&mut paths, 1_700, 5_000).is_empty());
}

/// Guards against connections that are tried at each upstream in turn while none can be established.
#[test]
fn two_failed_connections_lose_the_path() {
    let paths = unconnected();
    assert_eq!(paths.mode(SERVICE), Mode::OpenConnections);
    assert_eq!(paths.mode("other"), Mode::Direct);
    assert_eq!(paths.failed_upstreams(SERVICE), [1, 2]);
    let mut only = Paths::default();
    assert!(only.record_unconnected(1_000, SERVICE, 1, 1, true));
}

/// Guards against requests on open connections that a cut has silenced.
#[test]
fn silent_connections_are_not_used_on_a_lost_path() {
    let mut paths = Paths::default();
    let received_at = paths.begin(1_000, SERVICE);
    paths.record_unconnected(1_100, SERVICE, 1, LISTED, true);
    paths.record_unconnected(1_200, SERVICE, 2, LISTED, true);
    assert_eq!(paths.mode(SERVICE), Mode::OpenConnections);
    received_at.store(1_150, std::sync::atomic::Ordering::Relaxed);
    assert!(paths.tick(1_500, 0).changed.is_empty());
    assert_eq!(paths.tick(1_600, 0).changed, [SERVICE]);
    assert_eq!(paths.mode(SERVICE), Mode::Transit);
}

/// Guards against open connections that are given up although they answer.
#[test]
fn open_connections_that_answer_are_used() {
    let mut paths = unconnected();
    for now in (1_300..5_000).step_by(200) {
        paths.begin(now, SERVICE);
        paths.record_response(now + 50, SERVICE);
        paths.end(SERVICE);
        paths.tick(now + 100, 0);
        assert_eq!(paths.mode(SERVICE), Mode::OpenConnections);
    }
}

/// Guards against a lost path that is noticed only when responses time out, because all requests use
/// connections that were open before.
#[test]
fn silence_of_all_upstreams_is_probed() {
    let mut paths = Paths::default();
    paths.begin(1_000, SERVICE);
    assert!(probes(&mut paths, 1_000, 1_400).is_empty());
    assert_eq!(probes(&mut paths, 1_400, 1_500), [(1_400, Probe::Connect)]);
    let failed = [(1, ProbeResult::Unconnected), (2, ProbeResult::Unconnected)];
    assert!(paths.record_probe(1_650, SERVICE, &failed, Probe::Connect));
    assert_eq!(paths.mode(SERVICE), Mode::Transit);
}

/// Guards against detours because of upstreams that are slow, or silent for a second.
#[test]
fn silent_upstreams_that_accept_connections_keep_their_path() {
    let mut paths = Paths::default();
    paths.begin(1_000, SERVICE);
    let results = [(1, ProbeResult::Success), (2, ProbeResult::Unconnected)];
    for (now, probe) in probes(&mut paths, 1_000, 6_000) {
        assert!(!paths.record_probe(now + 250, SERVICE, &results, probe));
    }
    assert_eq!(paths.mode(SERVICE), Mode::Direct);
}

/// Guards against detours because of upstreams that lose their responses, and against a path that
/// establishes connections and resets them.
#[test]
fn broken_connections_are_probed_with_a_request() {
    for (result, expected) in [
        (ProbeResult::Success, Mode::Direct),
        (ProbeResult::Broken, Mode::Transit),
    ] {
        let mut paths = Paths::default();
        paths.record_broken(SERVICE, 1, LISTED);
        assert!(probes(&mut paths, 1_000, 1_200).is_empty());
        paths.record_broken(SERVICE, 2, LISTED);
        assert_eq!(probes(&mut paths, 1_200, 1_300), [(1_200, Probe::Request)]);
        let results = [(1, result), (3, ProbeResult::Broken)];
        paths.record_probe(1_210, SERVICE, &results, Probe::Request);
        assert_eq!(paths.mode(SERVICE), expected);
    }
}

/// Guards against a path that counts as working again while a part of the upstreams can't be reached.
#[test]
fn all_probes_must_succeed_on_a_lost_path() {
    let mut paths = unconnected();
    let (success, failure) = (ProbeResult::Success, ProbeResult::Broken);
    let half = [(1, success), (2, failure)];
    assert!(!paths.record_probe(2_000, SERVICE, &half, Probe::Request));
    assert!(!paths.record_probe(2_000, SERVICE, &[], Probe::Request));
    let all = [(1, success), (2, success)];
    assert!(paths.record_probe(2_000, SERVICE, &all, Probe::Request));
    assert_eq!(paths.mode(SERVICE), Mode::Direct);
}

/// Guards against probes that come as often as at first for as long as a path is lost, and against
/// detours that begin and end many times on a path that comes and goes.
#[test]
fn probes_of_a_lost_path_become_rare() {
    let mut paths = unconnected();
    let failed = [(1, ProbeResult::Unconnected)];
    let mut due = Vec::new();
    for now in (1_250..20_000).step_by(TICK_MS as usize) {
        for (service, probe) in paths.tick(now, 0).probes {
            due.push(now);
            paths.record_probe(now, &service, &failed, probe);
        }
    }
    let intervals: Vec<u64> = due.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(due[0] <= 1_600, "first probe at {}", due[0]);
    assert!(intervals[0] <= 1_000 && intervals.last() >= Some(&2_000));
    let success = [(1, ProbeResult::Success)];
    assert!(paths.record_probe(20_000, SERVICE, &success, Probe::Request));
    paths.record_unconnected(21_000, SERVICE, 1, LISTED, true);
    paths.record_unconnected(21_000, SERVICE, 2, LISTED, true);
    let again = probes(&mut paths, 21_000, 23_100);
    assert_eq!(again.len(), 1, "{again:?}");
}

//! Tests of the reports on small logs.

use std::path::PathBuf;

use oriolehitch_cli::flags::Flags;
use oriolehitch_cli::Outcome;
use serde_json::Value;

fn line(second: u64, name: &str, event: u16, detail: &str) -> String {
    format!(
        "{second} {name} {{\"timestamp\":\"2026-01-01T00:00:{second:02}Z\",\"level\":\"INFO\",\
         \"message\":\"m\",\"event\":{event},\"at\":1,\"id\":\"\",\"detail\":\"{detail}\"}}\n"
    )
}

fn sample_log() -> String {
    let grant = "customer=c granted=900 returned=100 spent=500 rate=1 balance=300 charged=800 \
                 all_spent=500 prepaid=1000";
    // Logs of older builds have this text.
    let refusal = |tokens| {
        format!("code=budget_out_of_reach ran=No retry_ms=Some(4) why=no tokens in reach for {tokens} tokens of c, waited_ms=0")
    };
    [
        line(1, "a", 2001, "id=a.1"),
        line(1, "a", 2601, grant),
        line(
            2,
            "a",
            2501,
            "route=r customer=c upstream=e attempts=1 code=ok tokens=400",
        ),
        // The next incarnation starts; the tokens of the previous one are still charged.
        line(5, "a", 2001, "id=a.2"),
        line(6, "a", 2502, &refusal(300)),
        line(6, "a", 2502, &refusal(700)),
        "not a log line of an instance\n".to_string(),
    ]
    .concat()
}

fn run(args: &[&str]) -> Outcome {
    let args = args.iter().map(Into::into).collect();
    let flags = Flags::parse(args).expect("valid arguments");
    oriolehitch_cli::run(flags).expect("a report")
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(name);
    std::fs::write(&file, text).expect("the file is written");
    file
}

#[test]
fn tokens_of_ended_incarnations_and_refusals_are_shown_separately() {
    let file = write_file("fleet.log", &sample_log());
    let file = file.to_str().expect("a path in UTF-8");
    let Outcome::Success(text) = run(&["tokens", file, "--every", "4", "--json"]) else {
        panic!("the report failed");
    };
    let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
    let of = |row: &Value, field: &str| row[field].as_u64().expect("a number");
    let shown: Vec<[u64; 6]> = rows
        .iter()
        .map(|r| {
            [
                "second",
                "living",
                "dead",
                "answered",
                "covered",
                "uncovered",
            ]
            .map(|f| of(r, f))
        })
        .collect();
    assert_eq!(shown, [[0, 300, 0, 400, 0, 0], [4, 0, 300, 400, 1, 1]]);
}

fn grant(granted: u64, spent: u64, charged: u64, all_spent: u64) -> String {
    format!(
        "customer=c granted={granted} returned=0 spent={spent} rate=1 balance=0 charged={charged} \
         all_spent={all_spent} prepaid=1000"
    )
}

/// Guards against showing spent tokens as held by running instances. One instance takes 500 tokens and transfers 300 of
/// them to another one, which spends them and reports that in its own entry. Each instance was added up by itself, and
/// what it spent beyond its own tokens was ignored.
#[test]
fn tokens_that_moved_between_instances_count_once() {
    let log = [
        line(1, "a", 2001, "id=a.1"),
        line(1, "b", 2001, "id=b.1"),
        line(1, "a", 2601, &grant(500, 0, 500, 0)),
        line(2, "b", 2601, &grant(400, 600, 900, 600)),
        line(3, "a", 2601, &grant(500, 200, 900, 800)),
    ];
    assert_eq!(held_tokens("moved.log", &log.concat()), [[100, 0]]);
}

/// Guards against counting the tokens of a killed process as held by running instances. The log of its last seconds is
/// lost, and only that log showed these tokens. The next process logs the entry of its predecessor from the store.
#[test]
fn the_previous_incarnations_entry_counts_as_held_by_an_ended_incarnation() {
    let log = [
        line(1, "a", 2001, "id=a.2"),
        line(
            2,
            "a",
            2604,
            "customer=c granted=700 returned=100 spent=200",
        ),
        line(3, "a", 2601, &grant(100, 0, 700, 200)),
    ];
    assert_eq!(held_tokens("successor.log", &log.concat()), [[100, 400]]);
}

/// Returns the tokens held by running and by ended incarnations, in rows of eight seconds.
fn held_tokens(name: &str, text: &str) -> Vec<[u64; 2]> {
    let file = write_file(name, text);
    let file = file.to_str().expect("a path in UTF-8");
    let Outcome::Success(text) = run(&["tokens", file, "--every", "8", "--json"]) else {
        panic!("the report failed");
    };
    let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
    let of = |row: &Value, field: &str| row[field].as_u64().expect("a number");
    rows.iter()
        .map(|r| ["living", "dead"].map(|f| of(r, f)))
        .collect()
}

#[test]
fn a_file_without_a_log_is_refused() {
    let file = write_file("no.log", "nothing\n");
    let file = file.to_str().expect("a path in UTF-8");
    assert!(matches!(run(&["tokens", file]), Outcome::Failure(_)));
}

/// The totals of a process increase, and those of the next process with the same name start from zero.
#[test]
fn store_calls_are_added_up_over_instances_and_restarts() {
    let log = [
        line(1, "a", 2001, "id=a.1"),
        line(5, "a", 2204, "config.watch.nothing.in_reach=2"),
        line(
            10,
            "a",
            2204,
            "budgets.write.lost.in_reach=1 config.watch.nothing.in_reach=4",
        ),
        line(11, "a", 2001, "id=a.2"),
        line(16, "a", 2204, "config.watch.nothing.in_reach=3"),
        line(16, "b", 2204, "config.watch.nothing.out=7"),
    ];
    let file = write_file("calls.log", &log.concat());
    let file = file.to_str().expect("a path in UTF-8");
    let shown = |args: &[&str]| -> Vec<(u64, String, u64)> {
        let Outcome::Success(text) = run(args) else {
            panic!("the report failed");
        };
        let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
        let row = |r: &Value| {
            let kind = ["task", "call", "end", "store"].map(|f| r[f].as_str().expect("a string"));
            let number = |f: &str| r[f].as_u64().expect("a number");
            (number("second"), kind.join("."), number("calls"))
        };
        rows.iter().map(row).collect()
    };
    let row = |second, kind: &str, calls| (second, kind.to_string(), calls);
    let all = [
        row(0, "budgets.write.lost.in_reach", 1),
        row(0, "config.watch.nothing.in_reach", 7),
        row(0, "config.watch.nothing.out", 7),
    ];
    assert_eq!(shown(&["calls", file, "--json"]), all);
    let late = [
        row(10, "config.watch.nothing.in_reach", 3),
        row(10, "config.watch.nothing.out", 7),
    ];
    let by_time = shown(&["calls", file, "--every", "10", "--json"]);
    assert_eq!(by_time[by_time.len() - 2..], late);
}

#[test]
fn waits_at_instances_and_at_upstreams_are_shown_separately() {
    let answered = |instance: &str, sent: u32, first: u32, attempts: u32| {
        let detail = format!(
            "route=r customer=c upstream=e attempts={attempts} code=ok ms=900 sent_ms={sent} first_ms={first} expected_ms=60"
        );
        line(2, instance, 2501, &detail)
    };
    let text = [
        line(1, "a", 2001, "id=a.1"),
        answered("a", 10, 110, 1),
        answered("a", 30, 90, 2),
        answered("b", 200, 260, 1),
        line(3, "b", 2502, "code=overloaded ran=No"),
    ]
    .concat();
    let file = write_file("waits.log", &text);
    let file = file.to_str().expect("a path in UTF-8");
    let Outcome::Success(text) = run(&["waits", file, "--by", "instance", "--json"]) else {
        panic!("the report failed");
    };
    let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
    let of = |row: &Value, field: &str| row[field].as_u64().expect("a number");
    let fields = ["answered", "repeated", "refused", "here_95", "there_50"];
    let shown: Vec<[u64; 5]> = rows.iter().map(|r| fields.map(|f| of(r, f))).collect();
    assert_eq!(shown, [[2, 1, 0, 30, 60], [1, 0, 1, 200, 60]]);
    assert!(matches!(
        run(&["waits", file, "--by", "weather"]),
        Outcome::Failure(_)
    ));
}

#[test]
fn load_shows_the_median_and_the_instance_with_the_maximum() {
    let detail = |memory: u64, sent: u64| {
        format!(
            "memory_kb={memory} head.zone.messages={sent} head.zone.bytes={}",
            sent * 80
        )
    };
    let log = [
        line(1, "a", 2303, &detail(100, 5)),
        line(6, "a", 2303, &detail(120, 9)),
        line(7, "a", 2001, "id=a.2"),
        line(11, "a", 2303, &detail(80, 4)),
        line(11, "b", 2303, &detail(300, 2)),
        line(12, "c", 2303, &detail(90, 1)),
    ]
    .concat();
    let file = write_file("load.log", &log);
    let file = file.to_str().expect("a path in UTF-8");
    let Outcome::Success(text) = run(&["load", file, "--json"]) else {
        panic!("the report failed");
    };
    let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
    let row = |what: &str| {
        let row = rows.iter().find(|r| r["what"] == what);
        row.expect("a row").clone()
    };
    let sent = row("head.zone.messages");
    assert_eq!((&sent["sum"], &sent["middle"]), (&16.into(), &2.into()));
    assert_eq!((&sent["most"], &sent["at"]), (&13.into(), &"a".into()));
    let memory = row("memory_kb");
    assert_eq!((&memory["most"], &memory["at"]), (&300.into(), &"b".into()));
    assert_eq!(memory["middle"], 120);
}

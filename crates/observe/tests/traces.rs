//! Traces of one request across the logs of several hosts.

use goldcrest_observe::{LogFile, trace_request};
use goldcrest_types::Name;

const FIRST: &str = r#"{"level":"info","timestamp":1000,"payload":"leader known","kv":{"service":"svc","endpoint":"e-1","term":1}}
not a log line
{"level":"warn","timestamp":5200,"payload":"endpoint lost","kv":{"service":"svc","endpoint":"e-1","position":"1.7"}}
{"level":"warn","timestamp":5250,"payload":"endpoint lost","kv":{"service":"other","endpoint":"e-9","position":"1.2"}}
{"level":"info","timestamp":6010,"payload":"request refused: not run","kv":{"request":"q7","service":"svc","after_ms":790,"tries":"e-1 (leader) sent at 2 ms, connection lost at 300 ms"}}
{"level":"info","timestamp":6020,"payload":"request refused: not run","kv":{"request":"q8","service":"svc","after_ms":700}}
{"level":"info","timestamp":9000,"payload":"leader answers","kv":{"service":"svc","without_ms":3800}}"#;

const SECOND: &str = r#"  5.9 front-2 {"level":"info","timestamp":5900,"payload":"succession: Claim(Some(\"e-1\"))","kv":{"service":"svc"}}
  6.0 front-2 {"level":"warn","timestamp":6001,"payload":"the store is away, asked about op: no answer","kv":{}}"#;

fn logs() -> [LogFile; 2] {
    [("front-1", FIRST), ("collected.log", SECOND)].map(|(host, text)| LogFile {
        host: Name::from(host),
        text: text.to_owned(),
    })
}

#[test]
fn a_trace_includes_the_lines_around_the_request() {
    insta::assert_snapshot!(trace_request("q7", &logs()).unwrap_or_default());
}

#[test]
fn no_trace_without_a_line_that_names_the_request() {
    assert!(trace_request("q9", &logs()).is_none());
}

//! Parsing and writing of `traceparent` headers.

use paddlemount_protocol::trace::TraceContext;

const HEADER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn a_context_is_parsed_and_written_unchanged() {
    let context = TraceContext::parse(HEADER).unwrap();
    assert_eq!(context.to_string(), HEADER);
    assert_eq!(context.trace_id(), "0af7651916cd43dd8448eb211c80319c");
    let forwarded = context.with_span(7).to_string();
    assert_eq!(forwarded, "00-0af7651916cd43dd8448eb211c80319c-0000000000000007-01");
}

#[test]
fn invalid_headers_are_ignored() {
    let invalid = [
        "",
        "00",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
    ];
    for header in invalid {
        assert_eq!(TraceContext::parse(header), None, "{header}");
    }
    assert!(TraceContext::parse("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-more").is_some());
}

//! Log lines are bounded and hold nothing up.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex},
};

use paddlemount_forward::{
    clock,
    journal::{Event, Journal},
};

#[derive(Default)]
struct Output {
    open: bool,
    bytes: Vec<u8>,
}

/// An output that stops until it is let go.
#[derive(Clone, Default)]
struct Stopped {
    output: Arc<Mutex<Output>>,
    changed: Arc<Condvar>,
}

impl Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let output = self.output.lock().unwrap();
        let mut output = self.changed.wait_while(output, |output| !output.open).unwrap();
        output.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Stopped {
    fn let_go(&self) {
        self.output.lock().unwrap().open = true;
        self.changed.notify_all();
    }

    /// Lines that were written, and lines that were told to be lost.
    fn written_and_lost(&self) -> (u64, u64) {
        let text = String::from_utf8(self.output.lock().unwrap().bytes.clone()).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
        lines.fold((0, 0), |(written, lost), line| match line["event"].as_str() {
            Some("lines_dropped") => (written, lost + line["count"].as_u64().unwrap()),
            _ => (written + 1, lost),
        })
    }
}

#[test]
fn a_reader_that_stops_loses_lines_and_each_of_them_is_counted() {
    let output = Stopped::default();
    let journal = Journal::to("n", clock::start(), output.clone());
    let mut told = 0;
    while told < 20_000 || journal.dropped() == 0 {
        journal.log(&Event::Stopping { running: 0 });
        told += 1;
    }
    output.let_go();
    // Once there is room again, the next line is preceded by the count.
    while journal.dropped() > 0 {
        journal.log(&Event::Stopping { running: 0 });
        told += 1;
        std::thread::yield_now();
    }
    loop {
        let (written, lost) = output.written_and_lost();
        assert!(written + lost <= told);
        if written + lost == told {
            assert!(lost > 0);
            return;
        }
        std::thread::yield_now();
    }
}

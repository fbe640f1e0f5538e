//! The journal drops and counts lines instead of blocking when its output stalls.

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

/// An output that stalls until it is released.
#[derive(Clone, Default)]
struct StalledOutput {
    output: Arc<Mutex<Output>>,
    changed: Arc<Condvar>,
}

impl Write for StalledOutput {
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

impl StalledOutput {
    fn release(&self) {
        self.output.lock().unwrap().open = true;
        self.changed.notify_all();
    }

    /// The number of written lines, and the number reported as dropped.
    fn written_and_dropped(&self) -> (u64, u64) {
        let text = String::from_utf8(self.output.lock().unwrap().bytes.clone()).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
        lines.fold((0, 0), |(written, dropped_lines), line| match line["event"].as_str() {
            Some("lines_dropped") => (written, dropped_lines + line["count"].as_u64().unwrap()),
            _ => (written + 1, dropped_lines),
        })
    }
}

#[test]
fn a_stalled_reader_loses_lines_and_each_of_them_is_counted() {
    let output = StalledOutput::default();
    let journal = Journal::to("n", clock::start(), output.clone());
    let mut logged = 0;
    while logged < 20_000 || journal.dropped() == 0 {
        journal.log(&Event::Stopping { running: 0 });
        logged += 1;
    }
    output.release();
    // Once there is room again, the next line is preceded by the count.
    while journal.dropped() > 0 {
        journal.log(&Event::Stopping { running: 0 });
        logged += 1;
        std::thread::yield_now();
    }
    loop {
        let (written, dropped_lines) = output.written_and_dropped();
        assert!(written + dropped_lines <= logged);
        if written + dropped_lines == logged {
            assert!(dropped_lines > 0);
            return;
        }
        std::thread::yield_now();
    }
}

//! Log lines are bounded and hold nothing up.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex},
};

use paddlemount_forward::{
    clock::SteadyClock,
    journal::{Event, Journal},
};

/// An output that stops until it is let go.
#[derive(Clone, Default)]
struct Stopped(Arc<(Mutex<(bool, Vec<u8>)>, Condvar)>);

impl Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let (state, changed) = &*self.0;
        let mut state = changed.wait_while(state.lock().unwrap(), |state| !state.0).unwrap();
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_loses_lines_and_they_are_counted() {
    let output = Stopped::default();
    let journal = Journal::to("n", SteadyClock::start(), output.clone());
    for running in 0..20_000 {
        journal.tell(&Event::Stopping { running });
    }
    let dropped = journal.dropped();
    assert!(dropped > 10_000, "{dropped}");
    {
        let (state, changed) = &*output.0;
        state.lock().unwrap().0 = true;
        changed.notify_all();
    }
    // Once there is room again, the next line is preceded by the count.
    while journal.dropped() > 0 {
        journal.tell(&Event::Stopping { running: 0 });
        std::thread::yield_now();
    }
    loop {
        let text = String::from_utf8(output.0.0.lock().unwrap().1.clone()).unwrap();
        if text.contains("lines_dropped") {
            return;
        }
        std::thread::yield_now();
    }
}

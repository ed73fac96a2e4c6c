//! The queue of log lines: bounded, and never in the way.

use {
    pistachiolane::cli::LineQueue,
    std::{
        io,
        sync::{Arc, Condvar, Mutex},
    },
};

#[derive(Clone, Default)]
struct Output {
    open: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Output {
    fn open(&self) {
        *self.open.0.lock().unwrap() = true;
        self.open.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

impl io::Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let closed = self.open.0.lock().unwrap();
        let _opened = self.open.1.wait_while(closed, |open| !*open).unwrap();
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_in_order() {
    let output = Output::default();
    output.open();
    let queue = LineQueue::start(output.clone()).unwrap();
    for n in 0..100 {
        queue.push(format!("line {n}\n").into_bytes());
    }
    queue.flush();
    let expected: Vec<String> = (0..100).map(|n| format!("line {n}")).collect();
    assert_eq!(output.text().lines().collect::<Vec<_>>(), expected);
}

/// An output that nobody reads holds up nobody; what was dropped is counted in a line of its own.
#[test]
fn output_that_nobody_reads() {
    let output = Output::default();
    let queue = LineQueue::start(output.clone()).unwrap();
    // Ends at all only because a full queue drops.
    for n in 0..10_000 {
        queue.push(format!("line {n:<400}\n").into_bytes());
    }
    output.open();
    // Lines leave in their order: once a later one is out, so are all those kept before it.
    while !output.text().ends_with("end\n") || !output.text().contains("lines dropped") {
        queue.push(b"end\n".to_vec());
        queue.flush();
    }
    let text = output.text();
    let kept = text.lines().filter(|l| l.starts_with("line ")).count();
    // The queue of 1024 lines and one batch of 32 KiB, of lines of 406 bytes.
    assert!((1_024..=1_024 + 82).contains(&kept), "{kept} lines kept");
}

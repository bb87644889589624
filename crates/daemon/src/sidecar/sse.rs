//! Lines of an event stream.

/// Longest line kept, in bytes; a longer one is passed on but cut here.
const MAX_LINE: usize = 64 << 10;

/// Splits a stream into lines.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    partial: Vec<u8>,
}

impl Lines {
    /// Reads a part of the stream and calls `each` for each line that ends in it.
    pub(crate) fn read(&mut self, data: &[u8], mut each: impl FnMut(&[u8])) {
        let mut rest = data;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = &rest[..end];
            rest = &rest[end + 1..];
            if self.partial.is_empty() {
                each(line);
                continue;
            }
            self.keep(line);
            each(&self.partial);
            self.partial.clear();
        }
        self.keep(rest);
    }

    fn keep(&mut self, data: &[u8]) {
        let room = MAX_LINE.saturating_sub(self.partial.len());
        self.partial
            .extend_from_slice(&data[..data.len().min(room)]);
    }
}

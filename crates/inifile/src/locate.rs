//! Finds the lines of section headers and keys, in file order, and the comments between them.

/// Content of a line of INI text.
enum Line<'a> {
    Header(&'a str),
    Key(&'a str),
    Comment(&'a str),
}

/// Walks the lines of a text in step with the sections and keys that the parser returns.
pub(crate) struct LineCursor<'a> {
    lines: Box<dyn Iterator<Item = (usize, Line<'a>)> + 'a>,
    comments: Vec<String>,
}

impl<'a> LineCursor<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let lines = text
            .lines()
            .enumerate()
            .filter_map(|(index, raw)| Some((index + 1, classify(raw.trim())?)));
        Self {
            lines: Box::new(lines),
            comments: Vec::new(),
        }
    }

    /// Moves to the next header `name` and returns its line number; 0 if there is none.
    pub(crate) fn find_header(&mut self, name: &str) -> usize {
        self.find(|line| matches!(line, Line::Header(header) if *header == name))
    }

    /// Moves to the next key `key` and returns its line number; 0 if there is none.
    pub(crate) fn find_key(&mut self, key: &str) -> usize {
        self.find(|line| matches!(line, Line::Key(found) if *found == key))
    }

    /// Moves to the next header or key and returns its line number; 0 if there is none.
    pub(crate) fn find_entry(&mut self) -> usize {
        self.find(|line| !matches!(line, Line::Comment(_)))
    }

    /// Returns the comments passed since the last call.
    pub(crate) fn take_comments(&mut self) -> Vec<String> {
        std::mem::take(&mut self.comments)
    }

    /// Moves to the end of the text and returns the comments passed since the last call.
    pub(crate) fn remaining_comments(mut self) -> Vec<String> {
        self.find(|_| false);
        self.comments
    }

    fn find(&mut self, is_wanted: impl Fn(&Line<'_>) -> bool) -> usize {
        for (number, line) in self.lines.by_ref() {
            match line {
                Line::Comment(text) => self.comments.push(text.to_owned()),
                line if is_wanted(&line) => return number,
                _ => {}
            }
        }
        0
    }
}

fn classify(line: &str) -> Option<Line<'_>> {
    match line {
        "" => None,
        _ if line.starts_with(['#', ';']) => Some(Line::Comment(line[1..].trim())),
        _ if line.starts_with('[') => {
            let header = line.trim_start_matches('[').trim_end_matches(']');
            Some(Line::Header(header.trim()))
        }
        _ => {
            let (key, _) = line.split_once(['=', ':']).unwrap_or((line, ""));
            Some(Line::Key(key.trim()))
        }
    }
}

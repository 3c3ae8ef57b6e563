//! Finds the line of each section header and key, in file order, and the comments between them.

/// What a line of INI text holds.
enum Line<'a> {
    Header(&'a str),
    Key(&'a str),
    Comment(&'a str),
}

/// Walks the lines of a text beside the parser's result.
pub(crate) struct Cursor<'a> {
    lines: Box<dyn Iterator<Item = (usize, Line<'a>)> + 'a>,
    comments: Vec<String>,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let lines = text
            .lines()
            .enumerate()
            .filter_map(|(at, raw)| Some((at + 1, classify(raw.trim())?)));
        Self {
            lines: Box::new(lines),
            comments: Vec::new(),
        }
    }

    /// The line number of the next header `name`; 0 where there is none.
    pub(crate) fn header(&mut self, name: &str) -> usize {
        self.find(|line| matches!(line, Line::Header(header) if *header == name))
    }

    /// The line number of the next key `key`; 0 where there is none.
    pub(crate) fn key(&mut self, key: &str) -> usize {
        self.find(|line| matches!(line, Line::Key(found) if *found == key))
    }

    /// The line number of the first header or key.
    pub(crate) fn first(&mut self) -> usize {
        self.find(|line| !matches!(line, Line::Comment(_)))
    }

    /// Comments passed since the last call.
    pub(crate) fn take_comments(&mut self) -> Vec<String> {
        std::mem::take(&mut self.comments)
    }

    /// Comments up to the end of the text.
    pub(crate) fn rest(mut self) -> Vec<String> {
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

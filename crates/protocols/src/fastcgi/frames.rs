//! Records as such, whoever sends them: a head of eight bytes, a content, a padding that is passed over.

const HEAD: usize = 8;

/// What the stream has come to.
pub(super) enum Step<'a> {
    /// A head is whole: kind, id and length are known.
    Opened,
    /// A piece of the content.
    Content(&'a [u8]),
}

#[derive(Debug, Default)]
pub(super) struct Frames {
    head: [u8; HEAD],
    have: usize,
    left: usize,
    padding: usize,
}

impl Frames {
    /// Whether the last record was read to its end.
    pub(super) fn at_boundary(&self) -> bool {
        self.have == 0
    }

    pub(super) fn version(&self) -> u8 {
        self.head[0]
    }

    pub(super) fn kind(&self) -> u8 {
        self.head[1]
    }

    pub(super) fn id(&self) -> u16 {
        u16::from_be_bytes([self.head[2], self.head[3]])
    }

    /// Bytes of the content that have not come yet.
    pub(super) fn left(&self) -> usize {
        self.left
    }

    /// The next step of `input`, which is moved past it; none once the input is used up.
    pub(super) fn next<'a>(&mut self, input: &mut &'a [u8]) -> Option<Step<'a>> {
        loop {
            if self.have < HEAD {
                let part = cut(input, HEAD - self.have);
                self.head[self.have..self.have + part.len()].copy_from_slice(part);
                self.have += part.len();
                if self.have < HEAD {
                    return None;
                }
                self.left = u16::from_be_bytes([self.head[4], self.head[5]]).into();
                self.padding = self.head[6].into();
                return Some(Step::Opened);
            }
            if self.left > 0 {
                if input.is_empty() {
                    return None;
                }
                let bytes = cut(input, self.left);
                self.left -= bytes.len();
                return Some(Step::Content(bytes));
            }
            self.padding -= cut(input, self.padding).len();
            if self.padding > 0 {
                return None;
            }
            self.have = 0;
            if input.is_empty() {
                return None;
            }
        }
    }
}

/// Takes up to `n` bytes off the front.
pub(crate) fn cut<'a>(input: &mut &'a [u8], n: usize) -> &'a [u8] {
    let (part, rest) = input.split_at(n.min(input.len()));
    *input = rest;
    part
}

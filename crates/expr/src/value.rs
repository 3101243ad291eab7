//! Values while an expression is evaluated. They borrow from the request and the program; what has to be built
//! is written to a scratch buffer that is kept between evaluations.

use std::net::IpAddr;

/// Text or bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Text<'v> {
    /// Borrowed from the request or the program.
    Ref(&'v [u8]),
    /// Bytes of the scratch.
    Built {
        /// Index of the first byte.
        from: u32,
        /// Number of bytes.
        len: u32,
    },
}

/// A list, whose items are made as they are looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum List<'v> {
    /// Parts of the program, one for each item.
    Items(&'v [u32]),
    /// The parts of a text between separators.
    Split {
        /// What is split.
        text: Text<'v>,
        /// The separator; not empty.
        by: &'v [u8],
        /// Parts at the most; the last one has the rest.
        most: u32,
    },
    /// The segments of a path.
    Segments {
        /// The path, without its first slash.
        path: &'v [u8],
        /// Segments at the most; later ones are not seen.
        most: u32,
    },
}

/// A value. Its type is known from the check, so a wrong one can't come up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'v> {
    /// An optional value that is absent.
    Absent,
    /// A bool.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A finite number.
    Float(f64),
    /// In microseconds.
    Duration(i64),
    /// Text or bytes.
    Text(Text<'v>),
    /// An IP address.
    Addr(IpAddr),
    /// A list.
    List(List<'v>),
}

impl Value<'_> {
    /// Whether it is the truth; what is no bool is none.
    pub fn is_true(&self) -> bool {
        matches!(self, Value::Bool(true))
    }
}

/// Room for what evaluations build; kept between them, so that it is had once.
#[derive(Debug, Default)]
pub struct Scratch {
    pub(crate) built: Vec<u8>,
    /// Steps that the last evaluation took.
    pub steps: u64,
}

impl Scratch {
    /// The bytes of a text of the last evaluation.
    pub fn text<'s, 'v: 's>(&'s self, text: Text<'v>) -> &'s [u8] {
        match text {
            Text::Ref(bytes) => bytes,
            Text::Built { from, len } => &self.built[from as usize..(from + len) as usize],
        }
    }

    /// Bytes that the last evaluation built.
    pub fn bytes(&self) -> u64 {
        self.built.len() as u64
    }

    pub(crate) fn build(&mut self, write: impl FnOnce(&mut Vec<u8>)) -> Text<'static> {
        let from = self.built.len();
        write(&mut self.built);
        Text::Built {
            from: from as u32,
            len: (self.built.len() - from) as u32,
        }
    }
}

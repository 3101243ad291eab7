//! Values during evaluation. They borrow from the request and the program; strings that have to be built are
//! written to a scratch buffer that is reused between evaluations.

use std::net::IpAddr;

/// Text or bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Text<'v> {
    /// Borrowed from the request or the program.
    Ref(&'v [u8]),
    /// A range of the scratch buffer.
    Built {
        /// Index of the first byte.
        from: u32,
        /// Number of bytes.
        len: u32,
    },
}

/// A list whose items are produced lazily.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum List<'v> {
    /// Indexes of the program nodes that produce the items.
    Items(&'v [u32]),
    /// The parts of a text between separators.
    Split {
        /// The string that is split.
        text: Text<'v>,
        /// The separator; not empty.
        by: &'v [u8],
        /// Maximum number of parts; the last one holds the rest.
        most: u32,
    },
    /// The segments of a path.
    Segments {
        /// The path without its leading slash.
        path: &'v [u8],
        /// Maximum number of segments; later ones are ignored.
        most: u32,
    },
}

/// A value. The checker guarantees that it has the expected type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'v> {
    /// An optional value that is absent.
    Absent,
    /// A bool.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A finite floating-point number.
    Float(f64),
    /// A duration in microseconds.
    Duration(i64),
    /// Text or bytes.
    Text(Text<'v>),
    /// An IP address.
    Addr(IpAddr),
    /// A list.
    List(List<'v>),
}

impl Value<'_> {
    /// Returns true if the value is the bool `true`, and false for all other values.
    pub fn is_true(&self) -> bool {
        matches!(self, Value::Bool(true))
    }
}

/// A buffer for strings built during evaluation; reused between evaluations to avoid repeated allocation.
#[derive(Debug, Default)]
pub struct Scratch {
    pub(crate) built: Vec<u8>,
    /// Number of steps that the last evaluation took.
    pub steps: u64,
}

impl Scratch {
    /// Returns the bytes of a text from the last evaluation.
    pub fn text<'s, 'v: 's>(&'s self, text: Text<'v>) -> &'s [u8] {
        match text {
            Text::Ref(bytes) => bytes,
            Text::Built { from, len } => &self.built[from as usize..(from + len) as usize],
        }
    }

    /// Number of bytes that the last evaluation built.
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

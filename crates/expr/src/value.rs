//! Values while an expression is evaluated. They borrow from the request and the program; what has to be
//! built stands in a scratch that is kept.

use std::net::IpAddr;

/// Text or bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Text<'v> {
    Ref(&'v [u8]),
    /// Bytes of the scratch.
    Built {
        from: u32,
        len: u32,
    },
}

/// A list, whose items are made as they are looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum List<'v> {
    /// Parts of the program, one for each item.
    Items(&'v [u32]),
    Split {
        text: Text<'v>,
        by: &'v [u8],
        most: u32,
    },
    Segments {
        path: &'v [u8],
        most: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'v> {
    /// An optional value that is absent.
    Absent,
    Bool(bool),
    Int(i64),
    Float(f64),
    /// In microseconds.
    Duration(i64),
    Text(Text<'v>),
    Addr(IpAddr),
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

//! The compiled form: a row of nodes that name each other by place, with all that can be known beforehand
//! in them.

use std::fmt::Write;
use std::net::IpAddr;

use regex::bytes::Regex;
use rustc_hash::FxHashSet;

use crate::ast::Op;
use crate::{Request, Scratch, Type, Value};

/// What one evaluation costs at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    pub steps: u64,
    /// Bytes of strings that have to be built.
    pub bytes: u64,
}

pub(crate) type Place = u32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Field {
    Method,
    Path,
    Query,
    Segments,
    Body,
    BodyLength,
    Front,
    Peer,
    TimeOfDay,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Loop {
    Any,
    All,
    First,
}

/// Functions of one or two values that need nothing else.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fun {
    Lower,
    Upper,
    Trim,
    Length,
    Count,
    Hash,
    Hex,
    ParseInt,
    ParseFloat,
    FloatToInt,
    IntToFloat,
    BytesToText,
    Present,
    Segment,
    StartsWith,
    EndsWith,
    Contains,
    Get,
    Min,
    Max,
}

#[derive(Clone, Debug)]
pub(crate) enum Node {
    Bool(bool),
    Int(i64),
    Float(f64),
    Duration(i64),
    Text(Box<[u8]>),
    Field(Field),
    /// A variable as text; as bytes if it is raw.
    Variable {
        name: Box<str>,
        raw: bool,
    },
    Parameter(Box<str>),
    Slot(u8),
    Let {
        slot: u8,
        value: Place,
        body: Place,
    },
    If {
        when: Place,
        then: Place,
        other: Place,
    },
    All(Box<[Place]>),
    Any(Box<[Place]>),
    Not(Place),
    Neg(Place),
    Arith {
        op: Op,
        left: Place,
        right: Place,
    },
    /// Division whose divisor may be nothing: absent then.
    Divide {
        op: Op,
        left: Place,
        right: Place,
    },
    Join {
        left: Place,
        right: Place,
    },
    Compare {
        op: Op,
        left: Place,
        right: Place,
    },
    Else {
        left: Place,
        right: Place,
    },
    InTexts {
        of: Place,
        set: FxHashSet<Box<[u8]>>,
    },
    InInts {
        of: Place,
        set: FxHashSet<i64>,
    },
    InList {
        of: Place,
        list: Place,
    },
    List(Box<[Place]>),
    Split {
        of: Place,
        by: Box<[u8]>,
        most: u32,
    },
    Substring {
        of: Place,
        from: Place,
        count: Place,
    },
    Call {
        fun: Fun,
        of: Place,
        with: Option<Place>,
    },
    Each {
        kind: Loop,
        list: Place,
        slot: u8,
        body: Place,
    },
    Matches {
        of: Place,
        regex: Box<Regex>,
    },
    Networks {
        of: Place,
        nets: Box<[(IpAddr, u8)]>,
    },
}

/// A checked and compiled expression.
#[derive(Clone, Debug)]
pub struct Program {
    pub(crate) nodes: Vec<Node>,
    pub(crate) root: Place,
    pub(crate) ty: Type,
    pub(crate) cost: Cost,
    pub(crate) limits: crate::Limits,
}

impl Program {
    pub fn ty(&self) -> &Type {
        &self.ty
    }

    /// The bound on what an evaluation costs.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// The value for one request. Texts that had to be built stand in `scratch` until the next evaluation
    /// with it.
    pub fn eval<'v, R: Request>(&'v self, request: &'v R, scratch: &mut Scratch) -> Value<'v> {
        crate::eval::run(self, request, scratch)
    }

    /// The value where it is the truth or not.
    pub fn is_true<R: Request>(&self, request: &R, scratch: &mut Scratch) -> bool {
        self.eval(request, scratch).is_true()
    }

    /// Type, bounds and compiled form, for people.
    pub fn explain(&self) -> String {
        let mut out = format!(
            "type   {}\ncost   at most {} steps, {} bytes built\n",
            self.ty, self.cost.steps, self.cost.bytes
        );
        for (place, node) in self.nodes.iter().enumerate() {
            let mark = if place as Place == self.root {
                "=>"
            } else {
                "  "
            };
            // Writing to memory can't fail.
            _ = match node {
                Node::Text(bytes) => {
                    writeln!(
                        out,
                        "{mark} {place:>3} text {:?}",
                        String::from_utf8_lossy(bytes)
                    )
                }
                Node::InTexts { of, set } => {
                    writeln!(out, "{mark} {place:>3} {of} in a set of {}", set.len())
                }
                Node::InInts { of, set } => {
                    writeln!(out, "{mark} {place:>3} {of} in a set of {}", set.len())
                }
                Node::Matches { of, regex } => {
                    writeln!(out, "{mark} {place:>3} {of} matches {regex}")
                }
                node => writeln!(out, "{mark} {place:>3} {node:?}"),
            };
        }
        out
    }
}

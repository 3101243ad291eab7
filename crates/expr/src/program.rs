//! The compiled form: an array of nodes that refer to each other by index. Regular expressions, networks and
//! constant sets are built at compile time.

use std::fmt::Write;
use std::net::IpAddr;

use regex::bytes::Regex;
use rustc_hash::FxHashSet;

use crate::ast::Op;
use crate::cost::Cost;
use crate::limits::Limits;
use crate::types::Type;

pub(crate) type NodeIndex = u32;

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

/// Functions that depend only on one or two argument values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Function {
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
    /// A variable as a string, or as bytes if `raw` is set.
    Variable {
        name: Box<str>,
        raw: bool,
    },
    Parameter(Box<str>),
    Slot(u8),
    Let {
        slot: u8,
        value: NodeIndex,
        body: NodeIndex,
    },
    If {
        when: NodeIndex,
        then: NodeIndex,
        other: NodeIndex,
    },
    All(Box<[NodeIndex]>),
    Any(Box<[NodeIndex]>),
    Not(NodeIndex),
    Neg(NodeIndex),
    Arith {
        op: Op,
        left: NodeIndex,
        right: NodeIndex,
    },
    /// Division or remainder; absent if the divisor is zero.
    Divide {
        op: Op,
        left: NodeIndex,
        right: NodeIndex,
    },
    Join {
        left: NodeIndex,
        right: NodeIndex,
    },
    Compare {
        op: Op,
        left: NodeIndex,
        right: NodeIndex,
    },
    Else {
        left: NodeIndex,
        right: NodeIndex,
    },
    InTexts {
        of: NodeIndex,
        set: FxHashSet<Box<[u8]>>,
    },
    InInts {
        of: NodeIndex,
        set: FxHashSet<i64>,
    },
    InList {
        of: NodeIndex,
        list: NodeIndex,
    },
    List(Box<[NodeIndex]>),
    Split {
        of: NodeIndex,
        by: Box<[u8]>,
        most: u32,
    },
    Substring {
        of: NodeIndex,
        from: NodeIndex,
        count: NodeIndex,
    },
    Call {
        fun: Function,
        of: NodeIndex,
        with: Option<NodeIndex>,
    },
    Each {
        kind: Loop,
        list: NodeIndex,
        slot: u8,
        body: NodeIndex,
    },
    Matches {
        of: NodeIndex,
        regex: Box<Regex>,
    },
    Networks {
        of: NodeIndex,
        nets: Box<[(IpAddr, u8)]>,
    },
}

/// A checked and compiled expression.
#[derive(Clone, Debug)]
pub struct Program {
    pub(crate) nodes: Vec<Node>,
    pub(crate) root: NodeIndex,
    pub(crate) ty: Type,
    pub(crate) cost: Cost,
    pub(crate) limits: Limits,
}

impl Program {
    /// The type of the program's value.
    pub fn ty(&self) -> &Type {
        &self.ty
    }

    /// Upper bound on the cost of one evaluation.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// Formats the type, cost bounds and compiled form for human readers.
    pub fn explain(&self) -> String {
        let mut out = format!(
            "type   {}\ncost   at most {} steps, {} bytes built\n",
            self.ty, self.cost.steps, self.cost.bytes
        );
        for (index, node) in self.nodes.iter().enumerate() {
            let marker = if index as NodeIndex == self.root {
                "=>"
            } else {
                "  "
            };
            // Writing to memory can't fail.
            _ = match node {
                Node::Text(bytes) => {
                    writeln!(
                        out,
                        "{marker} {index:>3} text {:?}",
                        String::from_utf8_lossy(bytes)
                    )
                }
                Node::InTexts { of, set } => {
                    writeln!(out, "{marker} {index:>3} {of} in a set of {}", set.len())
                }
                Node::InInts { of, set } => {
                    writeln!(out, "{marker} {index:>3} {of} in a set of {}", set.len())
                }
                Node::Matches { of, regex } => {
                    writeln!(out, "{marker} {index:>3} {of} matches {regex}")
                }
                node => writeln!(out, "{marker} {index:>3} {node:?}"),
            };
        }
        out
    }
}

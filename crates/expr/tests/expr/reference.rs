//! A reference interpreter over the syntax tree, with owned values and no cost accounting. The compiled form
//! must agree with it.

use std::net::IpAddr;

use doortrack_expr::{
    Expr, Kind, List, LiteralRequest, Op, Request, Scratch, Text, Value, cgi_name,
};

#[derive(Clone, Debug, PartialEq)]
pub enum OwnedValue {
    Absent,
    Bool(bool),
    Int(i64),
    Float(f64),
    Duration(i64),
    Text(Vec<u8>),
    Addr(IpAddr),
    List(Vec<OwnedValue>),
}

/// Converts a value of the compiled form for comparison. Returns `None` for lists, whose items can't be read
/// outside the evaluator.
pub fn to_owned_value(value: Value, scratch: &Scratch) -> Option<OwnedValue> {
    Some(match value {
        Value::Absent => OwnedValue::Absent,
        Value::Bool(truth) => OwnedValue::Bool(truth),
        Value::Int(n) => OwnedValue::Int(n),
        Value::Float(n) => OwnedValue::Float(n),
        Value::Duration(n) => OwnedValue::Duration(n),
        Value::Text(text) => OwnedValue::Text(scratch.text(text).to_vec()),
        Value::Addr(addr) => OwnedValue::Addr(addr),
        Value::List(
            List::Split {
                text: Text::Ref(_) | Text::Built { .. },
                ..
            }
            | List::Segments { .. },
        ) => {
            return None;
        }
        Value::List(List::Items(_)) => return None,
    })
}

pub struct Reference<'r> {
    pub request: &'r LiteralRequest,
    pub names: Vec<(String, OwnedValue)>,
}

fn text(value: &OwnedValue) -> &[u8] {
    if let OwnedValue::Text(bytes) = value {
        bytes
    } else {
        panic!("{value:?} is not a text")
    }
}

fn int(value: &OwnedValue) -> i64 {
    if let OwnedValue::Int(n) = value {
        *n
    } else {
        panic!("{value:?} is not an int")
    }
}

fn truth(value: &OwnedValue) -> bool {
    *value == OwnedValue::Bool(true)
}

impl Reference<'_> {
    pub fn eval(&mut self, expr: &Expr) -> OwnedValue {
        match &expr.kind {
            Kind::Bool(truth) => OwnedValue::Bool(*truth),
            Kind::Int(n) => OwnedValue::Int(*n),
            Kind::Float(n) => OwnedValue::Float(*n),
            Kind::Duration(n) => OwnedValue::Duration(*n),
            Kind::Str(text) => OwnedValue::Text(text.as_bytes().to_vec()),
            Kind::Bytes(bytes) => OwnedValue::Text(bytes.clone()),
            Kind::Name(name) => self.name(name),
            Kind::List(items) => {
                OwnedValue::List(items.iter().map(|item| self.eval(item)).collect())
            }
            Kind::Not(of) => OwnedValue::Bool(!truth(&self.eval(of))),
            Kind::Neg(of) => match self.eval(of) {
                OwnedValue::Int(n) => OwnedValue::Int(n.checked_neg().unwrap_or(i64::MAX)),
                OwnedValue::Duration(n) => {
                    OwnedValue::Duration(n.checked_neg().unwrap_or(i64::MAX))
                }
                OwnedValue::Float(n) => OwnedValue::Float(-n),
                other => panic!("{other:?}"),
            },
            Kind::All(parts) => OwnedValue::Bool(parts.iter().all(|part| truth(&self.eval(part)))),
            Kind::Any(parts) => OwnedValue::Bool(parts.iter().any(|part| truth(&self.eval(part)))),
            Kind::If(when, then, other) => {
                let way = if truth(&self.eval(when)) { then } else { other };
                self.eval(way)
            }
            Kind::Let {
                name, value, body, ..
            } => {
                let value = self.eval(value);
                self.names.push((name.clone(), value));
                let found = self.eval(body);
                self.names.pop();
                found
            }
            Kind::Binary(op, left, right) => self.binary(*op, left, right),
            Kind::Call { name, args, .. } => self.call(name, args),
            Kind::Each { .. } | Kind::Wrong => panic!("no value"),
        }
    }

    fn name(&self, name: &str) -> OwnedValue {
        if let Some((_, value)) = self.names.iter().rfind(|(other, _)| other == name) {
            return value.clone();
        }
        let request = self.request;
        let owned = |text: &str| OwnedValue::Text(text.as_bytes().to_vec());
        match name {
            "method" => owned(request.method()),
            "path" => owned(request.path()),
            "query" => owned(request.query()),
            "segments" => {
                OwnedValue::List(self.segments().into_iter().map(OwnedValue::Text).collect())
            }
            "body" => OwnedValue::Text(request.body[..request.body.len().min(256)].to_vec()),
            "body_length" => OwnedValue::Int(request.body.len() as i64),
            "front" => owned("uwsgi"),
            "peer" => OwnedValue::Addr(request.peer),
            "time_of_day" => OwnedValue::Duration(request.time_of_day),
            _ => panic!("{name}"),
        }
    }

    fn segments(&self) -> Vec<Vec<u8>> {
        let path = self
            .request
            .path
            .strip_prefix('/')
            .unwrap_or(&self.request.path);
        let parts = path.split('/').filter(|_| !path.is_empty()).take(32);
        parts.map(|part| part.as_bytes().to_vec()).collect()
    }

    fn binary(&mut self, op: Op, left: &Expr, right: &Expr) -> OwnedValue {
        let one = self.eval(left);
        if op == Op::Else {
            return if one == OwnedValue::Absent {
                self.eval(right)
            } else {
                one
            };
        }
        let two = self.eval(right);
        if let OwnedValue::List(items) = &two {
            return OwnedValue::Bool(items.contains(&one));
        }
        match op {
            Op::Eq => return OwnedValue::Bool(one == two),
            Op::Ne => return OwnedValue::Bool(one != two),
            Op::Lt | Op::Le | Op::Gt | Op::Ge => {
                let order = match (&one, &two) {
                    (OwnedValue::Int(a), OwnedValue::Int(b))
                    | (OwnedValue::Duration(a), OwnedValue::Duration(b)) => a.cmp(b),
                    (OwnedValue::Float(a), OwnedValue::Float(b)) => a.partial_cmp(b).unwrap(),
                    (OwnedValue::Text(a), OwnedValue::Text(b)) => a.cmp(b),
                    other => panic!("{other:?}"),
                };
                return OwnedValue::Bool(match op {
                    Op::Lt => order.is_lt(),
                    Op::Le => order.is_le(),
                    Op::Gt => order.is_gt(),
                    _ => order.is_ge(),
                });
            }
            _ => {}
        }
        let whole = |a: i64, b: i64| {
            let wide = match op {
                Op::Add => i128::from(a) + i128::from(b),
                Op::Sub => i128::from(a) - i128::from(b),
                Op::Mul => i128::from(a) * i128::from(b),
                _ if b == 0 => return None,
                Op::Div => i128::from(a) / i128::from(b),
                _ => i128::from(a) % i128::from(b),
            };
            Some(wide.clamp(i64::MIN.into(), i64::MAX.into()) as i64)
        };
        match (one, two) {
            (OwnedValue::Text(a), OwnedValue::Text(b)) => OwnedValue::Text([a, b].concat()),
            (OwnedValue::Int(a), OwnedValue::Int(b)) => {
                whole(a, b).map_or(OwnedValue::Absent, OwnedValue::Int)
            }
            (OwnedValue::Duration(a), OwnedValue::Duration(b) | OwnedValue::Int(b)) => {
                whole(a, b).map_or(OwnedValue::Absent, OwnedValue::Duration)
            }
            (OwnedValue::Float(a), OwnedValue::Float(b)) => {
                let found = match op {
                    Op::Add => a + b,
                    Op::Sub => a - b,
                    Op::Mul => a * b,
                    _ if b == 0.0 => return OwnedValue::Absent,
                    _ => a / b,
                };
                OwnedValue::Float(found.clamp(f64::MIN, f64::MAX))
            }
            other => panic!("{other:?}"),
        }
    }

    fn call(&mut self, name: &str, args: &[Expr]) -> OwnedValue {
        let literal = |nth: usize| match &args[nth].kind {
            Kind::Str(text) => text.clone(),
            _ => panic!("not a literal"),
        };
        if let "any" | "all" | "first" = name {
            let OwnedValue::List(items) = self.eval(&args[0]) else {
                panic!("not a list")
            };
            let Kind::Each {
                name: bound, body, ..
            } = &args[1].kind
            else {
                panic!("no ->")
            };
            let mut ask = |item: &OwnedValue| {
                self.names.push((bound.clone(), item.clone()));
                let found = truth(&self.eval(body));
                self.names.pop();
                found
            };
            return match name {
                "any" => OwnedValue::Bool(items.iter().any(&mut ask)),
                "all" => OwnedValue::Bool(items.iter().all(&mut ask)),
                _ => items
                    .iter()
                    .find(|item| ask(item))
                    .cloned()
                    .unwrap_or(OwnedValue::Absent),
            };
        }
        let as_text = |found: Option<&[u8]>| match found.map(|bytes| std::str::from_utf8(bytes)) {
            Some(Ok(text)) => OwnedValue::Text(text.as_bytes().to_vec()),
            _ => OwnedValue::Absent,
        };
        match name {
            "header" => return as_text(self.request.variable(&cgi_name(&literal(0)))),
            "variable" => return as_text(self.request.variable(&literal(0))),
            "raw_header" => {
                let found = self.request.variable(&cgi_name(&literal(0)));
                return found.map_or(OwnedValue::Absent, |bytes| OwnedValue::Text(bytes.to_vec()));
            }
            "parameter" => {
                let pairs = self
                    .request
                    .query
                    .split('&')
                    .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
                let values: Vec<&str> = pairs
                    .filter(|(key, _)| *key == literal(0))
                    .map(|(_, value)| value)
                    .collect();
                return if let [one] = values[..] {
                    OwnedValue::Text(one.as_bytes().to_vec())
                } else {
                    OwnedValue::Absent
                };
            }
            _ => {}
        }
        let of = self.eval(&args[0]);
        let string = |value: &OwnedValue| String::from_utf8(text(value).to_vec()).unwrap();
        match name {
            "lower" => OwnedValue::Text(text(&of).to_ascii_lowercase()),
            "upper" => OwnedValue::Text(text(&of).to_ascii_uppercase()),
            "trim" => OwnedValue::Text(string(&of).trim().as_bytes().to_vec()),
            "len" => match &of {
                OwnedValue::List(items) => OwnedValue::Int(items.len() as i64),
                other => OwnedValue::Int(text(other).len() as i64),
            },
            "hash" => {
                let mut hash = 0xcbf2_9ce4_8422_2325_u64;
                for byte in text(&of) {
                    hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
                }
                OwnedValue::Int((hash >> 1) as i64)
            }
            "hex" => OwnedValue::Text(format!("{:016x}", int(&of)).into_bytes()),
            "int" => match &of {
                OwnedValue::Float(n) => OwnedValue::Int(*n as i64),
                other => string(other)
                    .parse()
                    .map_or(OwnedValue::Absent, OwnedValue::Int),
            },
            "float" => match &of {
                OwnedValue::Int(n) => OwnedValue::Float(*n as f64),
                other => match string(other).parse::<f64>() {
                    Ok(n) if n.is_finite() => OwnedValue::Float(n),
                    _ => OwnedValue::Absent,
                },
            },
            "text" => {
                if std::str::from_utf8(text(&of)).is_ok() {
                    of
                } else {
                    OwnedValue::Absent
                }
            }
            "bytes" => of,
            "present" => OwnedValue::Bool(of != OwnedValue::Absent),
            "segment" => {
                let place = usize::try_from(int(&of)).ok();
                place
                    .and_then(|place| self.segments().get(place).cloned())
                    .map_or(OwnedValue::Absent, OwnedValue::Text)
            }
            "split" => {
                let (whole, by) = (string(&of), literal(1));
                let Kind::Int(most) = args[2].kind else {
                    panic!("no bound")
                };
                let parts = whole
                    .splitn(most as usize, by.as_str())
                    .map(|part| OwnedValue::Text(part.as_bytes().to_vec()));
                OwnedValue::List(parts.collect())
            }
            "substring" => {
                let (from, count) = (
                    int(&self.eval(&args[1])).max(0),
                    int(&self.eval(&args[2])).max(0),
                );
                let part: String = string(&of)
                    .chars()
                    .skip(from as usize)
                    .take(count as usize)
                    .collect();
                OwnedValue::Text(part.into_bytes())
            }
            "matches" => OwnedValue::Bool(
                regex::Regex::new(&literal(1))
                    .unwrap()
                    .is_match(&string(&of)),
            ),
            "cidr" => {
                let nets = (1..args.len()).map(literal);
                let OwnedValue::Addr(IpAddr::V4(addr)) = of else {
                    panic!("{of:?}")
                };
                let inside = |net: String| {
                    let (net, bits) = net.split_once('/').unwrap();
                    let (net, bits): (std::net::Ipv4Addr, u32) =
                        (net.parse().unwrap(), bits.parse().unwrap());
                    let kept = |addr: std::net::Ipv4Addr| u64::from(u32::from(addr)) >> (32 - bits);
                    kept(addr) == kept(net)
                };
                OwnedValue::Bool(nets.into_iter().any(inside))
            }
            _ => {
                let with = self.eval(&args[1]);
                match name {
                    "starts_with" => OwnedValue::Bool(text(&of).starts_with(text(&with))),
                    "ends_with" => OwnedValue::Bool(text(&of).ends_with(text(&with))),
                    "contains" => OwnedValue::Bool(string(&of).contains(&string(&with))),
                    "get" => {
                        let OwnedValue::List(items) = of else {
                            panic!("not a list")
                        };
                        let place = usize::try_from(int(&with)).ok();
                        place
                            .and_then(|place| items.get(place).cloned())
                            .unwrap_or(OwnedValue::Absent)
                    }
                    "min" | "max" => {
                        let less = match (&of, &with) {
                            (OwnedValue::Int(a), OwnedValue::Int(b))
                            | (OwnedValue::Duration(a), OwnedValue::Duration(b)) => b < a,
                            (OwnedValue::Float(a), OwnedValue::Float(b)) => b < a,
                            other => panic!("{other:?}"),
                        };
                        let equal = of == with;
                        if equal || less == (name == "max") {
                            of
                        } else {
                            with
                        }
                    }
                    _ => panic!("{name}"),
                }
            }
        }
    }
}

//! A plain reading of what was parsed, with owned values and no care for cost: what the compiled form must
//! agree with.

use std::net::IpAddr;

use doortrack_expr::{
    Expr, Kind, List, LiteralRequest, Op, Request, Scratch, Text, Value, cgi_name,
};

#[derive(Clone, Debug, PartialEq)]
pub enum Plain {
    Absent,
    Bool(bool),
    Int(i64),
    Float(f64),
    Duration(i64),
    Text(Vec<u8>),
    Addr(IpAddr),
    List(Vec<Plain>),
}

/// A value of the compiled form, to compare; lists of the program itself can't be told apart and are left
/// out.
pub fn plain(value: Value, scratch: &Scratch) -> Option<Plain> {
    Some(match value {
        Value::Absent => Plain::Absent,
        Value::Bool(truth) => Plain::Bool(truth),
        Value::Int(n) => Plain::Int(n),
        Value::Float(n) => Plain::Float(n),
        Value::Duration(n) => Plain::Duration(n),
        Value::Text(text) => Plain::Text(scratch.text(text).to_vec()),
        Value::Addr(addr) => Plain::Addr(addr),
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
    pub names: Vec<(String, Plain)>,
}

fn text(plain: &Plain) -> &[u8] {
    if let Plain::Text(bytes) = plain {
        bytes
    } else {
        panic!("{plain:?} is no text")
    }
}

fn int(plain: &Plain) -> i64 {
    if let Plain::Int(n) = plain {
        *n
    } else {
        panic!("{plain:?} is no int")
    }
}

fn truth(plain: &Plain) -> bool {
    *plain == Plain::Bool(true)
}

impl Reference<'_> {
    pub fn eval(&mut self, expr: &Expr) -> Plain {
        match &expr.kind {
            Kind::Bool(truth) => Plain::Bool(*truth),
            Kind::Int(n) => Plain::Int(*n),
            Kind::Float(n) => Plain::Float(*n),
            Kind::Duration(n) => Plain::Duration(*n),
            Kind::Str(text) => Plain::Text(text.as_bytes().to_vec()),
            Kind::Bytes(bytes) => Plain::Text(bytes.clone()),
            Kind::Name(name) => self.name(name),
            Kind::List(items) => Plain::List(items.iter().map(|item| self.eval(item)).collect()),
            Kind::Not(of) => Plain::Bool(!truth(&self.eval(of))),
            Kind::Neg(of) => match self.eval(of) {
                Plain::Int(n) => Plain::Int(n.checked_neg().unwrap_or(i64::MAX)),
                Plain::Duration(n) => Plain::Duration(n.checked_neg().unwrap_or(i64::MAX)),
                Plain::Float(n) => Plain::Float(-n),
                other => panic!("{other:?}"),
            },
            Kind::All(parts) => Plain::Bool(parts.iter().all(|part| truth(&self.eval(part)))),
            Kind::Any(parts) => Plain::Bool(parts.iter().any(|part| truth(&self.eval(part)))),
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

    fn name(&self, name: &str) -> Plain {
        if let Some((_, value)) = self.names.iter().rfind(|(other, _)| other == name) {
            return value.clone();
        }
        let request = self.request;
        let owned = |text: &str| Plain::Text(text.as_bytes().to_vec());
        match name {
            "method" => owned(request.method()),
            "path" => owned(request.path()),
            "query" => owned(request.query()),
            "segments" => Plain::List(self.segments().into_iter().map(Plain::Text).collect()),
            "body" => Plain::Text(request.body[..request.body.len().min(256)].to_vec()),
            "body_length" => Plain::Int(request.body.len() as i64),
            "front" => owned("uwsgi"),
            "peer" => Plain::Addr(request.peer),
            "time_of_day" => Plain::Duration(request.time_of_day),
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

    fn binary(&mut self, op: Op, left: &Expr, right: &Expr) -> Plain {
        let one = self.eval(left);
        if op == Op::Else {
            return if one == Plain::Absent {
                self.eval(right)
            } else {
                one
            };
        }
        let two = self.eval(right);
        if let Plain::List(items) = &two {
            return Plain::Bool(items.contains(&one));
        }
        match op {
            Op::Eq => return Plain::Bool(one == two),
            Op::Ne => return Plain::Bool(one != two),
            Op::Lt | Op::Le | Op::Gt | Op::Ge => {
                let order = match (&one, &two) {
                    (Plain::Int(a), Plain::Int(b)) | (Plain::Duration(a), Plain::Duration(b)) => {
                        a.cmp(b)
                    }
                    (Plain::Float(a), Plain::Float(b)) => a.partial_cmp(b).unwrap(),
                    (Plain::Text(a), Plain::Text(b)) => a.cmp(b),
                    other => panic!("{other:?}"),
                };
                return Plain::Bool(match op {
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
            (Plain::Text(a), Plain::Text(b)) => Plain::Text([a, b].concat()),
            (Plain::Int(a), Plain::Int(b)) => whole(a, b).map_or(Plain::Absent, Plain::Int),
            (Plain::Duration(a), Plain::Duration(b) | Plain::Int(b)) => {
                whole(a, b).map_or(Plain::Absent, Plain::Duration)
            }
            (Plain::Float(a), Plain::Float(b)) => {
                let found = match op {
                    Op::Add => a + b,
                    Op::Sub => a - b,
                    Op::Mul => a * b,
                    _ if b == 0.0 => return Plain::Absent,
                    _ => a / b,
                };
                Plain::Float(found.clamp(f64::MIN, f64::MAX))
            }
            other => panic!("{other:?}"),
        }
    }

    fn call(&mut self, name: &str, args: &[Expr]) -> Plain {
        let literal = |nth: usize| match &args[nth].kind {
            Kind::Str(text) => text.clone(),
            _ => panic!("no literal"),
        };
        if let "any" | "all" | "first" = name {
            let Plain::List(items) = self.eval(&args[0]) else {
                panic!("no list")
            };
            let Kind::Each {
                name: bound, body, ..
            } = &args[1].kind
            else {
                panic!("no ->")
            };
            let mut ask = |item: &Plain| {
                self.names.push((bound.clone(), item.clone()));
                let found = truth(&self.eval(body));
                self.names.pop();
                found
            };
            return match name {
                "any" => Plain::Bool(items.iter().any(&mut ask)),
                "all" => Plain::Bool(items.iter().all(&mut ask)),
                _ => items
                    .iter()
                    .find(|item| ask(item))
                    .cloned()
                    .unwrap_or(Plain::Absent),
            };
        }
        let as_text = |found: Option<&[u8]>| match found.map(|bytes| std::str::from_utf8(bytes)) {
            Some(Ok(text)) => Plain::Text(text.as_bytes().to_vec()),
            _ => Plain::Absent,
        };
        match name {
            "header" => return as_text(self.request.variable(&cgi_name(&literal(0)))),
            "variable" => return as_text(self.request.variable(&literal(0))),
            "raw_header" => {
                let found = self.request.variable(&cgi_name(&literal(0)));
                return found.map_or(Plain::Absent, |bytes| Plain::Text(bytes.to_vec()));
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
                    Plain::Text(one.as_bytes().to_vec())
                } else {
                    Plain::Absent
                };
            }
            _ => {}
        }
        let of = self.eval(&args[0]);
        let string = |plain: &Plain| String::from_utf8(text(plain).to_vec()).unwrap();
        match name {
            "lower" => Plain::Text(text(&of).to_ascii_lowercase()),
            "upper" => Plain::Text(text(&of).to_ascii_uppercase()),
            "trim" => Plain::Text(string(&of).trim().as_bytes().to_vec()),
            "len" => match &of {
                Plain::List(items) => Plain::Int(items.len() as i64),
                other => Plain::Int(text(other).len() as i64),
            },
            "hash" => {
                let mut hash = 0xcbf2_9ce4_8422_2325_u64;
                for byte in text(&of) {
                    hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
                }
                Plain::Int((hash >> 1) as i64)
            }
            "hex" => Plain::Text(format!("{:016x}", int(&of)).into_bytes()),
            "int" => match &of {
                Plain::Float(n) => Plain::Int(*n as i64),
                other => string(other).parse().map_or(Plain::Absent, Plain::Int),
            },
            "float" => match &of {
                Plain::Int(n) => Plain::Float(*n as f64),
                other => match string(other).parse::<f64>() {
                    Ok(n) if n.is_finite() => Plain::Float(n),
                    _ => Plain::Absent,
                },
            },
            "text" => {
                if std::str::from_utf8(text(&of)).is_ok() {
                    of
                } else {
                    Plain::Absent
                }
            }
            "bytes" => of,
            "present" => Plain::Bool(of != Plain::Absent),
            "segment" => {
                let place = usize::try_from(int(&of)).ok();
                place
                    .and_then(|place| self.segments().get(place).cloned())
                    .map_or(Plain::Absent, Plain::Text)
            }
            "split" => {
                let (whole, by) = (string(&of), literal(1));
                let Kind::Int(most) = args[2].kind else {
                    panic!("no bound")
                };
                let parts = whole
                    .splitn(most as usize, by.as_str())
                    .map(|part| Plain::Text(part.as_bytes().to_vec()));
                Plain::List(parts.collect())
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
                Plain::Text(part.into_bytes())
            }
            "matches" => Plain::Bool(
                regex::Regex::new(&literal(1))
                    .unwrap()
                    .is_match(&string(&of)),
            ),
            "cidr" => {
                let nets = (1..args.len()).map(literal);
                let Plain::Addr(IpAddr::V4(addr)) = of else {
                    panic!("{of:?}")
                };
                let inside = |net: String| {
                    let (net, bits) = net.split_once('/').unwrap();
                    let (net, bits): (std::net::Ipv4Addr, u32) =
                        (net.parse().unwrap(), bits.parse().unwrap());
                    let kept = |addr: std::net::Ipv4Addr| u64::from(u32::from(addr)) >> (32 - bits);
                    kept(addr) == kept(net)
                };
                Plain::Bool(nets.into_iter().any(inside))
            }
            _ => {
                let with = self.eval(&args[1]);
                match name {
                    "starts_with" => Plain::Bool(text(&of).starts_with(text(&with))),
                    "ends_with" => Plain::Bool(text(&of).ends_with(text(&with))),
                    "contains" => Plain::Bool(string(&of).contains(&string(&with))),
                    "get" => {
                        let Plain::List(items) = of else {
                            panic!("no list")
                        };
                        let place = usize::try_from(int(&with)).ok();
                        place
                            .and_then(|place| items.get(place).cloned())
                            .unwrap_or(Plain::Absent)
                    }
                    "min" | "max" => {
                        let less = match (&of, &with) {
                            (Plain::Int(a), Plain::Int(b))
                            | (Plain::Duration(a), Plain::Duration(b)) => b < a,
                            (Plain::Float(a), Plain::Float(b)) => b < a,
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

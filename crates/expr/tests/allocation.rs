//! The ordinary path of an evaluation takes nothing from the allocator once the scratch has its room.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use doortrack_expr::{Limits, LiteralRequest, Scratch, infer};

struct Counting;

thread_local! {
    static TAKEN: Cell<u64> = const { Cell::new(0) };
}

// SAFETY: everything is handed on to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        _ = TAKEN.try_with(|taken| taken.set(taken.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

#[test]
fn typical_expressions_allocate_nothing() {
    let asked = LiteralRequest::example();
    for source in [
        "path.starts_with(\"/book/\")",
        "(segment(1) ?? \"\") in [\"north\", \"south\", \"east\", \"west\"]",
        "lower(header(\"x-yard\") ?? \"\") == \"north\"",
        "header(\"x-yard\") ?? parameter(\"yard\") ?? \"none\"",
        "hash(header(\"x-yard\") ?? \"\") % 16",
        "matches(path, \"^/book/[a-z]+/berth-[0-9]+$\")",
        "cidr(peer, \"10.0.0.0/8\", \"192.168.0.0/16\")",
        "first(split(text(body) ?? \"\", \";\", 8), p -> p.starts_with(\"nights=\")) ?? \"\"",
        "let yard = lower(header(\"x-yard\") ?? \"\"); yard + \"/\" + (segment(2) ?? \"\")",
        "if body_length > 1024 || time_of_day < 6h { 0.1 } else { 0.9 }",
    ] {
        let program = infer(source, Limits::default()).unwrap();
        let mut scratch = Scratch::default();
        // Once for the scratch, and for what a regular expression keeps.
        program.eval(&asked, &mut scratch);
        let before = TAKEN.get();
        for _ in 0..100 {
            std::hint::black_box(program.eval(&asked, &mut scratch));
        }
        assert_eq!(TAKEN.get() - before, 0, "{source}");
    }
}
